#include "SoakFaults.h"

#include <algorithm>
#include <array>

namespace comfreyrill::soak {

namespace {

constexpr std::size_t MinimumTargets = 4;
/// Time between the first sign that a target leaves and the start of its
/// replacement.
constexpr Duration ReplacementDelay = std::chrono::seconds(4);
// A copy of the store that is taken before a target leaves is complete within
// this time.
constexpr Duration CopyTime = std::chrono::milliseconds(50);
constexpr std::size_t PauseSeriesMaximum = 4;
// Limits end well before the final measurement.
constexpr Duration LimitRunOn = std::chrono::seconds(2);
constexpr Duration LimitRecheckTime = std::chrono::seconds(6);
constexpr int RetryAfterMaximumSeconds = 4;

/// A host that held the pause of an earlier process against the next one would
/// leave that one unused for longer than the check of use allows.
constexpr std::chrono::seconds RetryAfterBeforeRestart{20};
constexpr Duration RestartTimeMaximum = std::chrono::milliseconds(1500);

enum class EndOfProcess { Crash, Leave, LeaveWithRegistration, Pause };

enum class LeavingOrder { RegistrationAtOnce, RegistrationLater, HeaderOnly };

void addReplacement(SoakRun &Current) {
  if (const auto Added = addTarget(Current); !Added)
    Current.Violations.push_back(Added.error().Message);
}

Awaitable<void> addReplacementLater(SoakRun &Current) {
  co_await sleepFor(Current, ReplacementDelay);
  addReplacement(Current);
}

std::chrono::seconds randomRetryAfter(SoakRun &Current) {
  return std::chrono::seconds(
      1 + randomIndex(Current.Generator, RetryAfterMaximumSeconds));
}

void drainTarget(SoakRun &Current, SoakTarget &Target) {
  Target.drain();
  Current.Store.put("servers", Target.id(), Target.registration());
  Current.Records.DrainedTargets.push_back(
      {Current.TimeSource.now(), Target.process(), 0});
}

/// Ends a target, whose registration expires a little later.
Awaitable<void> endTarget(SoakRun &Current, SoakTarget &Target) {
  endReadiness(Current, Target);
  Target.crash();
  co_await sleepFor(Current, randomDuration(Current, 100, 1000));
  removeRegistration(Current, Target);
}

/// Starts a fault of the store that keeps hosts from learning that a target
/// leaves, or that shows it as ready again.
Awaitable<void> injectFaultWhileLeaving(SoakRun &Current) {
  switch (randomIndex(Current.Generator, 6)) {
  case 0:
    start(Current, injectStoreFault(Current));
    break;
  case 1:
    start(Current, silenceStoreToHosts(Current));
    break;
  case 2:
    start(Current, restoreStore(Current));
    break;
  default:
    co_return;
  }
  co_await sleepFor(Current, CopyTime);
}

} // namespace

Awaitable<void> injectTargetFault(SoakRun &Current) {
  constexpr std::array<TargetFault, 4> Faults{
      TargetFault::Slow, TargetFault::Shed, TargetFault::Unsigned,
      TargetFault::LoseAnswer};
  SoakTarget &Target = chooseTarget(Current);
  const std::size_t Kind = randomIndex(Current.Generator, Faults.size());
  const Duration Length = randomDuration(Current, 200, 3000);
  logFault(Current, "target fault " + std::to_string(Kind) + " at " +
                        Target.id() + " for " + milliseconds(Length));
  const TimePoint Begin = Current.TimeSource.now();
  Target.inject(Faults[Kind]);
  co_await sleepFor(Current, Length);
  Target.inject(TargetFault::None);
  Target.link()->clearFault();
  if (Faults[Kind] == TargetFault::LoseAnswer)
    Current.Records.TargetLinkFaults.push_back(
        {Target.id(), Begin, Current.TimeSource.now()});
}

Awaitable<void> pauseTarget(SoakRun &Current) {
  SoakTarget &Target = chooseTarget(Current);
  if (Target.isPaused())
    co_return;
  const std::size_t Pauses =
      1 + randomIndex(Current.Generator, PauseSeriesMaximum);
  for (std::size_t Pause = 0;
       Pause < Pauses && Current.TimeSource.now() < Current.FaultsUntil;
       ++Pause) {
    const std::chrono::seconds RetryAfter = randomRetryAfter(Current);
    const Duration Length = randomDuration(Current, 300, 4000);
    const bool RefusesProbes = randomIndex(Current.Generator, 2) == 0;
    logFault(Current, "pauses of " + milliseconds(RetryAfter) + " at " +
                          Target.id() + " for " + milliseconds(Length) +
                          (RefusesProbes ? ", also of probes" : ""));
    Target.pause(RetryAfter, RefusesProbes);
    co_await sleepFor(Current, Length);
    Target.pause(std::chrono::seconds(0));
    co_await sleepFor(Current, randomDuration(Current, 100, 1000));
  }
}

Awaitable<void> limitTarget(SoakRun &Current) {
  constexpr std::array<double, 3> Limits{1, 2, 4};
  SoakTarget &Target = chooseTarget(Current);
  if (Target.isLimited())
    co_return;
  const double Limit = Limits[randomIndex(Current.Generator, Limits.size())];
  const Duration Length = randomDuration(Current, 4000, 9000);
  logFault(Current, "limit of " + std::to_string(Limit) + " at " + Target.id() +
                        " for " + milliseconds(Length));
  const TimePoint Begin = Current.TimeSource.now();
  const TimePoint End =
      std::min(Begin + Length, Current.FaultsUntil + LimitRunOn);
  endReadiness(Current, Target);
  Target.limit(Limit);
  co_await sleepFor(Current, End - Begin);
  Target.limit(0);
  Current.Records.RequestLimits.push_back(
      {Target.process(), Limit, Begin, Current.TimeSource.now()});
  // Hosts without a share of the limit check every few seconds whether it
  // still holds.
  co_await sleepFor(Current, LimitRecheckTime);
  const auto &Live = Current.LiveTargets;
  if (std::find(Live.begin(), Live.end(), &Target) != Live.end())
    beginReadiness(Current, Target);
}

Awaitable<void> crashTarget(SoakRun &Current) {
  if (Current.LiveTargets.size() <= MinimumTargets)
    co_return;
  SoakTarget &Target = chooseTarget(Current);
  std::erase(Current.LiveTargets, &Target);
  logFault(Current, "crash " + Target.id());
  co_await endTarget(Current, Target);
  addReplacement(Current);
}

void removeRegistration(SoakRun &Current, const SoakTarget &Ended) {
  const bool IsReplaced = std::any_of(
      Current.Targets.begin(), Current.Targets.end(),
      [&](const std::unique_ptr<SoakTarget> &Other) {
        return Other->id() == Ended.id() && Ended.process() < Other->process();
      });
  if (!IsReplaced)
    Current.Store.remove("servers", Ended.id());
}

Awaitable<void> restartTarget(SoakRun &Current) {
  constexpr std::array<EndOfProcess, 4> Ends{
      EndOfProcess::Crash, EndOfProcess::Leave,
      EndOfProcess::LeaveWithRegistration, EndOfProcess::Pause};
  if (Current.LiveTargets.size() <= MinimumTargets)
    co_return;
  SoakTarget &Target = chooseTarget(Current);
  std::erase(Current.LiveTargets, &Target);
  const std::size_t End = randomIndex(Current.Generator, Ends.size());
  const bool KeepsAddress = randomIndex(Current.Generator, 2) == 0;
  logFault(Current, "restart " + describe(Target.process()) + " with end " +
                        std::to_string(End) +
                        (KeepsAddress ? " at the same address" : ""));
  if (Ends[End] != EndOfProcess::Crash) {
    endReadiness(Current, Target);
    if (Ends[End] == EndOfProcess::Pause)
      Target.pause(RetryAfterBeforeRestart,
                   randomIndex(Current.Generator, 2) == 0);
    else
      Target.leave();
    if (Ends[End] == EndOfProcess::LeaveWithRegistration)
      drainTarget(Current, Target);
    co_await sleepFor(Current, randomDuration(Current, 300, 3000));
  }
  endReadiness(Current, Target);
  Target.crash();
  if (randomIndex(Current.Generator, 2) == 0)
    removeRegistration(Current, Target);
  co_await sleepFor(
      Current, randomDuration(Current, 0,
                              static_cast<int>(RestartTimeMaximum /
                                               std::chrono::milliseconds(1))));
  if (const auto Added = addNextProcess(Current, Target, KeepsAddress);
      !Added) {
    Current.Violations.push_back(Added.error().Message);
  } else if (randomIndex(Current.Generator, 3) == 0) {
    // Hosts that do not know of the process yet hear of its pause first.
    SoakTarget &Next = *Current.LiveTargets.back();
    logFault(Current, "pause from the start of " + describe(Next.process()));
    Next.pause(randomRetryAfter(Current),
               randomIndex(Current.Generator, 2) == 0);
    co_await sleepFor(Current, randomDuration(Current, 300, 2000));
    Next.pause(std::chrono::seconds(0));
  }
}

Awaitable<void> leaveTarget(SoakRun &Current) {
  constexpr std::array<LeavingOrder, 3> Orders{LeavingOrder::RegistrationAtOnce,
                                               LeavingOrder::RegistrationLater,
                                               LeavingOrder::HeaderOnly};
  if (Current.LiveTargets.size() <= MinimumTargets)
    co_return;
  SoakTarget &Target = chooseTarget(Current);
  std::erase(Current.LiveTargets, &Target);
  co_await injectFaultWhileLeaving(Current);
  const LeavingOrder Order =
      Orders[randomIndex(Current.Generator, Orders.size())];
  endReadiness(Current, Target);
  Target.leave();
  start(Current, addReplacementLater(Current));
  if (Order == LeavingOrder::HeaderOnly) {
    logFault(Current, "leave " + Target.id() + " without registration");
  } else {
    const Duration Delay = Order == LeavingOrder::RegistrationLater
                               ? randomDuration(Current, 0, 5000)
                               : Duration::zero();
    logFault(Current, "leave " + Target.id() + ", registration after " +
                          milliseconds(Delay));
    co_await sleepFor(Current, Delay);
    drainTarget(Current, Target);
  }
  co_await sleepFor(Current, randomDuration(Current, 4000, 8000));
  co_await endTarget(Current, Target);
}

} // namespace comfreyrill::soak
