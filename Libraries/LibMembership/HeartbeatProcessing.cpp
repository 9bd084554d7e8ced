#include <LibMembership/HeartbeatProcessing.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

constexpr std::size_t MaximumSuperseded = 4;

// The process that started later is the successor. The incarnation breaks ties,
// for example between hosts that do not send a start time, so that all hosts
// choose the same process.
bool isSuccessor(const HostDescription &One, const HostDescription &Other) {
  return std::pair(One.StartedAt, One.Incarnation.Value) >
         std::pair(Other.StartedAt, Other.Incarnation.Value);
}

// Merges a newer description of the same process. The stored domain and
// addresses are kept when the newer description is short.
void mergeDescription(Peer &Known, const HostDescription &Newer) {
  HostDescription &Stored = Known.Description;
  const HostState Before = Stored.State;
  if (Newer.isComplete()) {
    const HostDescription Old = std::exchange(Stored, Newer);
    if (Old.PeerAddress != Newer.PeerAddress ||
        Old.CallerAddress != Newer.CallerAddress)
      Known.HasUnsentChange = true;
    Stored.Manifest.Value = std::max(Old.Manifest.Value, Newer.Manifest.Value);
    Stored.FleetVersion = std::max(Old.FleetVersion, Newer.FleetVersion);
  } else {
    Stored.State = Newer.State;
    Stored.Manifest.Value =
        std::max(Stored.Manifest.Value, Newer.Manifest.Value);
    Stored.FleetVersion = std::max(Stored.FleetVersion, Newer.FleetVersion);
    Stored.ReachesPlatform = Newer.ReachesPlatform;
    Stored.WatchesStore = Newer.WatchesStore;
    Stored.Sequence = Newer.Sequence;
  }
  if (Stored.State != Before)
    Known.HasUnsentChange = true;
}

void updateManifestLag(const MemberTable &Table, Peer &Known, TimePoint Now) {
  if (Known.Description.Manifest.Value >= Table.Self.Manifest.Value)
    Known.LaggingSince.reset();
  else if (!Known.LaggingSince)
    Known.LaggingSince = Now;
}

// Adds a process to the table, in place of an earlier process of the same host
// if there is one. Returns null when the table is full.
Peer *replaceProcess(MemberTable &Table, const HostDescription &New,
                     TimePoint Now) {
  Peer *Known = findPeer(Table, New.Host);
  if (!Known) {
    if (Table.Peers.size() >= Table.Settings.MaximumPeers)
      return nullptr;
    const auto Position =
        std::lower_bound(Table.Peers.begin(), Table.Peers.end(), New.Host,
                         [](const Peer &Other, const HostId &Host) {
                           return Other.Description.Host.Value < Host.Value;
                         });
    Known = &*Table.Peers.emplace(Position);
  }
  *Known = Peer{};
  Known->Description = New;
  Known->Rank = platformRank(New.Host);
  Known->KnownSince = Now;
  Known->NextHeartbeat = Now;
  Known->NextComplete = Now;
  updateManifestLag(Table, *Known, Now);
  return Known;
}

HeartbeatVerdict processDuplicateHeartbeat(MemberTable &Table,
                                           const HostDescription &Sender,
                                           TimePoint Now) {
  if (Sender.Incarnation == Table.Self.Incarnation)
    return HeartbeatVerdict::OutOfOrder;
  if (!Table.DuplicateProcess ||
      Table.DuplicateProcess->Description.Incarnation != Sender.Incarnation) {
    if (!Sender.isComplete())
      return HeartbeatVerdict::Incomplete;
    Table.DuplicateProcess = Peer{};
    Table.DuplicateProcess->Description = Sender;
    Table.DuplicateProcess->KnownSince = Now;
  }
  Table.DuplicateProcess->LastHeard = Now;
  return HeartbeatVerdict::FromDuplicateProcess;
}

HeartbeatVerdict processSender(MemberTable &Table,
                               const HostDescription &Sender, TimePoint Now) {
  if (Sender.Host == Table.Self.Host)
    return processDuplicateHeartbeat(Table, Sender, Now);
  Peer *Known = findPeer(Table, Sender.Host);
  if (Known && Known->Description.Incarnation == Sender.Incarnation) {
    // Heartbeats that were buffered on a broken link can arrive after a newer
    // description relayed by another host. They do not prove that the sender is
    // alive now.
    if (Sender.Sequence < Known->Description.Sequence ||
        Sender.Sequence <= Known->DirectSequence)
      return HeartbeatVerdict::OutOfOrder;
    // An entry of the platform's `hosts` object has no caller address.
    if (!Sender.isComplete() &&
        Known->Description.CallerAddress.Address.empty())
      return HeartbeatVerdict::Incomplete;
    const bool WasActive = liveness(Table, *Known, Now) == Liveness::Alive ||
                           liveness(Table, *Known, Now) == Liveness::Suspect;
    mergeDescription(*Known, Sender);
    Known->LastHeard = Now;
    Known->DirectSequence = Sender.Sequence;
    if (!WasActive) {
      Known->HasUnsentChange = true;
      Known->NextHeartbeat = Now;
      Known->NextComplete = Now;
      Known->NeedsFullList = true;
    }
    updateManifestLag(Table, *Known, Now);
    return HeartbeatVerdict::Accepted;
  }
  // Two processes have the same host id. A restarted process replaces its
  // predecessor at once, and the predecessor is ignored while its successor is
  // active. When the start times are misleading because a clock was set back,
  // the new process is accepted once the other one has become silent.
  if (Known && !isSuccessor(Sender, Known->Description) &&
      (liveness(Table, *Known, Now) == Liveness::Alive ||
       liveness(Table, *Known, Now) == Liveness::Suspect)) {
    // No host sends heartbeats to the address of the predecessor any more, so
    // only this notification tells it to stop.
    if (Sender.isComplete() && Table.Superseded.size() < MaximumSuperseded)
      Table.Superseded.push_back({Sender.PeerAddress, Sender.Host});
    return HeartbeatVerdict::FromPredecessor;
  }
  if (!Sender.isComplete())
    return HeartbeatVerdict::Incomplete;
  Known = replaceProcess(Table, Sender, Now);
  if (!Known)
    return HeartbeatVerdict::TableFull;
  Known->LastHeard = Now;
  Known->DirectSequence = Sender.Sequence;
  Known->HasUnsentChange = true;
  return HeartbeatVerdict::Joined;
}

} // namespace

HeartbeatVerdict processHeartbeat(MemberTable &Table, const Heartbeat &Received,
                                  TimePoint Now) {
  const HeartbeatVerdict Verdict = processSender(Table, Received.Sender, Now);
  for (const auto &Reported : Received.Known)
    mergeIndirectDescription(Table, Reported, Now);
  return Verdict;
}

void mergeIndirectDescription(MemberTable &Table,
                              const HostDescription &Reported, TimePoint Now) {
  if (!Reported.isComplete())
    return;
  if (Reported.Host == Table.Self.Host) {
    // Either an earlier process of this host or one that still runs. Only its
    // own heartbeats can show which, so that process is contacted.
    if (Reported.Incarnation == Table.Self.Incarnation)
      return;
    // Peers that still hold the description of the other process need a
    // complete heartbeat of this one.
    for (auto &Other : Table.Peers)
      Other.NextComplete = Now;
    if (Reported.PeerAddress != Table.Self.PeerAddress &&
        !Table.DuplicateProcess) {
      Table.DuplicateProcess = Peer{};
      Table.DuplicateProcess->Description = Reported;
      Table.DuplicateProcess->KnownSince = Now;
      Table.DuplicateProcess->NextHeartbeat = Now;
    }
    return;
  }
  Peer *Known = findPeer(Table, Reported.Host);
  if (!Known) {
    replaceProcess(Table, Reported, Now);
    return;
  }
  const Liveness State = liveness(Table, *Known, Now);
  if (Known->Description.Incarnation != Reported.Incarnation) {
    if ((State == Liveness::Lost || State == Liveness::Unconfirmed) &&
        isSuccessor(Reported, Known->Description))
      replaceProcess(Table, Reported, Now);
    return;
  }
  if (Reported.Sequence <= Known->Description.Sequence)
    return;
  const bool HadUnsentChange = Known->HasUnsentChange;
  mergeDescription(*Known, Reported);
  // Relayed changes are not relayed again. Otherwise each host would send each
  // change to every other host several times.
  Known->HasUnsentChange = HadUnsentChange;
  updateManifestLag(Table, *Known, Now);
  // Another host receives heartbeats from this peer, so it is contacted before
  // the next probe of a lost host is due.
  if (State == Liveness::Lost)
    Known->NextHeartbeat = Now;
}

void applyFleetList(MemberTable &Table,
                    const std::vector<FleetEntry> &Machines) {
  for (auto &Other : Table.Peers) {
    const auto Position = std::find_if(
        Machines.begin(), Machines.end(), [&](const FleetEntry &Machine) {
          return Machine.Host == Other.Description.Host;
        });
    Other.IsMachineLeaving = Position != Machines.end() && Position->IsLeaving;
  }
}

} // namespace comfreyrill
