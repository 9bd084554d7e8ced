#include <LibMembership/Heartbeats.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

// Measured: a heartbeat is below this size on average, with its frame header
// and with the complete ones and the lists of hosts among them.
constexpr std::size_t AverageHeartbeatBytes = 90;
constexpr std::size_t MaximumLoadBytes = 1024;

bool isHeard(const MemberTable &Table, const Peer &Other, TimePoint Now) {
  const Liveness State = liveness(Table, Other, Now);
  return State == Liveness::Alive || State == Liveness::Suspect;
}

// A random part of the interval spreads the heartbeats of one host over time
// and keeps hosts that started together out of step.
Duration spread(Duration Interval, Random &Generator) {
  std::uniform_real_distribution<double> Share(0.9, 1.0);
  return std::chrono::duration_cast<Duration>(Interval * Share(Generator));
}

HostDescription shortened(const HostDescription &Self) {
  HostDescription Short = Self;
  Short.StartedAt = {};
  Short.Domain = {};
  Short.PeerAddress = {};
  Short.CallerAddress = {};
  Short.AdminAddress = {};
  return Short;
}

std::vector<HostDescription> takeNews(MemberTable &Table) {
  std::vector<HostDescription> News;
  for (auto &Other : Table.Peers) {
    if (News.size() >= Table.Settings.MaximumKnown)
      break;
    if (Other.IsNews)
      News.push_back(Other.Description);
    Other.IsNews = false;
  }
  return News;
}

// Hosts heard by this one, in random order when not all of them fit.
std::vector<HostDescription> heardHosts(const MemberTable &Table, TimePoint Now,
                                        Random &Generator) {
  std::vector<HostDescription> Heard;
  for (const auto &Other : Table.Peers)
    if (isHeard(Table, Other, Now))
      Heard.push_back(Other.Description);
  if (Heard.size() > Table.Settings.MaximumKnown) {
    std::shuffle(Heard.begin(), Heard.end(), Generator);
    Heard.resize(Table.Settings.MaximumKnown);
  }
  return Heard;
}

bool isSeedKnown(const MemberTable &Table, const Endpoint &Seed) {
  return Seed == Table.Self.PeerAddress ||
         std::any_of(Table.Peers.begin(), Table.Peers.end(),
                     [&](const Peer &Other) {
                       return Other.Description.PeerAddress == Seed;
                     });
}

// Besides peers that are new, a random one gets the whole list now and then, so
// that differences between the views of two hosts do not stay.
void chooseFullListReceiver(MemberTable &Table, TimePoint Now,
                            Random &Generator) {
  if (Now < Table.NextFullList || Table.Peers.empty())
    return;
  Table.NextFullList = Now + spread(Table.Settings.FullListInterval, Generator);
  auto &Chosen = Table.Peers[randomIndex(Generator, Table.Peers.size())];
  Chosen.NeedsFullList = true;
}

} // namespace

std::vector<OutgoingHeartbeat> dueHeartbeats(MemberTable &Table, TimePoint Now,
                                             Random &Generator) {
  std::vector<OutgoingHeartbeat> Due;
  const auto &Settings = Table.Settings;
  const Duration Interval = heartbeatInterval(Table);
  const std::vector<HostDescription> News = takeNews(Table);
  // News go to all peers at once; hosts that join or leave are rare.
  if (!News.empty())
    for (auto &Other : Table.Peers)
      if (isHeard(Table, Other, Now))
        Other.NextHeartbeat = Now;
  chooseFullListReceiver(Table, Now, Generator);

  const auto Position = std::find_if(
      Table.Peers.begin(), Table.Peers.end(),
      [&](const Peer &Other) { return Other.NextHeartbeat <= Now; });
  const auto Superseded = std::exchange(Table.Superseded, {});
  const bool IsRivalDue = Table.Rival && Table.Rival->NextHeartbeat <= Now;
  const bool AreSeedsDue = Table.NextSeedContact <= Now;
  if (Position == Table.Peers.end() && Superseded.empty() && !IsRivalDue &&
      !AreSeedsDue)
    return Due;

  ++Table.Self.Sequence;
  const HostDescription Short = shortened(Table.Self);
  std::vector<HostDescription> Heard;
  for (auto &Other : Table.Peers) {
    if (Other.NextHeartbeat > Now)
      continue;
    const bool IsPeerHeard = isHeard(Table, Other, Now);
    const bool IsComplete = !IsPeerHeard || Other.NextComplete <= Now;
    Heartbeat Content{IsComplete ? Table.Self : Short, News};
    if (Other.NeedsFullList && IsPeerHeard) {
      if (Heard.empty())
        Heard = heardHosts(Table, Now, Generator);
      Content.Known = Heard;
      Other.NeedsFullList = false;
    }
    if (IsComplete)
      Other.NextComplete = Now + spread(Settings.CompleteInterval, Generator);
    const bool IsFresh =
        !Other.LastHeard && Now - Other.KnownSince < Settings.LostProbeInterval;
    Other.NextHeartbeat =
        Now +
        spread(IsPeerHeard || IsFresh ? Interval : Settings.LostProbeInterval,
               Generator);
    Due.push_back({Other.Description.PeerAddress, std::move(Content)});
  }
  for (const auto &Process : Superseded)
    if (const Peer *Successor = findPeer(Table, Process.Host))
      Due.push_back({Process.Remote, {Table.Self, {Successor->Description}}});
  if (IsRivalDue) {
    Table.Rival->NextHeartbeat = Now + Interval;
    Due.push_back({Table.Rival->Description.PeerAddress, {Table.Self, {}}});
  }
  if (AreSeedsDue) {
    // A seed counts as unknown until its host has been heard once.
    const bool IsAlone = aliveCount(Table, Now) == 0;
    Table.NextSeedContact =
        Now +
        spread(IsAlone ? Interval : Settings.LostProbeInterval, Generator);
    for (const auto &Seed : Table.Seeds)
      if (!isSeedKnown(Table, Seed))
        Due.push_back({Seed, {Table.Self, News}});
  }
  return Due;
}

TimePoint nextHeartbeat(const MemberTable &Table) {
  if (!Table.Superseded.empty())
    return TimePoint::min();
  TimePoint Next = Table.NextSeedContact;
  if (Table.Rival)
    Next = std::min(Next, Table.Rival->NextHeartbeat);
  for (const auto &Other : Table.Peers) {
    if (Other.IsNews)
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
  // Each peer sends as much to this host as this host sends to it.
  const double Messages =
      2.0 * static_cast<double>(Table.Peers.size()) / Seconds;
  const double Bytes = Table.Settings.GoalBytesPerSecond / Messages -
                       static_cast<double>(AverageHeartbeatBytes);
  return static_cast<std::size_t>(
      std::clamp(Bytes, 0.0, static_cast<double>(MaximumLoadBytes)));
}

} // namespace comfreyrill
