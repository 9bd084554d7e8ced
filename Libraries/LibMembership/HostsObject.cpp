#include <LibMembership/HostsObject.h>

#include <LibMembership/HeartbeatProcessing.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration FirstDelay = std::chrono::milliseconds(20);
constexpr Duration LongestDelay = std::chrono::seconds(2);
constexpr std::size_t MaximumDoublings = 7;

auto position(HostsObject &Object, const HostId &Host) {
  return std::lower_bound(Object.Hosts.begin(), Object.Hosts.end(), Host,
                          [](const HostsEntry &Entry, const HostId &Wanted) {
                            return Entry.Host.Value < Wanted.Value;
                          });
}

} // namespace

// The entry of an earlier process is replaced whatever its start time says: a
// host whose clock was set back could not register otherwise.
bool addOwnEntry(HostsObject &Object, const HostDescription &Self) {
  const HostsEntry Own{Self.Host, Self.Incarnation, Self.StartedAt, Self.Domain,
                       Self.PeerAddress};
  const auto Place = position(Object, Self.Host);
  if (Place == Object.Hosts.end() || Place->Host != Self.Host) {
    Object.Hosts.insert(Place, Own);
    return true;
  }
  if (*Place == Own)
    return false;
  *Place = Own;
  return true;
}

void mergeHostsObject(MemberTable &Table, const HostsObject &Object,
                      TimePoint Now) {
  for (const auto &Entry : Object.Hosts) {
    HostDescription Said;
    Said.Host = Entry.Host;
    Said.Incarnation = Entry.Incarnation;
    Said.StartedAt = Entry.StartedAt;
    Said.Domain = Entry.Domain;
    Said.PeerAddress = Entry.PeerAddress;
    mergeIndirectDescription(Table, Said, Now);
  }
}

bool removeDepartedHosts(HostsObject &Object, const MemberTable &Table,
                         TimePoint Now) {
  const auto IsGone = [&](const HostsEntry &Entry) {
    const Peer *Known = findPeer(Table, Entry.Host);
    // An unknown host may have registered a moment ago.
    if (!Known)
      return false;
    const Duration Silence = Now - Known->LastHeard.value_or(Known->KnownSince);
    const bool HasLeft = Known->Description.State == HostState::Leaving;
    // Before the reporter itself forgets the host, after which it could not
    // tell it from a new one.
    return Silence > (HasLeft ? Table.Settings.ForgetLeftAfter
                              : Table.Settings.ForgetAfter) /
                         2;
  };
  return std::erase_if(Object.Hosts, IsGone) > 0;
}

bool removeOwnEntry(HostsObject &Object, const HostDescription &Self) {
  const auto Place = position(Object, Self.Host);
  if (Place == Object.Hosts.end() || Place->Host != Self.Host ||
      Place->Incarnation != Self.Incarnation)
    return false;
  Object.Hosts.erase(Place);
  return true;
}

Duration registrationBackoff(std::size_t Conflicts, Random &Generator) {
  const auto Factor = Duration::rep{1} << std::min(Conflicts, MaximumDoublings);
  const Duration Bound = std::min(LongestDelay, FirstDelay * Factor);
  std::uniform_int_distribution<Duration::rep> Delay(0, Bound.count());
  return Duration(Delay(Generator));
}

} // namespace comfreyrill
