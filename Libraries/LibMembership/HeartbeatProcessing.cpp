#include <LibMembership/HeartbeatProcessing.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

constexpr std::size_t MaximumSuperseded = 4;

// The process that started later is the successor. Equal start times, for
// example of hosts without that field, are decided by the incarnation, so that
// all hosts choose the same one.
bool isSuccessor(const HostDescription &One, const HostDescription &Other) {
  return std::pair(One.StartedAt, One.Incarnation.Value) >
         std::pair(Other.StartedAt, Other.Incarnation.Value);
}

// Takes the facts of a newer description of the same process. A short one keeps
// the domain and the addresses.
void takeFacts(Peer &Known, const HostDescription &Newer) {
  HostDescription &Facts = Known.Description;
  const HostState Before = Facts.State;
  if (Newer.isComplete()) {
    const HostDescription Old = std::exchange(Facts, Newer);
    if (Old.PeerAddress != Newer.PeerAddress ||
        Old.CallerAddress != Newer.CallerAddress)
      Known.IsNews = true;
    Facts.Manifest.Value = std::max(Old.Manifest.Value, Newer.Manifest.Value);
    Facts.FleetVersion = std::max(Old.FleetVersion, Newer.FleetVersion);
  } else {
    Facts.State = Newer.State;
    Facts.Manifest.Value = std::max(Facts.Manifest.Value, Newer.Manifest.Value);
    Facts.FleetVersion = std::max(Facts.FleetVersion, Newer.FleetVersion);
    Facts.ReachesPlatform = Newer.ReachesPlatform;
    Facts.WatchesStore = Newer.WatchesStore;
    Facts.Sequence = Newer.Sequence;
  }
  if (Facts.State != Before)
    Known.IsNews = true;
}

void noteManifest(const MemberTable &Table, Peer &Known, TimePoint Now) {
  if (Known.Description.Manifest.Value >= Table.Self.Manifest.Value)
    Known.BehindSince.reset();
  else if (!Known.BehindSince)
    Known.BehindSince = Now;
}

// Puts a process in the place of an earlier one, or of none. Returns null when
// the table is full.
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
  noteManifest(Table, *Known, Now);
  return Known;
}

HeartbeatVerdict observeRival(MemberTable &Table, const HostDescription &Sender,
                              TimePoint Now) {
  if (Sender.Incarnation == Table.Self.Incarnation)
    return HeartbeatVerdict::OutOfOrder;
  if (!Table.Rival ||
      Table.Rival->Description.Incarnation != Sender.Incarnation) {
    if (!Sender.isComplete())
      return HeartbeatVerdict::Incomplete;
    Table.Rival = Peer{};
    Table.Rival->Description = Sender;
    Table.Rival->KnownSince = Now;
  }
  Table.Rival->LastHeard = Now;
  return HeartbeatVerdict::FromRival;
}

HeartbeatVerdict observeSender(MemberTable &Table,
                               const HostDescription &Sender, TimePoint Now) {
  if (Sender.Host == Table.Self.Host)
    return observeRival(Table, Sender, Now);
  Peer *Known = findPeer(Table, Sender.Host);
  if (Known && Known->Description.Incarnation == Sender.Incarnation) {
    // Heartbeats that waited in the buffers of a cut link arrive after newer
    // facts that came over another host; they prove no life now.
    if (Sender.Sequence < Known->Description.Sequence ||
        Sender.Sequence <= Known->DirectSequence)
      return HeartbeatVerdict::OutOfOrder;
    // The platform's object knows no caller address.
    if (!Sender.isComplete() &&
        Known->Description.CallerAddress.Address.empty())
      return HeartbeatVerdict::Incomplete;
    const bool WasHeard = liveness(Table, *Known, Now) == Liveness::Alive ||
                          liveness(Table, *Known, Now) == Liveness::Suspect;
    takeFacts(*Known, Sender);
    Known->LastHeard = Now;
    Known->DirectSequence = Sender.Sequence;
    if (!WasHeard) {
      Known->IsNews = true;
      Known->NextHeartbeat = Now;
      Known->NextComplete = Now;
      Known->NeedsFullList = true;
    }
    noteManifest(Table, *Known, Now);
    return HeartbeatVerdict::Accepted;
  }
  // Two processes under one id. A restart is taken at once; the predecessor is
  // ignored while its successor is heard. When the start times mislead, because
  // a clock was set back, the silence of the other process decides.
  if (Known && !isSuccessor(Sender, Known->Description) &&
      (liveness(Table, *Known, Now) == Liveness::Alive ||
       liveness(Table, *Known, Now) == Liveness::Suspect)) {
    // Nobody sends to its address any more, so it could not learn otherwise
    // that it should stop.
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
  Known->IsNews = true;
  return HeartbeatVerdict::Joined;
}

} // namespace

HeartbeatVerdict processHeartbeat(MemberTable &Table, const Heartbeat &Received,
                                  TimePoint Now) {
  const HeartbeatVerdict Verdict = observeSender(Table, Received.Sender, Now);
  for (const auto &Said : Received.Known)
    mergeIndirectDescription(Table, Said, Now);
  return Verdict;
}

void mergeIndirectDescription(MemberTable &Table, const HostDescription &Said,
                              TimePoint Now) {
  if (!Said.isComplete())
    return;
  if (Said.Host == Table.Self.Host) {
    // An earlier process of this host, or one that runs beside it. Only its
    // own heartbeats tell, so it is contacted at its address.
    if (Said.Incarnation == Table.Self.Incarnation)
      return;
    // Whoever takes an earlier process for this one needs the addresses again.
    for (auto &Other : Table.Peers)
      Other.NextComplete = Now;
    if (Said.PeerAddress != Table.Self.PeerAddress && !Table.Rival) {
      Table.Rival = Peer{};
      Table.Rival->Description = Said;
      Table.Rival->KnownSince = Now;
      Table.Rival->NextHeartbeat = Now;
    }
    return;
  }
  Peer *Known = findPeer(Table, Said.Host);
  if (!Known) {
    replaceProcess(Table, Said, Now);
    return;
  }
  const Liveness State = liveness(Table, *Known, Now);
  if (Known->Description.Incarnation != Said.Incarnation) {
    if ((State == Liveness::Lost || State == Liveness::Unconfirmed) &&
        isSuccessor(Said, Known->Description))
      replaceProcess(Table, Said, Now);
    return;
  }
  if (Said.Sequence <= Known->Description.Sequence)
    return;
  const bool WasNews = Known->IsNews;
  takeFacts(*Known, Said);
  // Only what a host has seen itself is passed on; otherwise each change would
  // be sent by each host to each other one several times.
  Known->IsNews = WasNews;
  noteManifest(Table, *Known, Now);
  // Another host hears it, so it is worth a try before the next probe.
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
    Other.FleetLeaving = Position != Machines.end() && Position->IsLeaving;
  }
}

} // namespace comfreyrill
