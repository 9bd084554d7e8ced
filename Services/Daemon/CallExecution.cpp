#include "CallExecution.h"

#include "HeaderNames.h"
#include "TargetPauses.h"

#include <LibRouting/PausedTargets.h>

namespace comfreyrill {

namespace {

// A queued call retries target selection after this time even if no call has
// ended on this host, because calls of other hosts also free slots.
constexpr Duration QueuePollInterval = std::chrono::milliseconds(10);

std::int64_t microseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
}

std::string_view attemptEndName(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::Failed:
    return "failed";
  case AttemptEnd::Shed:
    return "shed";
  case AttemptEnd::ConnectionFailed:
    return "connection_failed";
  case AttemptEnd::Cancelled:
    return "cancelled";
  case AttemptEnd::Withdrawn:
    return "withdrawn";
  }
  return "failed";
}

std::string_view admissionReason(Admission Verdict) {
  switch (Verdict) {
  case Admission::QueueFull:
    return "queue_full";
  case Admission::Paused:
    return "targets_paused";
  default:
    return "deadline_too_close";
  }
}

} // namespace

CallExecution::CallExecution(const DaemonDependencies &Dependencies,
                             ExecutionInput Input)
    : Dependencies(Dependencies), Input(std::move(Input)),
      Started(Dependencies.TimeSource.now()) {}

void CallExecution::cancel() {
  HasCallerLeft = true;
  if (Primary)
    Primary->Handle->cancel();
  if (Hedge)
    Hedge->Handle->cancel();
  if (WaitTimer)
    WaitTimer->cancel();
}

Awaitable<CallResult> CallExecution::run() {
  const auto Self = shared_from_this();
  recordCall(Input.Runtime->Routing, Started);
  while (true) {
    const TargetChoice Chosen = co_await chooseOrWait();
    if (Chosen.Kind != TargetChoiceKind::Dispatch)
      co_return refusal(Chosen.Reason);
    if (Input.Hooks.MayBegin && !Input.Hooks.MayBegin())
      co_return refusal("deadline_passed");
    Primary = startAttempt(Chosen.Target);
    armHedge();
    co_await runAttempt(Primary, Input.Request);
    HedgeTimer.reset();

    AttemptReport &Report = Primary->Report;
    if (Report.End == AttemptEnd::Answered) {
      if (Hedge)
        Hedge->Handle->cancel();
      co_return answerResult(std::move(*Report.Answer), Primary->Config.Id);
    }
    auto HedgeResult = co_await hedgeAnswer();
    if (HedgeResult)
      co_return std::move(*HedgeResult);
    // Nothing was sent, so the next choice is no retry.
    if (Report.End == AttemptEnd::Withdrawn && !HasCallerLeft)
      continue;
    const bool ShouldRetry = co_await mayRetry(Report);
    if (ShouldRetry) {
      ++Dependencies.ProcessMetrics.service(Input.Call.Service).Retries;
      continue;
    }
    if (Report.Answer)
      co_return answerResult(std::move(*Report.Answer), Primary->Config.Id);
    co_return failure(Report);
  }
}

TargetChoice CallExecution::choose() {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (HasCallerLeft)
    return {TargetChoiceKind::Refuse, 0, "caller_left"};
  if (Now >= Input.Deadline)
    return {TargetChoiceKind::Refuse, 0, "deadline_passed"};
  const TargetChoiceInput ChoiceInput{Dependencies.HostDomain, Input.Deadline,
                                      Tried};
  const TargetChoice Chosen = chooseTarget(Input.Runtime->Routing, ChoiceInput,
                                           Now, Dependencies.Generator);
  logTargetChoice(Chosen, "route");
  return Chosen;
}

// A call that arrives while others are queued joins the queue, so that it does
// not overtake them.
Awaitable<TargetChoice> CallExecution::chooseOrWait() {
  ServiceRuntime &Runtime = *Input.Runtime;
  if (!headOfQueue(Runtime.Routing.Queue)) {
    const TargetChoice Chosen = choose();
    if (Chosen.Kind != TargetChoiceKind::Wait)
      co_return Chosen;
  }
  const std::uint64_t WaiterId = ++Runtime.LastWaiterId;
  const Admission Verdict = admitToQueue(
      Runtime.Routing, WaiterId, Input.Deadline, Dependencies.TimeSource.now());
  if (Verdict != Admission::Admitted)
    co_return TargetChoice{TargetChoiceKind::Refuse, 0,
                           admissionReason(Verdict)};

  Timer QueueTimer(Dependencies.Context);
  WaitTimer = &QueueTimer;
  Runtime.Waiters.emplace(WaiterId, &QueueTimer);
  TargetChoice Chosen{TargetChoiceKind::Wait, 0, "queued"};
  while (Chosen.Kind == TargetChoiceKind::Wait) {
    QueueTimer.expires_at(std::min(
        Input.Deadline, Dependencies.TimeSource.now() + QueuePollInterval));
    co_await QueueTimer.async_wait(UseTuple);
    expireWaiters(Runtime, Dependencies.TimeSource.now());
    if (Runtime.Expired.erase(WaiterId) > 0) {
      Chosen = {TargetChoiceKind::Refuse, 0,
                Dependencies.TimeSource.now() <
                        Runtime.Routing.Queue.PausedUntil
                    ? "targets_paused"
                    : "deadline_too_close"};
      logTargetChoice(Chosen, "route");
      break;
    }
    const TimePoint Now = Dependencies.TimeSource.now();
    const WaitQueue &Queue = Runtime.Routing.Queue;
    const bool MayLeave =
        headOfQueue(Queue) == WaiterId && Now >= Queue.PausedUntil;
    if (MayLeave || HasCallerLeft || Now >= Input.Deadline)
      Chosen = choose();
  }
  WaitTimer = nullptr;
  Runtime.Waiters.erase(WaiterId);
  removeFromQueue(Runtime.Routing.Queue, WaiterId);
  // More than one slot may be free, so the next queued call selects a target
  // too.
  wakeFirstWaiter(Runtime);
  co_return Chosen;
}

std::shared_ptr<CallExecution::Attempt>
CallExecution::startAttempt(TargetIndex Target) {
  auto Current = std::make_shared<Attempt>();
  Current->Number = ++Attempts;
  Current->Target = Target;
  Current->Config = Input.Runtime->Routing.Targets[Target].Config;
  Tried.push_back(Target);
  ++Dependencies.ProcessMetrics.service(Input.Call.Service).Attempts;
  if (recordAttemptStart(Input.Runtime->Routing, Target,
                         Dependencies.TimeSource.now()))
    reportResumption(Dependencies, *Input.Runtime, Target);
  return Current;
}

Awaitable<void> CallExecution::runAttempt(std::shared_ptr<Attempt> Current,
                                          HttpRequest &OutgoingRequest) {
  const TimePoint Begin = Dependencies.TimeSource.now();
  const auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Input.Deadline - Begin);
  // No other exchange is writing the request while its headers change: a retry
  // begins after the previous exchange has ended, and a hedge has its own copy.
  OutgoingRequest.set(header::DeadlineMilliseconds,
                      std::to_string(Remaining.count()));
  OutgoingRequest.set(http::field::host,
                      formatEndpoint(Current->Config.Address));
  std::function<bool()> MayBegin = [this, Current] {
    return mayBegin(*Current);
  };
  Current->Report = co_await sendToTarget(
      Dependencies.Pool, Current->Config.Address, OutgoingRequest,
      Dependencies.TargetLimits, Input.Deadline, Current->Handle,
      std::move(MayBegin));
  Current->IsDone = true;
  recordAttemptResult(*Current, Begin, Dependencies.TimeSource.now());
}

bool CallExecution::mayBegin(const Attempt &Current) const {
  const RoutingState &Routing = Input.Runtime->Routing;
  const auto Index = findSameTarget(Routing, Current.Target, Current.Config);
  return Index &&
         mayStillSend(Routing.Targets[*Index], Dependencies.TimeSource.now());
}

void CallExecution::recordAttemptResult(Attempt &Ended, TimePoint Begin,
                                        TimePoint End) {
  AttemptReport &Report = Ended.Report;
  RoutingState &Routing = Input.Runtime->Routing;
  if (const auto Index = findTarget(Routing, Ended.Target, Ended.Config.Id)) {
    recordAttemptEnd(Routing, {*Index, Report.End, End - Begin}, End);
    if (Report.Load) {
      Report.Load->RequestedAt = Begin;
      recordLoadReport(Routing, *Index, *Report.Load, End);
    } else if (Report.SaysDraining) {
      recordDrainingAnswer(Routing, *Index, End);
    }
  }
  if (Report.SaysShed && Report.RetryAfter)
    if (const auto Index = findSameTarget(Routing, Ended.Target, Ended.Config))
      pauseTarget(Dependencies, *Input.Runtime, *Index, *Report.RetryAfter,
                  "shed");
  if (Report.End == AttemptEnd::Withdrawn) {
    ++WithdrawnAttempts;
    ++Dependencies.ProcessMetrics.service(Input.Call.Service).WithdrawnAttempts;
    std::erase(Tried, Ended.Target);
  }
  wakeFirstWaiter(*Input.Runtime);
  if (Report.IsProvedNotRun && Input.Hooks.ProvedNotRun)
    Input.Hooks.ProvedNotRun();
  MayHaveRun = MayHaveRun || !Report.IsProvedNotRun;
  if (Report.LooksLikeCrash && Input.Crashes.OnCrash)
    Input.Crashes.OnCrash(Ended.Config.Id);
  if (Report.End == AttemptEnd::Answered && Input.Crashes.OnAnswer)
    Input.Crashes.OnAnswer();
  if (Ended.Number == 1 && Report.End == AttemptEnd::Answered)
    Dependencies.ProcessMetrics.service(Input.Call.Service)
        .AddedTime.add(Begin - Started);
  logFailedAttempt(Ended, End - Begin);
}

// Nested calls are not hedged: each level would multiply the attempts at the
// levels below.
void CallExecution::armHedge() {
  const HedgePolicy &Policy = Input.Runtime->Routing.Config.Hedge;
  if (!Policy.Enabled || !Input.IsIdempotent || Input.Call.Depth > 1 || Hedge)
    return;
  const TimePoint Start =
      Dependencies.TimeSource.now() + hedgeDelay(Input.Runtime->Routing);
  if (Start >= Input.Deadline)
    return;
  HedgeTimer.emplace(Dependencies.Context);
  HedgeTimer->expires_at(Start);
  HedgeTimer->async_wait([Weak = weak_from_this()](const auto &Code) {
    const auto Self = Weak.lock();
    if (Self && !Code)
      Self->startHedge();
  });
}

void CallExecution::startHedge() {
  if (HasCallerLeft || !Primary || Primary->IsDone)
    return;
  // Hedging a request that crashes targets would crash a second target before
  // the first crash is detected.
  if (Input.Crashes.HasCrashEvidence && Input.Crashes.HasCrashEvidence())
    return;
  const TimePoint Now = Dependencies.TimeSource.now();
  RoutingState &Routing = Input.Runtime->Routing;
  const TargetChoiceInput ChoiceInput{Dependencies.HostDomain, Input.Deadline,
                                      Tried};
  const TargetChoice Chosen =
      chooseTarget(Routing, ChoiceInput, Now, Dependencies.Generator);
  if (Chosen.Kind != TargetChoiceKind::Dispatch ||
      !tryAcquireHedge(
          Routing, {Input.Call.Depth, Input.IsIdempotent, Input.Deadline}, Now))
    return;
  logTargetChoice(Chosen, "hedge");
  ++Dependencies.ProcessMetrics.service(Input.Call.Service).Hedges;
  Hedge = startAttempt(Chosen.Target);
  asio::co_spawn(
      Dependencies.Context,
      [Self = shared_from_this(), Current = Hedge] {
        return Self->runHedge(Current);
      },
      asio::detached);
}

Awaitable<void> CallExecution::runHedge(std::shared_ptr<Attempt> Current) {
  HttpRequest Copy = Input.Request;
  co_await runAttempt(Current, Copy);
  if (Current->Report.End == AttemptEnd::Answered && !Primary->IsDone)
    Primary->Handle->cancel();
  if (WaitTimer)
    WaitTimer->cancel();
}

Awaitable<std::optional<CallResult>> CallExecution::hedgeAnswer() {
  if (!Hedge)
    co_return std::nullopt;
  Timer Wait(Dependencies.Context);
  WaitTimer = &Wait;
  while (!Hedge->IsDone) {
    Wait.expires_at(TimePoint::max());
    co_await Wait.async_wait(UseTuple);
  }
  WaitTimer = nullptr;
  if (Hedge->Report.End != AttemptEnd::Answered)
    co_return std::nullopt;
  co_return answerResult(std::move(*Hedge->Report.Answer), Hedge->Config.Id);
}

Awaitable<bool> CallExecution::mayRetry(const AttemptReport &Report) {
  if (HasCallerLeft)
    co_return false;
  if (Report.LooksLikeCrash && Input.Crashes.MayRetry) {
    const bool IsAllowed = co_await mayRetryAfterCrash();
    if (!IsAllowed)
      co_return false;
  }
  co_return tryAcquireRetry(Input.Runtime->Routing,
                            {Attempts - WithdrawnAttempts, Input.Call.Depth,
                             Input.IsIdempotent, Report.IsProvedNotRun,
                             Input.Deadline},
                            Dependencies.TimeSource.now());
}

// The delay lets crash evidence from other hosts arrive before this copy of the
// request can crash another target.
Awaitable<bool> CallExecution::mayRetryAfterCrash() {
  const TimePoint CrashedAt = Dependencies.TimeSource.now();
  Timer Pause(Dependencies.Context);
  while (true) {
    const CrashRetryDecision Decision = Input.Crashes.MayRetry(CrashedAt);
    if (Decision.Kind != CrashRetryKind::Wait)
      co_return Decision.Kind == CrashRetryKind::Retry;
    Pause.expires_at(Decision.RecheckAt);
    co_await Pause.async_wait(UseTuple);
  }
}

CallResult CallExecution::refusal(std::string_view Reason) const {
  if (MayHaveRun)
    return unknownResult(Reason, "an earlier attempt may have run and no "
                                 "other target can take the request; check if "
                                 "it took effect before you send it again");
  return notRun(Reason, "no target can take the request now; retry later or "
                        "with a longer timeout");
}

CallResult CallExecution::notRun(std::string_view Reason,
                                 std::string Message) const {
  CallResult Result = notRunResult(Reason, std::move(Message));
  const TimePoint Now = Dependencies.TimeSource.now();
  if (const auto PauseEnd = allPausedUntil(Input.Runtime->Routing, Now))
    Result.RetryAfter = retryDelay(*PauseEnd, Now, Dependencies.Generator);
  return Result;
}

CallResult CallExecution::failure(const AttemptReport &Report) const {
  if (!MayHaveRun)
    return notRun("targets_unavailable", "no target accepted the request (" +
                                             Report.Cause.Message +
                                             "); send it again later");
  return unknownResult(
      "no_answer", "the request may have run, but no answer came (" +
                       Report.Cause.Message +
                       "); check if it took effect before you send it again");
}

void CallExecution::logTargetChoice(const TargetChoice &Chosen,
                                    std::string_view Event) const {
  constexpr std::string_view KindNames[] = {"dispatch", "wait", "refuse"};
  LogLine Line(Event);
  Line.field("request", Input.Id.Value)
      .field("service", Input.Call.Service.Value)
      .field("attempt", Attempts + 1)
      .field("decision", KindNames[static_cast<int>(Chosen.Kind)]);
  if (Chosen.Kind == TargetChoiceKind::Dispatch)
    Line.field("target",
               Input.Runtime->Routing.Targets[Chosen.Target].Config.Id.Value);
  Line.field("reason", Chosen.Reason);
  Dependencies.Decisions.write(Line);
}

void CallExecution::logFailedAttempt(const Attempt &Ended,
                                     Duration Elapsed) const {
  const AttemptReport &Report = Ended.Report;
  if (Report.End == AttemptEnd::Answered)
    return;
  LogLine Line("attempt_failed");
  Line.field("request", Input.Id.Value)
      .field("service", Input.Call.Service.Value)
      .field("attempt", Ended.Number)
      .field("target", Ended.Config.Id.Value)
      .field("end", attemptEndName(Report.End))
      .field("proved_not_run", Report.IsProvedNotRun)
      .field("elapsed_us", microseconds(Elapsed))
      .field("cause", Report.Cause.Message);
  Dependencies.Decisions.write(Line);
}

} // namespace comfreyrill
