#include <LibRouting/PausedTargets.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// After a pause, requests resume one, two, four and so on at a time. The next
// tries of the refused callers are spread over this part of the pause, and over
// this time at least.
constexpr double RetrySpreadShare = 0.5;
constexpr Duration RetrySpreadMinimum = std::chrono::seconds(2);

bool isSameTarget(const TargetConfig &Target, const TargetId &Id,
                  const Endpoint &Address) {
  return Target.Id == Id && Target.Address == Address;
}

} // namespace

bool recordPause(RoutingState &State, TargetIndex Index, Duration Requested,
                 TimePoint Now) {
  TargetState &Target = State.Targets[Index];
  const bool WasPaused = isPaused(Target.Pause, Now);
  const TimePoint PreviousEnd = Target.Pause.EndsAt;
  beginPause(Target.Pause, Requested, State.Pauses, Now);
  // Calls that wait for the earliest end may have to wait too long now.
  if (Now < State.Queue.PausedUntil && PreviousEnd == State.Queue.PausedUntil) {
    State.Queue.PausedUntil = Now;
    allPausedUntil(State, Now);
  }
  if (WasPaused || !isPaused(Target.Pause, Now))
    return false;
  Target.AwaitsResumption = true;
  return true;
}

bool mayStillSend(const TargetState &Target, TimePoint Now) {
  return !Target.Draining && !isPaused(Target.Pause, Now);
}

std::optional<TimePoint> allPausedUntil(RoutingState &State, TimePoint Now) {
  if (Now < State.Queue.PausedUntil)
    return State.Queue.PausedUntil;
  TimePoint Earliest = TimePoint::max();
  for (const TargetState &Target : State.Targets) {
    if (Target.Draining)
      continue;
    if (!isPaused(Target.Pause, Now))
      return std::nullopt;
    Earliest = std::min(Earliest, Target.Pause.EndsAt);
  }
  if (Earliest == TimePoint::max())
    return std::nullopt;
  State.Queue.PausedUntil = Earliest;
  return Earliest;
}

Duration retryDelay(TimePoint PauseEnd, TimePoint Now, Random &Generator) {
  const Duration Left = std::max(PauseEnd - Now, Duration::zero());
  const Duration Spread =
      std::max(std::chrono::duration_cast<Duration>(Left * RetrySpreadShare),
               RetrySpreadMinimum);
  return Left + Duration(static_cast<Duration::rep>(randomIndex(
                    Generator, static_cast<std::size_t>(Spread.count()))));
}

void restorePause(RoutingState &State, TargetState &Target, TimePoint Now) {
  auto Known = std::find_if(
      State.RemovedPauses.begin(), State.RemovedPauses.end(),
      [&](const RemovedPause &Candidate) {
        return isSameTarget(Target.Config, Candidate.Id, Candidate.Address);
      });
  if (Known == State.RemovedPauses.end())
    return;
  if (isPaused(Known->Pause, Now)) {
    Target.Pause = Known->Pause;
    Target.AwaitsResumption = Known->AwaitsResumption;
  }
  State.RemovedPauses.erase(Known);
}

void keepRemovedPauses(RoutingState &State, const ServiceConfig &NextConfig,
                       TimePoint Now) {
  std::erase_if(State.RemovedPauses, [&](const RemovedPause &Candidate) {
    return !isPaused(Candidate.Pause, Now);
  });
  for (const TargetState &Target : State.Targets) {
    if (!isPaused(Target.Pause, Now))
      continue;
    const TargetConfig &Config = Target.Config;
    if (std::none_of(NextConfig.Targets.begin(), NextConfig.Targets.end(),
                     [&](const TargetConfig &Next) {
                       return isSameTarget(Next, Config.Id, Config.Address);
                     }))
      State.RemovedPauses.push_back(
          {Config.Id, Config.Address, Target.Pause, Target.AwaitsResumption});
  }
}

} // namespace comfreyrill
