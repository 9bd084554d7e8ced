#include <LibMembership/Heartbeats.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

// Upper bound of the average size of a heartbeat, with its frame header. The
// average includes complete heartbeats and those with lists of hosts.
constexpr std::size_t AverageHeartbeatBytes = 90;
constexpr std::size_t MaximumLoadBytes = 1024;

// An active peer is alive or suspect: it has sent a heartbeat recently.
bool isActive(const MemberTable &Table, const Peer &Other, TimePoint Now) {
  const Liveness State = liveness(Table, Other, Now);
  return State == Liveness::Alive || State == Liveness::Suspect;
}

// The jitter spreads the heartbeats of one host over time and keeps hosts that
// started together from sending in lockstep.
Duration withJitter(Duration Interval, Random &Generator) {
  std::uniform_real_distribution<double> Factor(0.9, 1.0);
  return std::chrono::duration_cast<Duration>(Interval * Factor(Generator));
}

// Description for a short heartbeat: without start time, failure domain and
// addresses.
HostDescription shortened(const HostDescription &Self) {
  HostDescription Short = Self;
  Short.StartedAt = {};
  Short.Domain = {};
  Short.PeerAddress = {};
  Short.CallerAddress = {};
  Short.AdminAddress = {};
  return Short;
}

std::vector<HostDescription> takeUnsentChanges(MemberTable &Table) {
  std::vector<HostDescription> Changes;
  for (auto &Other : Table.Peers) {
    if (Changes.size() >= Table.Settings.MaximumKnown)
      break;
    if (Other.HasUnsentChange)
      Changes.push_back(Other.Description);
    Other.HasUnsentChange = false;
  }
  return Changes;
}

// The active peers; a random selection when not all of them fit in a heartbeat.
std::vector<HostDescription> activeHosts(const MemberTable &Table,
                                         TimePoint Now, Random &Generator) {
  std::vector<HostDescription> ActiveHosts;
  for (const auto &Other : Table.Peers)
    if (isActive(Table, Other, Now))
      ActiveHosts.push_back(Other.Description);
  if (ActiveHosts.size() > Table.Settings.MaximumKnown) {
    std::shuffle(ActiveHosts.begin(), ActiveHosts.end(), Generator);
    ActiveHosts.resize(Table.Settings.MaximumKnown);
  }
  return ActiveHosts;
}

// Chooses a random peer for the periodic full list of hosts. Peers that become
// active get the list as well. The periodic list is anti-entropy: it removes
// differences between the views of two hosts.
void chooseFullListReceiver(MemberTable &Table, TimePoint Now,
                            Random &Generator) {
  if (Now < Table.NextFullList || Table.Peers.empty())
    return;
  Table.NextFullList =
      Now + withJitter(Table.Settings.FullListInterval, Generator);
  auto &Chosen = Table.Peers[randomIndex(Generator, Table.Peers.size())];
  Chosen.NeedsFullList = true;
}

} // namespace

std::vector<OutgoingHeartbeat> dueHeartbeats(MemberTable &Table, TimePoint Now,
                                             Random &Generator) {
  std::vector<OutgoingHeartbeat> Due;
  const auto &Settings = Table.Settings;
  const Duration Interval = heartbeatInterval(Table);
  const std::vector<HostDescription> Changes = takeUnsentChanges(Table);
  // Changes go to all active peers at once; hosts seldom join or leave.
  if (!Changes.empty())
    for (auto &Other : Table.Peers)
      if (isActive(Table, Other, Now))
        Other.NextHeartbeat = Now;
  chooseFullListReceiver(Table, Now, Generator);

  const auto Position = std::find_if(
      Table.Peers.begin(), Table.Peers.end(),
      [&](const Peer &Other) { return Other.NextHeartbeat <= Now; });
  const auto Superseded = std::exchange(Table.Superseded, {});
  const bool IsDuplicateDue =
      Table.DuplicateProcess && Table.DuplicateProcess->NextHeartbeat <= Now;
  const bool AreSeedsDue = Table.NextSeedContact <= Now;
  if (Position == Table.Peers.end() && Superseded.empty() && !IsDuplicateDue &&
      !AreSeedsDue)
    return Due;

  ++Table.Self.Sequence;
  const HostDescription Short = shortened(Table.Self);
  std::vector<HostDescription> ActiveHosts;
  for (auto &Other : Table.Peers) {
    if (Other.NextHeartbeat > Now)
      continue;
    const bool IsPeerActive = isActive(Table, Other, Now);
    const bool IsComplete = !IsPeerActive || Other.NextComplete <= Now;
    Heartbeat Content{IsComplete ? Table.Self : Short, Changes};
    if (Other.NeedsFullList && IsPeerActive) {
      if (ActiveHosts.empty())
        ActiveHosts = activeHosts(Table, Now, Generator);
      Content.Known = ActiveHosts;
      Other.NeedsFullList = false;
    }
    if (IsComplete)
      Other.NextComplete =
          Now + withJitter(Settings.CompleteInterval, Generator);
    const bool IsNewlyAdded =
        !Other.LastHeard && Now - Other.KnownSince < Settings.LostProbeInterval;
    Other.NextHeartbeat = Now + withJitter(IsPeerActive || IsNewlyAdded
                                               ? Interval
                                               : Settings.LostProbeInterval,
                                           Generator);
    Due.push_back({Other.Description.PeerAddress, std::move(Content)});
  }
  for (const auto &Process : Superseded)
    if (const Peer *Successor = findPeer(Table, Process.Host))
      Due.push_back({Process.Remote, {Table.Self, {Successor->Description}}});
  if (IsDuplicateDue) {
    Table.DuplicateProcess->NextHeartbeat =
        Now + (isActive(Table, *Table.DuplicateProcess, Now)
                   ? Interval
                   : Settings.LostProbeInterval);
    Due.push_back(
        {Table.DuplicateProcess->Description.PeerAddress, {Table.Self, {}}});
  }
  if (AreSeedsDue) {
    // A seed is contacted until the table holds a peer with its address.
    const bool IsAlone = aliveCount(Table, Now) == 0;
    Table.NextSeedContact =
        Now +
        withJitter(IsAlone ? Interval : Settings.LostProbeInterval, Generator);
    for (const auto &Seed : Table.Seeds)
      if (!isKnownAddress(Table, Seed))
        Due.push_back({Seed, {Table.Self, Changes}});
  }
  return Due;
}

TimePoint nextHeartbeat(const MemberTable &Table) {
  if (!Table.Superseded.empty())
    return TimePoint::min();
  TimePoint Next = Table.NextSeedContact;
  if (Table.DuplicateProcess)
    Next = std::min(Next, Table.DuplicateProcess->NextHeartbeat);
  for (const auto &Other : Table.Peers) {
    if (Other.HasUnsentChange)
      return TimePoint::min();
    Next = std::min(Next, Other.NextHeartbeat);
  }
  return Next;
}

std::size_t loadBytesAllowed(const MemberTable &Table) {
  if (Table.Peers.empty())
    return MaximumLoadBytes;
  const double Seconds =
      std::chrono::duration<double>(heartbeatInterval(Table)).count();
  // Factor 2: each peer sends as much to this host as this host sends to it.
  const double Messages =
      2.0 * static_cast<double>(Table.Peers.size()) / Seconds;
  const double Bytes = Table.Settings.HeartbeatBudgetBytesPerSecond / Messages -
                       static_cast<double>(AverageHeartbeatBytes);
  return static_cast<std::size_t>(
      std::clamp(Bytes, 0.0, static_cast<double>(MaximumLoadBytes)));
}

} // namespace comfreyrill
