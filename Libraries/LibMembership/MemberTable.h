#pragma once

#include <LibMembership/HostDescription.h>

#include <optional>

namespace comfreyrill {

enum class Liveness {
  /// Known from other hosts or from the platform; no heartbeat of the host
  /// itself has arrived yet.
  Unconfirmed,
  Alive,
  Suspect,
  Lost,
};

/// Intervals and limits of the membership protocol. The reasons are given in
/// docs/decisions/membership.md.
struct MembershipSettings {
  Duration ShortestInterval = std::chrono::milliseconds(250);
  Duration LongestInterval = std::chrono::milliseconds(700);
  /// The interval grows with the number of peers by this much for each.
  Duration IntervalPerPeer = std::chrono::milliseconds(30);
  Duration SuspectAfter = std::chrono::seconds(1);
  Duration LostAfter = std::chrono::seconds(3);
  /// Lost hosts are kept for longer than a usual network partition between
  /// regions.
  Duration ForgetAfter = std::chrono::hours(4);
  /// Shorter, because a host that has announced that it leaves does not come
  /// back.
  Duration ForgetLeftAfter = std::chrono::seconds(60);
  /// Interval of heartbeats to lost hosts.
  Duration LostProbeInterval = std::chrono::seconds(5);
  /// Interval of complete heartbeats to each active peer.
  Duration CompleteInterval = std::chrono::seconds(5);
  /// Interval at which a random peer gets the full list of active hosts.
  Duration FullListInterval = std::chrono::seconds(10);
  /// A longer gap between two calls of expirePeers means that this process was
  /// paused, so missing heartbeats are no evidence against its peers.
  Duration PauseThreshold = std::chrono::milliseconds(500);
  /// The interval between platform reads grows by this much for each host.
  Duration PollIntervalPerHost = std::chrono::milliseconds(500);
  Duration ShortestPollInterval = std::chrono::seconds(2);
  /// Time in which hosts fetch an announced document in a fixed order, a few
  /// from each holder. After that, each host fetches from a random holder.
  Duration FetchSpreadTime = std::chrono::milliseconds(250);
  Duration FetchRetryInterval = std::chrono::milliseconds(500);
  /// Hosts that fetch a document from one holder at the same time.
  std::size_t FetchesPerHolder = 4;
  std::size_t MaximumPeers = 256;
  /// Limit on the descriptions of other hosts in one heartbeat.
  std::size_t MaximumKnown = 64;
  /// Heartbeat bytes that a host may send and receive per second; half of the
  /// whole traffic budget.
  double HeartbeatBudgetBytesPerSecond = 13'000;
};

/// State that this host keeps about another host.
struct Peer {
  HostDescription Description;
  /// Rendezvous rank for the roles towards the platform. Cached because
  /// computing it takes a digest.
  std::uint64_t Rank = 0;
  /// Time of the last heartbeat received from the host itself.
  std::optional<TimePoint> LastHeard;
  /// Sequence number of that heartbeat.
  std::uint64_t DirectSequence = 0;
  TimePoint KnownSince;
  TimePoint NextHeartbeat;
  TimePoint NextComplete;
  /// Time since which the host has announced an older manifest than this
  /// host's.
  std::optional<TimePoint> LaggingSince;
  /// True when the fleet list marks the machine as leaving. The list may be out
  /// of date, for example after a restart, so the mark only lowers the
  /// preference of the host's address.
  bool IsMachineLeaving = false;
  /// The next heartbeat to this peer carries all hosts that are active in this
  /// host's view.
  bool NeedsFullList = true;
  /// True when a change of this peer has not been sent to other hosts yet.
  bool HasUnsentChange = false;
};

/// Progress of fetching one document from a peer.
struct FetchProgress {
  std::uint64_t Wanted = 0;
  TimePoint WantedSince;
  std::optional<TimePoint> LastAttempt;
  HostId LastSource;
};

/// A process that has to be notified that a successor with its host id runs.
struct SupersededProcess {
  Endpoint Remote;
  HostId Host;
};

/// The membership state of one host. Plain data that the functions of this
/// library read and change.
struct MemberTable {
  MembershipSettings Settings;
  HostDescription Self;
  std::uint64_t Rank = 0;
  TimePoint Started;
  TimePoint LastExpiry;
  TimePoint NextFullList;
  std::vector<Endpoint> Seeds;
  TimePoint NextSeedContact;
  /// Sorted by host id.
  std::vector<Peer> Peers;
  /// Another process with the id of this host: an earlier one, or one that runs
  /// at the same time.
  std::optional<Peer> DuplicateProcess;
  /// Processes to notify of their successor.
  std::vector<SupersededProcess> Superseded;
  FetchProgress ManifestFetch;
  FetchProgress FleetFetch;
};

MemberTable makeMemberTable(const HostDescription &Self,
                            std::vector<Endpoint> Seeds,
                            const MembershipSettings &Settings, TimePoint Now);

/// Rendezvous rank of a host; a role goes to the host with the highest rank.
std::uint64_t platformRank(const HostId &Host);

const Peer *findPeer(const MemberTable &Table, const HostId &Host);
Peer *findPeer(MemberTable &Table, const HostId &Host);

/// True when this host or one of its peers has this peer address.
bool isKnownAddress(const MemberTable &Table, const Endpoint &Remote);

/// Time between two heartbeats to the same peer.
Duration heartbeatInterval(const MemberTable &Table);
/// Time without a heartbeat after which a peer is suspect.
Duration suspectAfter(const MemberTable &Table);

Liveness liveness(const MemberTable &Table, const Peer &Other, TimePoint Now);

/// Peers from which a heartbeat arrived within the suspect time.
std::vector<const Peer *> alivePeers(const MemberTable &Table, TimePoint Now);
std::size_t aliveCount(const MemberTable &Table, TimePoint Now);

/// Each of these functions records a change of this host and announces it to
/// the peers at once. It returns false and does nothing when the value has not
/// changed. Numbers never decrease, and a leaving host stays leaving.
bool announceState(MemberTable &Table, HostState State, TimePoint Now);
bool announceManifestNumber(MemberTable &Table, ManifestNumber Number,
                            TimePoint Now);
bool announceFleetVersion(MemberTable &Table, std::uint64_t Version,
                          TimePoint Now);
/// Records a higher version of this host without announcing it at once; the
/// next heartbeat to each peer carries it.
void recordFleetVersion(MemberTable &Table, std::uint64_t Version);
/// Records whether the last call has reached the platform.
bool announcePlatformReachability(MemberTable &Table, bool IsReached,
                                  TimePoint Now);

/// Records whether this host watches the store successfully.
bool announceStoreWatch(MemberTable &Table, bool IsWatching, TimePoint Now);

/// True when another process with the id of this host is alive and started
/// later. This process should then drain.
bool isSuperseded(const MemberTable &Table, TimePoint Now);

/// Removes peers that have been lost for a long time, and detects pauses of
/// this process. Must be called several times within the pause threshold.
void expirePeers(MemberTable &Table, TimePoint Now);

} // namespace comfreyrill
