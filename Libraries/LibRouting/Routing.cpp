#include <LibRouting/PausedTargets.h>
#include <LibRouting/Routing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyrill {

namespace {

constexpr std::size_t RecentReportsMaximum = 4;

// The moving average covers about 64 reports.
constexpr double MeanOthersLoadWeight = 1.0 / 64;

// A more recent attempt may not have reached the target before the target wrote
// its report: connecting takes about 1 ms and the one-way network delay is
// 0.5 ms.
constexpr Duration SettleTime = std::chrono::milliseconds(5);

// Peers send their counts four times a second. The counts of a peer that has
// missed this much time are stale.
constexpr Duration PeerLoadLifetime = std::chrono::seconds(1);

// A target with a more recent report needs no probe.
constexpr Duration ProbeReportAgeMinimum = std::chrono::milliseconds(200);
constexpr Duration DrainingProbeInterval = std::chrono::milliseconds(500);

// At most half of the targets may be ejected: otherwise the remaining targets
// could fail under the load of the ejected ones.
bool canEjectAnother(const RoutingState &State) {
  const auto Ejected = std::count_if(
      State.Targets.begin(), State.Targets.end(),
      [](const TargetState &Target) { return Target.Outlier.Ejected; });
  return (static_cast<std::size_t>(Ejected) + 1) * 2 <= State.Targets.size();
}

void beginSlowStart(TargetState &Target, TimePoint Now) {
  Target.InSlowStart = true;
  Target.SlowStartSince = Now;
}

std::uint32_t settledInFlight(const TargetState &Target, TimePoint Now) {
  return static_cast<std::uint32_t>(
      std::count_if(Target.AttemptStarts.begin(), Target.AttemptStarts.end(),
                    [&](TimePoint Start) { return Now - Start > SettleTime; }));
}

void removeAttemptStart(TargetState &Target, TimePoint Start) {
  if (Target.AttemptStarts.empty())
    return;
  auto Nearest = std::min_element(
      Target.AttemptStarts.begin(), Target.AttemptStarts.end(),
      [&](TimePoint Left, TimePoint Right) {
        return std::chrono::abs(Left - Start) < std::chrono::abs(Right - Start);
      });
  *Nearest = Target.AttemptStarts.back();
  Target.AttemptStarts.pop_back();
}

void addRecentReport(RoutingState &State, TargetIndex Target) {
  auto &Recent = State.RecentReports;
  if (std::find(Recent.begin(), Recent.end(), Target) != Recent.end())
    return;
  if (Recent.size() < RecentReportsMaximum) {
    Recent.push_back(Target);
    return;
  }
  Recent[State.NextRecentReport] = Target;
  State.NextRecentReport = (State.NextRecentReport + 1) % RecentReportsMaximum;
}

Duration meanAnswerTime(const RoutingState &State) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(State.AnswerTimes.MeanSeconds));
}

// A pause belongs to one process of the target.
void carryPauseOver(RoutingState &State, TargetState &Target,
                    const Endpoint &PreviousAddress, TimePoint Now) {
  if (Target.Config.Address == PreviousAddress)
    return;
  Target.Pause = {};
  Target.AwaitsResumption = false;
  restorePause(State, Target, Now);
}

void updateDraining(RoutingState &State, TargetState &Target, TimePoint Now) {
  const bool IsDraining = Target.ReportsDraining || Target.IsOnLeavingMachine;
  if (Target.Draining && !IsDraining) {
    beginSlowStart(Target, Now);
    State.Queue.PausedUntil = std::min(State.Queue.PausedUntil, Now);
  }
  Target.Draining = IsDraining;
}

void subtractPeerLoad(RoutingState &State, const PeerState &Peer) {
  for (std::size_t Index = 0; Index < Peer.InFlight.size(); ++Index)
    State.Targets[Index].PeerInFlight -= Peer.InFlight[Index];
}

} // namespace

void updateTargets(RoutingState &State, const ServiceConfig &Config,
                   TimePoint Now) {
  const bool IsFirst = State.Targets.empty();
  keepRemovedPauses(State, Config, Now);
  State.Queue.PausedUntil = std::min(State.Queue.PausedUntil, Now);
  std::vector<TargetState> Next;
  Next.reserve(Config.Targets.size());
  for (const TargetConfig &Target : Config.Targets) {
    auto Known = std::find_if(State.Targets.begin(), State.Targets.end(),
                              [&](const TargetState &Candidate) {
                                return Candidate.Config.Id == Target.Id;
                              });
    TargetState Entry;
    if (Known != State.Targets.end())
      Entry = *Known;
    else if (!IsFirst)
      beginSlowStart(Entry, Now);
    // The counts of peers refer to target indexes, which may have changed.
    Entry.PeerInFlight = 0;
    const Endpoint PreviousAddress = Entry.Config.Address;
    Entry.Config = Target;
    if (Known == State.Targets.end())
      restorePause(State, Entry, Now);
    else
      carryPauseOver(State, Entry, PreviousAddress, Now);
    Entry.InHostDomain = Target.Domain == State.HostDomain;
    Entry.Slots = std::max(Target.Slots, 1U);
    Entry.InverseSlots = 1 / Entry.Slots;
    Next.push_back(std::move(Entry));
  }
  State.InFlight = 0;
  for (const TargetState &Target : Next)
    State.InFlight += Target.InFlight;
  State.Config = Config;
  State.Targets = std::move(Next);
  setHostsMaximum(State, State.HostsMaximum);
  State.Peers.clear();
  State.RecentReports.clear();
  State.NextRecentReport = 0;
}

void setHostsMaximum(RoutingState &State, std::uint32_t HostsMaximum) {
  State.HostsMaximum = std::max(HostsMaximum, 1U);
  for (TargetState &Target : State.Targets)
    Target.ConnectionShare =
        std::max(Target.Config.MaxConnections / State.HostsMaximum, 1U);
}

void recordCall(RoutingState &State, TimePoint Now) {
  countArrival(State.Queue);
  addTokens(State.Retries, State.Config.Retry.BudgetRatio);
  if (State.Config.Hedge.Enabled)
    addTokens(State.Hedges, State.Config.Hedge.BudgetRatio);
  addProbeTokens(State.Probes, State.Config.LoadProbing, Now);
}

bool recordAttemptStart(RoutingState &State, TargetIndex Index, TimePoint Now) {
  TargetState &Target = State.Targets[Index];
  ++State.InFlight;
  ++Target.InFlight;
  Target.AttemptStarts.push_back(Now);
  return std::exchange(Target.AwaitsResumption, false);
}

void recordAttemptEnd(RoutingState &State, const AttemptResult &Result,
                      TimePoint Now) {
  TargetState &Target = State.Targets[Result.Target];
  if (Target.InFlight > 0) {
    --Target.InFlight;
    --State.InFlight;
  }
  removeAttemptStart(Target, Now - Result.Elapsed);
  const double Quantile = State.Config.Hedge.Quantile;
  switch (Result.End) {
  case AttemptEnd::Answered:
    countSuccess(Target.Outlier);
    // An attempt that was sent before the pause does not show that the target
    // has room again.
    if (Now - Result.Elapsed >= Target.Pause.EndsAt)
      recordAnswerAfterPause(Target.Pause, Now);
    recordAnswerTime(Target.AnswerTime, State.AnswerTimes, Result.Elapsed,
                     Quantile);
    Target.RelativeAnswerTime =
        relativeAnswerTime(Target.AnswerTime, State.AnswerTimes);
    return;
  case AttemptEnd::Cancelled:
    recordCancelledTime(State.AnswerTimes, Result.Elapsed, Quantile);
    return;
  case AttemptEnd::Shed:
  case AttemptEnd::Withdrawn:
    return;
  case AttemptEnd::Failed:
  case AttemptEnd::ConnectionFailed:
    if (countFailure(Target.Outlier,
                     Result.End == AttemptEnd::ConnectionFailed) &&
        !Target.Outlier.Ejected && canEjectAnother(State))
      eject(Target.Outlier, Now);
    return;
  }
}

void recordLoadReport(RoutingState &State, TargetIndex Index,
                      const LoadReport &Report, TimePoint Now) {
  TargetState &Target = State.Targets[Index];
  // A target that has begun to drain answers requests that it has had before,
  // and answers can overtake each other.
  if (!Target.ReportsDraining || Report.Draining ||
      Report.RequestedAt >= Target.DrainingReportedAt) {
    Target.DrainingReportedAt = Now;
    recordDraining(State, Index, Report.Draining, Now);
  }
  const std::uint32_t Reported = Report.InFlight + Report.Queued;
  const std::uint32_t Settled = settledInFlight(Target, Now);
  if (!acceptReport(Target.Trust, Reported<Settled, Settled> 0, Now)) {
    Target.HasReport = false;
    return;
  }
  Target.OthersLoadAtReport =
      Reported > Target.InFlight ? Reported - Target.InFlight : 0;
  Target.ReportedAt = Now;
  Target.HasReport = true;
  const double PerSlot = Target.OthersLoadAtReport * Target.InverseSlots;
  State.MeanOthersLoadPerSlot +=
      (State.HasMeanOthersLoad ? MeanOthersLoadWeight : 1) *
      (PerSlot - State.MeanOthersLoadPerSlot);
  State.HasMeanOthersLoad = true;
  addRecentReport(State, Index);
}

void recordPeerProbe(RoutingState &State, TargetIndex Index,
                     const LoadReport &Report, TimePoint ReportedAt,
                     TimePoint Now) {
  TargetState &Target = State.Targets[Index];
  Target.ProbedAt = std::max(Target.ProbedAt, ReportedAt);
  if (ReportedAt <= Target.DrainingReportedAt)
    return;
  Target.DrainingReportedAt = ReportedAt;
  recordDraining(State, Index, Report.Draining, Now);
}

void recordDraining(RoutingState &State, TargetIndex Index, bool Draining,
                    TimePoint Now) {
  State.Targets[Index].ReportsDraining = Draining;
  updateDraining(State, State.Targets[Index], Now);
}

void recordDrainingAnswer(RoutingState &State, TargetIndex Index,
                          TimePoint Now) {
  State.Targets[Index].DrainingReportedAt = Now;
  recordDraining(State, Index, true, Now);
}

void recordLeavingMachine(RoutingState &State, TargetIndex Index,
                          bool IsLeaving, TimePoint Now) {
  State.Targets[Index].IsOnLeavingMachine = IsLeaving;
  updateDraining(State, State.Targets[Index], Now);
}

void recordPeerLoad(RoutingState &State, const HostId &Host,
                    const std::vector<PeerTargetLoad> &Loads, TimePoint Now) {
  removePeer(State, Host);
  for (std::size_t Index = State.Peers.size(); Index-- > 0;)
    if (Now - State.Peers[Index].ReceivedAt > PeerLoadLifetime)
      removePeer(State, HostId(State.Peers[Index].Host));
  PeerState Peer{Host, Now, std::vector<std::uint32_t>(State.Targets.size())};
  for (const PeerTargetLoad &Load : Loads)
    if (Load.Target < Peer.InFlight.size())
      Peer.InFlight[Load.Target] = Load.InFlight;
  for (std::size_t Index = 0; Index < Peer.InFlight.size(); ++Index)
    State.Targets[Index].PeerInFlight += Peer.InFlight[Index];
  State.Peers.push_back(std::move(Peer));
}

void removePeer(RoutingState &State, const HostId &Host) {
  auto Known = std::find_if(
      State.Peers.begin(), State.Peers.end(),
      [&](const PeerState &Candidate) { return Candidate.Host == Host; });
  if (Known == State.Peers.end())
    return;
  subtractPeerLoad(State, *Known);
  State.Peers.erase(Known);
}

// A nested call that retried after any failure would multiply the attempts of
// all levels above it. Such a call is retried only if the target is proved not
// to have executed it.
bool tryAcquireRetry(RoutingState &State, const RetryInput &Input,
                     TimePoint Now) {
  if (Input.Attempts >= State.Config.Retry.MaxAttempts || Now >= Input.Deadline)
    return false;
  if (!Input.ProvedNotRun && (!Input.Idempotent || Input.Depth > 1))
    return false;
  return tryTakeToken(State.Retries);
}

Duration hedgeDelay(const RoutingState &State) {
  const auto Delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(State.AnswerTimes.HedgeQuantileSeconds));
  return std::max(Delay, State.Config.Hedge.MinimumDelay);
}

bool tryAcquireHedge(RoutingState &State, const HedgeInput &Input,
                     TimePoint Now) {
  if (!State.Config.Hedge.Enabled || !Input.Idempotent || Input.Depth > 1 ||
      Now >= Input.Deadline || State.AnswerTimes.Samples == 0)
    return false;
  return tryTakeToken(State.Hedges);
}

// Draining targets are probed first, because they get no calls whose answers
// would show that draining has ended; next is the target with the oldest
// report.
std::optional<TargetIndex> chooseProbeTarget(RoutingState &State,
                                             TimePoint Now) {
  if (!canProbe(State.Probes, State.Config.LoadProbing, State.HostsMaximum,
                Now))
    return std::nullopt;
  std::optional<TargetIndex> Oldest;
  bool OldestIsDraining = false;
  TimePoint OldestReportAt;
  for (TargetIndex Index = 0; Index < State.Targets.size(); ++Index) {
    const TargetState &Target = State.Targets[Index];
    if (isPaused(Target.Pause, Now))
      continue;
    TimePoint LastReportAt = Target.ProbedAt;
    if (Target.HasReport && !Target.Draining)
      LastReportAt = std::max(LastReportAt, Target.ReportedAt);
    const Duration Interval =
        Target.Draining ? DrainingProbeInterval : ProbeReportAgeMinimum;
    if (Now - LastReportAt < Interval || (OldestIsDraining && !Target.Draining))
      continue;
    if (!Oldest || LastReportAt < OldestReportAt ||
        (Target.Draining && !OldestIsDraining)) {
      Oldest = Index;
      OldestIsDraining = Target.Draining;
      OldestReportAt = LastReportAt;
    }
  }
  if (!Oldest)
    return std::nullopt;
  takeProbeToken(State.Probes, State.Config.LoadProbing, State.HostsMaximum,
                 Now);
  State.Targets[*Oldest].ProbedAt = Now;
  return Oldest;
}

Admission admitToQueue(RoutingState &State, std::uint64_t WaiterId,
                       TimePoint Deadline, TimePoint Now) {
  return joinQueue(State.Queue, {WaiterId, Deadline, Now},
                   State.Config.QueueLength, State.InFlight,
                   meanAnswerTime(State), Now);
}

std::vector<std::uint64_t> removeExpiredCalls(RoutingState &State,
                                              TimePoint Now) {
  return removeExpired(State.Queue, meanAnswerTime(State), Now);
}

} // namespace comfreyrill
