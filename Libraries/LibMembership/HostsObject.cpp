#include <LibMembership/HostsObject.h>

#include <LibMembership/HeartbeatProcessing.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(20);
constexpr Duration MaximumBackoff = std::chrono::seconds(2);
constexpr std::size_t MaximumDoublings = 7;

auto findPosition(HostsObject &Object, const HostId &Host) {
  return std::lower_bound(Object.Hosts.begin(), Object.Hosts.end(), Host,
                          [](const HostsEntry &Entry, const HostId &Wanted) {
                            return Entry.Host.Value < Wanted.Value;
                          });
}

} // namespace

// The entry of an earlier process is replaced regardless of its start time.
// Otherwise a host whose clock was set back could not register.
bool addOwnEntry(HostsObject &Object, const HostDescription &Self) {
  const HostsEntry Own{Self.Host, Self.Incarnation, Self.StartedAt, Self.Domain,
                       Self.PeerAddress};
  const auto Position = findPosition(Object, Self.Host);
  if (Position == Object.Hosts.end() || Position->Host != Self.Host) {
    Object.Hosts.insert(Position, Own);
    return true;
  }
  if (*Position == Own)
    return false;
  *Position = Own;
  return true;
}

void mergeHostsObject(MemberTable &Table, const HostsObject &Object,
                      TimePoint Now) {
  for (const auto &Entry : Object.Hosts) {
    HostDescription Reported;
    Reported.Host = Entry.Host;
    Reported.Incarnation = Entry.Incarnation;
    Reported.StartedAt = Entry.StartedAt;
    Reported.Domain = Entry.Domain;
    Reported.PeerAddress = Entry.PeerAddress;
    mergeIndirectDescription(Table, Reported, Now);
  }
}

bool removeDepartedHosts(HostsObject &Object, const MemberTable &Table,
                         TimePoint Now) {
  const auto IsDeparted = [&](const HostsEntry &Entry) {
    const Peer *Known = findPeer(Table, Entry.Host);
    // A host that is not in the table may have registered a moment ago.
    if (!Known)
      return false;
    const Duration Silence = Now - Known->LastHeard.value_or(Known->KnownSince);
    const bool HasLeft = Known->Description.State == HostState::Leaving;
    // Half of the time after which the reporter forgets the host: a forgotten
    // host could not be told from a new one.
    return Silence > (HasLeft ? Table.Settings.ForgetLeftAfter
                              : Table.Settings.ForgetAfter) /
                         2;
  };
  return std::erase_if(Object.Hosts, IsDeparted) > 0;
}

bool removeOwnEntry(HostsObject &Object, const HostDescription &Self) {
  const auto Position = findPosition(Object, Self.Host);
  if (Position == Object.Hosts.end() || Position->Host != Self.Host ||
      Position->Incarnation != Self.Incarnation)
    return false;
  Object.Hosts.erase(Position);
  return true;
}

Duration registrationBackoff(std::size_t Conflicts, Random &Generator) {
  const auto Factor = Duration::rep{1} << std::min(Conflicts, MaximumDoublings);
  const Duration Bound = std::min(MaximumBackoff, InitialBackoff * Factor);
  std::uniform_int_distribution<Duration::rep> Backoff(0, Bound.count());
  return Duration(Backoff(Generator));
}

} // namespace comfreyrill
