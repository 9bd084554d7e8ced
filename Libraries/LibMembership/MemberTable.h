#pragma once

#include <LibMembership/HostDescription.h>

#include <optional>

namespace comfreyrill {

enum class Liveness {
  /// Known from others or from the platform, but never heard.
  Unconfirmed,
  Alive,
  Suspect,
  Lost,
};

/// Times and sizes of the membership; the reasons stand in
/// docs/decisions/membership.md.
struct MembershipSettings {
  Duration ShortestInterval = std::chrono::milliseconds(250);
  Duration LongestInterval = std::chrono::milliseconds(700);
  /// The interval grows with the number of peers by this much for each.
  Duration IntervalPerPeer = std::chrono::milliseconds(30);
  Duration SuspectAfter = std::chrono::seconds(1);
  Duration LostAfter = std::chrono::seconds(3);
  /// Lost hosts are kept longer than the regions are usually apart.
  Duration ForgetAfter = std::chrono::hours(4);
  /// A host that announced that it leaves does not come back.
  Duration ForgetLeftAfter = std::chrono::seconds(60);
  /// Interval of heartbeats to hosts that are lost.
  Duration LostProbeInterval = std::chrono::seconds(5);
  Duration CompleteInterval = std::chrono::seconds(5);
  /// Interval at which one random peer gets the list of known hosts.
  Duration FullListInterval = std::chrono::seconds(10);
  /// A longer gap between two calls of expirePeers means that this process was
  /// paused and has no evidence against its peers.
  Duration PauseThreshold = std::chrono::milliseconds(500);
  /// Each poll interval of the platform grows by this with each host.
  Duration PollIntervalPerHost = std::chrono::milliseconds(500);
  Duration ShortestPollInterval = std::chrono::seconds(2);
  /// Wait for an announced document before the load is spread no longer.
  Duration FetchSpreadTime = std::chrono::milliseconds(250);
  Duration FetchRetryInterval = std::chrono::milliseconds(500);
  /// Peers that fetch a document from one holder at the same time.
  std::size_t FetchesPerHolder = 4;
  std::size_t MaximumPeers = 256;
  /// Descriptions of other hosts in one heartbeat.
  std::size_t MaximumKnown = 64;
  /// Heartbeat bytes sent and received in a second; half of the budget.
  double GoalBytesPerSecond = 13'000;
};

/// What this host knows of another one.
struct Peer {
  HostDescription Description;
  /// Rendezvous rank for the roles towards the platform; kept because it takes
  /// a digest to compute.
  std::uint64_t Rank = 0;
  /// Time of the last heartbeat that came from the host itself.
  std::optional<TimePoint> LastHeard;
  /// Sequence of that heartbeat.
  std::uint64_t DirectSequence = 0;
  TimePoint KnownSince;
  TimePoint NextHeartbeat;
  TimePoint NextComplete;
  /// Since when the host has announced an older manifest than this host's.
  std::optional<TimePoint> BehindSince;
  /// The fleet list calls the machine leaving. It lags, for example behind a
  /// restart, so this only lowers the preference.
  bool FleetLeaving = false;
  /// The next heartbeat to it carries all hosts that this host hears.
  bool NeedsFullList = true;
  /// Other hosts have not been told yet what changed here.
  bool IsNews = false;
};

/// Progress of fetching one document from a peer.
struct FetchProgress {
  std::uint64_t Wanted = 0;
  TimePoint WantedSince;
  std::optional<TimePoint> LastAttempt;
  HostId LastSource;
};

/// A process that does not know of its successor yet.
struct SupersededProcess {
  Endpoint Remote;
  HostId Host;
};

/// All that one host knows of the others. Plain data; the functions of this
/// library change it.
struct MemberTable {
  MembershipSettings Settings;
  HostDescription Self;
  std::uint64_t Rank = 0;
  TimePoint Started;
  TimePoint LastAdvance;
  TimePoint NextFullList;
  std::vector<Endpoint> Seeds;
  TimePoint NextSeedContact;
  /// Sorted by host id.
  std::vector<Peer> Peers;
  /// A process that runs under the id of this host.
  std::optional<Peer> Rival;
  /// Processes that are to be told of their successor.
  std::vector<SupersededProcess> Superseded;
  FetchProgress ManifestFetch;
  FetchProgress FleetFetch;
};

MemberTable makeMemberTable(const HostDescription &Self,
                            std::vector<Endpoint> Seeds,
                            const MembershipSettings &Settings, TimePoint Now);

/// Rendezvous rank of a host; the highest takes a role.
std::uint64_t platformRank(const HostId &Host);

const Peer *findPeer(const MemberTable &Table, const HostId &Host);
Peer *findPeer(MemberTable &Table, const HostId &Host);

/// Time between two heartbeats to the same peer.
Duration heartbeatInterval(const MemberTable &Table);
/// Silence after which a peer is suspect.
Duration suspectAfter(const MemberTable &Table);

Liveness liveness(const MemberTable &Table, const Peer &Other, TimePoint Now);

/// Peers heard within the suspect time.
std::size_t aliveCount(const MemberTable &Table, TimePoint Now);

/// Changes of this host that the peers learn at once. Each returns false, and
/// does nothing, when the value is the same; numbers never fall and a leaving
/// host stays leaving.
bool announceState(MemberTable &Table, HostState State, TimePoint Now);
bool announceManifestNumber(MemberTable &Table, ManifestNumber Number,
                            TimePoint Now);
bool announceFleetVersion(MemberTable &Table, std::uint64_t Version,
                          TimePoint Now);
/// Records whether the last call to the platform reached it.
bool announcePlatformReachability(MemberTable &Table, bool IsReached,
                                  TimePoint Now);

/// Records whether this host follows the store successfully.
bool announceStoreWatch(MemberTable &Table, bool IsWatching, TimePoint Now);

/// True when another process runs under the id of this host and started later.
/// This process should drain.
bool isSuperseded(const MemberTable &Table, TimePoint Now);

/// Forgets hosts that are lost for long, and notices pauses of this process.
/// Called several times within the pause threshold.
void expirePeers(MemberTable &Table, TimePoint Now);

} // namespace comfreyrill
