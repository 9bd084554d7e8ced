#include <LibMembership/MemberTable.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace comfreyrill {

namespace {

void sendAtOnce(MemberTable &Table, TimePoint Now) {
  for (auto &Other : Table.Peers)
    if (liveness(Table, Other, Now) != Liveness::Lost)
      Other.NextHeartbeat = std::min(Other.NextHeartbeat, Now);
}

template <typename Value>
bool announce(MemberTable &Table, Value &Field, Value New, TimePoint Now) {
  if (Field == New)
    return false;
  Field = New;
  sendAtOnce(Table, Now);
  return true;
}

void updateManifestLags(MemberTable &Table, TimePoint Now) {
  for (auto &Other : Table.Peers)
    if (Other.Description.Manifest.Value >= Table.Self.Manifest.Value)
      Other.LaggingSince.reset();
    else if (!Other.LaggingSince)
      Other.LaggingSince = Now;
}

bool isForgotten(const MemberTable &Table, const Peer &Other, TimePoint Now) {
  const bool HasLeft = Other.Description.State == HostState::Leaving;
  const Duration Limit =
      HasLeft ? Table.Settings.ForgetLeftAfter : Table.Settings.ForgetAfter;
  return Now - Other.LastHeard.value_or(Other.KnownSince) > Limit;
}

} // namespace

MemberTable makeMemberTable(const HostDescription &Self,
                            std::vector<Endpoint> Seeds,
                            const MembershipSettings &Settings, TimePoint Now) {
  MemberTable Table;
  Table.Settings = Settings;
  Table.Self = Self;
  Table.Rank = platformRank(Self.Host);
  Table.Seeds = std::move(Seeds);
  Table.Started = Now;
  Table.LastExpiry = Now;
  Table.NextFullList = Now;
  Table.NextSeedContact = Now;
  return Table;
}

std::uint64_t platformRank(const HostId &Host) {
  return stableHash({"platform-role", Host.Value});
}

const Peer *findPeer(const MemberTable &Table, const HostId &Host) {
  const auto Position =
      std::lower_bound(Table.Peers.begin(), Table.Peers.end(), Host,
                       [](const Peer &Other, const HostId &Wanted) {
                         return Other.Description.Host.Value < Wanted.Value;
                       });
  if (Position == Table.Peers.end() || Position->Description.Host != Host)
    return nullptr;
  return &*Position;
}

Peer *findPeer(MemberTable &Table, const HostId &Host) {
  return const_cast<Peer *>(
      findPeer(static_cast<const MemberTable &>(Table), Host));
}

bool isKnownAddress(const MemberTable &Table, const Endpoint &Remote) {
  return Remote == Table.Self.PeerAddress ||
         std::any_of(Table.Peers.begin(), Table.Peers.end(),
                     [&](const Peer &Other) {
                       return Other.Description.PeerAddress == Remote;
                     });
}

// Lost peers count until they are removed, so that the interval of all hosts
// does not change each time one of them fails.
Duration heartbeatInterval(const MemberTable &Table) {
  const auto &Settings = Table.Settings;
  const auto Count = static_cast<Duration::rep>(Table.Peers.size());
  return std::clamp(Settings.IntervalPerPeer * Count, Settings.ShortestInterval,
                    Settings.LongestInterval);
}

Duration suspectAfter(const MemberTable &Table) {
  return std::max(Table.Settings.SuspectAfter, 2 * heartbeatInterval(Table));
}

Liveness liveness(const MemberTable &Table, const Peer &Other, TimePoint Now) {
  if (!Other.LastHeard)
    return Liveness::Unconfirmed;
  const Duration Silence = Now - *Other.LastHeard;
  if (Silence > Table.Settings.LostAfter)
    return Liveness::Lost;
  return Silence > suspectAfter(Table) ? Liveness::Suspect : Liveness::Alive;
}

std::vector<const Peer *> alivePeers(const MemberTable &Table, TimePoint Now) {
  std::vector<const Peer *> Alive;
  for (const Peer &Other : Table.Peers)
    if (liveness(Table, Other, Now) == Liveness::Alive)
      Alive.push_back(&Other);
  return Alive;
}

std::size_t aliveCount(const MemberTable &Table, TimePoint Now) {
  return static_cast<std::size_t>(
      std::count_if(Table.Peers.begin(), Table.Peers.end(), [&](const Peer &P) {
        return liveness(Table, P, Now) == Liveness::Alive;
      }));
}

bool announceState(MemberTable &Table, HostState State, TimePoint Now) {
  if (Table.Self.State == HostState::Leaving)
    return false;
  return announce(Table, Table.Self.State, State, Now);
}

bool announceManifestNumber(MemberTable &Table, ManifestNumber Number,
                            TimePoint Now) {
  if (Number.Value < Table.Self.Manifest.Value ||
      !announce(Table, Table.Self.Manifest, Number, Now))
    return false;
  updateManifestLags(Table, Now);
  return true;
}

bool announceFleetVersion(MemberTable &Table, std::uint64_t Version,
                          TimePoint Now) {
  return Version > Table.Self.FleetVersion &&
         announce(Table, Table.Self.FleetVersion, Version, Now);
}

void recordFleetVersion(MemberTable &Table, std::uint64_t Version) {
  Table.Self.FleetVersion = std::max(Table.Self.FleetVersion, Version);
}

bool announcePlatformReachability(MemberTable &Table, bool IsReached,
                                  TimePoint Now) {
  return announce(Table, Table.Self.ReachesPlatform, IsReached, Now);
}

bool announceStoreWatch(MemberTable &Table, bool IsWatching, TimePoint Now) {
  return announce(Table, Table.Self.WatchesStore, IsWatching, Now);
}

bool isSuperseded(const MemberTable &Table, TimePoint Now) {
  if (!Table.DuplicateProcess ||
      liveness(Table, *Table.DuplicateProcess, Now) != Liveness::Alive)
    return false;
  const auto &Other = Table.DuplicateProcess->Description;
  return std::pair(Other.StartedAt, Other.Incarnation.Value) >
         std::pair(Table.Self.StartedAt, Table.Self.Incarnation.Value);
}

void expirePeers(MemberTable &Table, TimePoint Now) {
  const Duration Gap = Now - Table.LastExpiry;
  Table.LastExpiry = Now;
  // As in Lifeguard, a process that was paused does not count the pause against
  // its peers. Otherwise a resumed host would consider all peers lost for a
  // moment and take over every role.
  if (Gap > Table.Settings.PauseThreshold)
    for (auto &Other : Table.Peers)
      if (Other.LastHeard)
        Other.LastHeard = std::min(Now, *Other.LastHeard + Gap);
  std::erase_if(Table.Peers, [&](const Peer &Other) {
    return isForgotten(Table, Other, Now);
  });
  // Usually an earlier process of this host that other hosts still list.
  if (Table.DuplicateProcess &&
      Now - Table.DuplicateProcess->LastHeard.value_or(
                Table.DuplicateProcess->KnownSince) >
          Table.Settings.ForgetLeftAfter)
    Table.DuplicateProcess.reset();
}

} // namespace comfreyrill
