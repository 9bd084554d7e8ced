#include "LoadExchange.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// The speed of targets changes every few hundred milliseconds, so a notice that
// is delayed much longer than this is of little use.
constexpr Duration ShortestInterval = std::chrono::milliseconds(25);
// The interval grows with the number of peers in the failure domain: each host
// sends to each other one, and the CPU time for that must stay below 1% of a
// core.
constexpr Duration IntervalPerPeer = std::chrono::milliseconds(6);
// Load reports older than this are not shared.
constexpr Duration AgeMaximum = std::chrono::milliseconds(500);

// Upper bound of a received count. A host cannot send this many requests to one
// target between two notices, so a larger count is a malformed message.
constexpr std::int32_t OutcomesMaximum = 10000;

// Longer than the start of any target.
constexpr Duration ColdMaximum = std::chrono::hours(24);

std::uint32_t outcomeCount(std::int32_t Received) {
  return static_cast<std::uint32_t>(std::clamp(Received, 0, OutcomesMaximum));
}

std::int32_t milliseconds(Duration Time) {
  return static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

LoadExchange::LoadExchange(const GatewayDependencies &Dependencies,
                           const MemberTable &Members, PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Mesh(Mesh),
      NoticeTimer(Dependencies.Context) {}

void LoadExchange::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

Awaitable<void> LoadExchange::run() {
  while (true) {
    const auto Peers = static_cast<Duration::rep>(Members.Peers.size());
    NoticeTimer.expires_after(
        std::max(ShortestInterval, IntervalPerPeer * Peers));
    const auto [Code] = co_await NoticeTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    sendNotice();
  }
}

void LoadExchange::sendNotice() {
  const TimePoint Now = Dependencies.TimeSource.now();
  wire::LoadNotice Notice;
  for (const TargetId &Id : Dependencies.CurrentState.takeUnsharedLoads()) {
    const TargetStats &Stats = Dependencies.CurrentState.targetStats(Id);
    if (!Stats.Load || Now - Stats.LoadObservedAt > AgeMaximum)
      continue;
    wire::ObservedLoad Load;
    Load.target = Id.Value;
    Load.in_flight = static_cast<std::int32_t>(Stats.Load->InFlight);
    Load.queued = static_cast<std::int32_t>(Stats.Load->Queued);
    Load.slots = static_cast<std::int32_t>(Stats.Load->Slots);
    Load.slowdown_percent =
        static_cast<std::int32_t>(Stats.Load->Slowdown * 100);
    Load.age_ms = milliseconds(Now - Stats.LoadObservedAt);
    Notice.loads.push_back(std::move(Load));
  }
  for (const auto &[Id, Counts] :
       Dependencies.CurrentState.takeUnsharedOutcomes()) {
    wire::ObservedOutcomes Outcomes;
    Outcomes.target = Id.Value;
    Outcomes.failures = static_cast<std::int32_t>(Counts.Failures);
    Outcomes.successes = static_cast<std::int32_t>(Counts.Successes);
    Notice.outcomes.push_back(std::move(Outcomes));
    Notice.__isset.outcomes = true;
  }
  for (const TargetProcess &Process :
       Dependencies.CurrentState.takeUnsharedLeaving()) {
    wire::LeavingTarget Leaving;
    Leaving.target = Process.Id.Value;
    Leaving.started_at_ms =
        static_cast<std::int64_t>(Process.StartedAtMilliseconds);
    Notice.leaving.push_back(std::move(Leaving));
    Notice.__isset.leaving = true;
  }
  addColdTargets(Notice);
  if (Notice.loads.empty() && Notice.outcomes.empty() &&
      Notice.leaving.empty() && Notice.cold.empty())
    return;
  wire::PeerBody Body;
  Body.__set_load_notice(Notice);
  for (const Peer *Other : alivePeers(Members, Now))
    if (!Mesh.send(Other->Description.PeerAddress, Body))
      ++Dependencies.ProcessMetrics.counter("load_notices_dropped_total");
}

void LoadExchange::addColdTargets(wire::LoadNotice &Notice) {
  const TimePoint Now = Dependencies.TimeSource.now();
  const auto &Targets = Dependencies.CurrentState.targets().Targets;
  for (const TargetProcess &Process :
       Dependencies.CurrentState.takeUnsharedCold()) {
    const auto Known = Targets.find(Process.Id);
    if (Known == Targets.end())
      continue;
    wire::ColdTarget Cold;
    Cold.target = Process.Id.Value;
    Cold.started_at_ms =
        static_cast<std::int64_t>(Process.StartedAtMilliseconds);
    Cold.left_ms = milliseconds(std::clamp(Known->second.ColdUntil - Now,
                                           Duration::zero(), ColdMaximum));
    Notice.cold.push_back(std::move(Cold));
    Notice.__isset.cold = true;
  }
}

void LoadExchange::onLoadNotice(const wire::LoadNotice &Notice) {
  const TimePoint Now = Dependencies.TimeSource.now();
  for (const wire::ObservedLoad &Load : Notice.loads) {
    LoadReport Report;
    Report.InFlight = static_cast<std::uint32_t>(std::max(Load.in_flight, 0));
    Report.Queued = static_cast<std::uint32_t>(std::max(Load.queued, 0));
    Report.Slots = static_cast<std::uint32_t>(std::max(Load.slots, 0));
    Report.Slowdown = std::max(Load.slowdown_percent, 0) / 100.0;
    Dependencies.CurrentState.recordSharedLoad(
        TargetId(Load.target), Report,
        Now - std::chrono::milliseconds(std::max(Load.age_ms, 0)));
  }
  for (const wire::ObservedOutcomes &Outcomes : Notice.outcomes)
    Dependencies.CurrentState.recordSharedOutcomes(
        TargetId(Outcomes.target),
        {outcomeCount(Outcomes.failures), outcomeCount(Outcomes.successes)});
  for (const wire::LeavingTarget &Leaving : Notice.leaving)
    Dependencies.CurrentState.recordLeaving(
        {TargetId(Leaving.target),
         static_cast<std::uint64_t>(Leaving.started_at_ms)},
        SignalSource::Host);
  for (const wire::ColdTarget &Cold : Notice.cold)
    Dependencies.CurrentState.recordCold(
        {TargetId(Cold.target), static_cast<std::uint64_t>(Cold.started_at_ms)},
        std::clamp<Duration>(std::chrono::milliseconds(Cold.left_ms),
                             Duration::zero(), ColdMaximum),
        SignalSource::Host);
}

} // namespace comfreyrill
