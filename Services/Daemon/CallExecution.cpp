#include "CallExecution.h"

#include "HeaderNames.h"

namespace comfreyrill {

namespace {

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
  }
  return "failed";
}

} // namespace

CallExecution::CallExecution(ExecutionContext &Environment,
                             std::shared_ptr<ServiceRuntime> Runtime,
                             CallRequest Call, HttpRequest Request,
                             RequestId Id, bool IsIdempotent,
                             TimePoint Deadline, AttemptHooks Hooks)
    : Environment(Environment), Runtime(std::move(Runtime)),
      Call(std::move(Call)), Request(std::move(Request)), Id(std::move(Id)),
      IsIdempotent(IsIdempotent), Deadline(Deadline), Hooks(std::move(Hooks)),
      Started(Environment.TimeSource.now()) {}

void CallExecution::cancel() {
  CallerLeft = true;
  if (Current)
    Current->cancel();
  Runtime->SlotFreed.cancel();
}

Awaitable<CallResult> CallExecution::run() {
  const auto Self = shared_from_this();
  while (true) {
    const Choice Chosen = co_await chooseOrWait();
    if (Chosen.Kind != ChoiceKind::Dispatch)
      co_return refusal(Chosen.Reason);
    if (Hooks.MayBegin && !Hooks.MayBegin())
      co_return refusal("deadline_passed");
    const auto Handle = std::make_shared<AttemptHandle>();
    AttemptReport Report = co_await attempt(Chosen.Target, Handle);
    MayHaveRun = MayHaveRun || !Report.IsProvedNotRun;
    if (Report.IsProvedNotRun && Hooks.ProvedNotRun)
      Hooks.ProvedNotRun();
    if (Report.End == AttemptEnd::Answered)
      co_return answerResult(std::move(*Report.Answer), CurrentTarget);
    if (mayTryAgain(Report)) {
      ++Environment.Figures.service(Call.Service).Retries;
      continue;
    }
    if (Report.Answer)
      co_return answerResult(std::move(*Report.Answer), CurrentTarget);
    co_return failure(Report);
  }
}

Awaitable<Choice> CallExecution::chooseOrWait() {
  while (true) {
    const TimePoint Now = Environment.TimeSource.now();
    if (CallerLeft)
      co_return Choice{ChoiceKind::Refuse, 0, "caller_left"};
    if (Now >= Deadline)
      co_return Choice{ChoiceKind::Refuse, 0, "deadline_passed"};
    const ChoiceInput Input{Environment.HostDomain, Deadline, Tried};
    const Choice Chosen =
        chooseTarget(Runtime->Routing, Input, Now, Environment.Generator);
    logChoice(Chosen);
    if (Chosen.Kind != ChoiceKind::Wait)
      co_return Chosen;
    if (Runtime->WaitingCalls >= Runtime->Routing.Config.QueueLength)
      co_return Choice{ChoiceKind::Refuse, 0, "queue_full"};
    ++Runtime->WaitingCalls;
    if (Runtime->WaitingCalls == 1 || Deadline < Runtime->SlotFreed.expiry())
      Runtime->SlotFreed.expires_at(Deadline);
    co_await Runtime->SlotFreed.async_wait(UseTuple);
    --Runtime->WaitingCalls;
  }
}

Awaitable<AttemptReport>
CallExecution::attempt(TargetIndex Chosen,
                       std::shared_ptr<AttemptHandle> Handle) {
  const TargetConfig Target = Runtime->Routing.Targets[Chosen].Config;
  const TimePoint Begin = Environment.TimeSource.now();
  const auto Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Begin);
  Request.set(header::DeadlineMilliseconds, std::to_string(Remaining.count()));
  Request.set(http::field::host, formatEndpoint(Target.Address));

  ++Attempts;
  Tried.push_back(Chosen);
  ++Environment.Figures.service(Call.Service).Attempts;
  recordStart(Runtime->Routing, Chosen, Begin);
  Current = Handle;
  AttemptReport Report =
      co_await sendToTarget(Environment.Pool, Target.Address, Request,
                            Environment.TargetLimits, Deadline, Handle);
  Current.reset();

  const TimePoint End = Environment.TimeSource.now();
  if (const auto Index = findTarget(Runtime->Routing, Chosen, Target.Id)) {
    recordFinish(Runtime->Routing, {*Index, Report.End, End - Begin}, End);
    if (Report.Load)
      recordLoadReport(Runtime->Routing, *Index, *Report.Load, End);
  }
  if (Runtime->WaitingCalls > 0)
    Runtime->SlotFreed.cancel();
  CurrentTarget = Target.Id;
  if (Attempts == 1 && Report.End == AttemptEnd::Answered)
    Environment.Figures.service(Call.Service)
        .AddedTime.add((Begin - Started) +
                       (Environment.TimeSource.now() - End));
  logEnd(Target.Id, Report, End - Begin);
  co_return Report;
}

// A call that was not started may be sent elsewhere whatever it does. One that
// may have run is sent again only if it is idempotent and not nested, so that
// each layer of nested calls does not multiply the attempts below it.
bool CallExecution::mayTryAgain(const AttemptReport &Report) const {
  if (CallerLeft || Environment.TimeSource.now() >= Deadline ||
      Attempts >= Runtime->Routing.Config.Retry.MaxAttempts)
    return false;
  if (Report.IsProvedNotRun)
    return true;
  return IsIdempotent && Call.Depth == 1;
}

CallResult CallExecution::refusal(std::string_view Reason) const {
  if (MayHaveRun)
    return unknownResult(Reason, "an earlier attempt may have run and no "
                                 "other target can take the request; look up "
                                 "its effect before you send it again");
  return notRunResult(Reason,
                      "no target can take the request now; send it again "
                      "later, or give it more time");
}

CallResult CallExecution::failure(const AttemptReport &Report) const {
  if (!MayHaveRun)
    return notRunResult("targets_unavailable",
                        "no target accepted the request (" +
                            Report.Cause.Message + "); send it again later");
  return unknownResult("no_answer",
                       "the request may have run, but no answer came (" +
                           Report.Cause.Message +
                           "); look up its effect before you send it again");
}

void CallExecution::logChoice(const Choice &Chosen) const {
  constexpr std::string_view KindNames[] = {"dispatch", "wait", "refuse"};
  LogLine Line("route");
  Line.field("request", Id.Value)
      .field("service", Call.Service.Value)
      .field("attempt", Attempts + 1)
      .field("decision", KindNames[static_cast<int>(Chosen.Kind)]);
  if (Chosen.Kind == ChoiceKind::Dispatch)
    Line.field("target",
               Runtime->Routing.Targets[Chosen.Target].Config.Id.Value);
  Line.field("reason", Chosen.Reason);
  Environment.Decisions.write(Line);
}

void CallExecution::logEnd(const TargetId &Target, const AttemptReport &Report,
                           Duration Elapsed) const {
  if (Report.End == AttemptEnd::Answered)
    return;
  LogLine Line("attempt_failed");
  Line.field("request", Id.Value)
      .field("service", Call.Service.Value)
      .field("attempt", Attempts)
      .field("target", Target.Value)
      .field("end", attemptEndName(Report.End))
      .field("proved_not_run", Report.IsProvedNotRun)
      .field("elapsed_us", microseconds(Elapsed))
      .field("cause", Report.Cause.Message);
  Environment.Decisions.write(Line);
}

} // namespace comfreyrill
