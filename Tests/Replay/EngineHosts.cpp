#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

namespace {

constexpr Duration OneWay = std::chrono::microseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(2);

} // namespace

void Engine::startHost(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  Host.Routing = RoutingState();
  updateTargets(Host.Routing, Service, Now);
  if (Spec.Kind == Policy::Chosen && Spec.ExchangeInterval > Duration(0))
    schedule(Now + Spec.ExchangeInterval * (Id + 1) / Input.Hosts,
             EventKind::Exchange, 0, Id);
}

void Engine::loseHost(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  const std::vector<std::uint32_t> Open = Host.OpenCalls;
  for (const std::uint32_t CallId : Open) {
    for (const std::uint32_t AttemptId : Calls[CallId].Attempts)
      if (!Attempts[AttemptId].Closed)
        schedule(Now + OneWay, EventKind::CancelReach, AttemptId);
    Calls[CallId].Done = true;
    ++Result.LostWithHost;
  }
  Host.OpenCalls.clear();
  Host.TickPending = false;
  ++Host.Incarnation;
  startHost(Id);
}

std::uint32_t Engine::liveHost(std::uint32_t Host) const {
  for (const Span &Lost : Input.HostsLost)
    if (Host == Lost.First && Now >= Lost.From && Now < Lost.Until)
      return (Host + 1) % Input.Hosts;
  return Host;
}

void Engine::arrive(std::uint32_t CallId) {
  Call &Subject = Calls[CallId];
  Subject.Host = liveHost(Input.Arrivals[CallId].Host);
  // A frozen host accepts the connection but reads it when it resumes.
  for (const Span &Frozen : Input.HostsFrozen)
    if (Subject.Host == Frozen.First && Now >= Frozen.From &&
        Now < Frozen.Until)
      return schedule(Frozen.Until, EventKind::Arrive, CallId);
  SimulatedHost &Host = Hosts[Subject.Host];
  ++Result.Calls;
  ++CallsHandled;
  Host.OpenCalls.push_back(CallId);
  recordCall(Host.Routing, Now);
  probe(Subject.Host);
  place(CallId, false);
}

// A call that arrives while others wait joins them at the end.
void Engine::place(std::uint32_t CallId, bool FromQueue) {
  Call &Subject = Calls[CallId];
  SimulatedHost &Host = Hosts[Subject.Host];
  const bool OthersWait = headOfQueue(Host.Routing.Queue).has_value();
  if ((FromQueue || !OthersWait) && dispatch(CallId, FromQueue))
    return;
  if (FromQueue || Subject.Done)
    return;
  const TimePoint Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  if (admitToQueue(Host.Routing, CallId, Deadline, Now) != Admission::Admitted)
    return giveUp(CallId, true);
  Subject.Waiting = true;
  if (!Host.TickPending) {
    Host.TickPending = true;
    schedule(Now + TickInterval, EventKind::Tick, 0, Subject.Host);
  }
}

// False when the call has to wait.
bool Engine::dispatch(std::uint32_t CallId, bool FromQueue) {
  Call &Subject = Calls[CallId];
  SimulatedHost &Host = Hosts[Subject.Host];
  const TargetChoice Chosen = choose(Host, Subject, Subject.Host);
  if (Chosen.Kind == TargetChoiceKind::Wait)
    return false;
  if (FromQueue) {
    removeFromQueue(Host.Routing.Queue, CallId);
    Subject.Waiting = false;
  }
  if (Chosen.Kind == TargetChoiceKind::Refuse)
    giveUp(CallId, true);
  else
    startAttempt(CallId, Chosen.Target);
  return true;
}

TargetChoice Engine::choose(SimulatedHost &Host, const Call &Subject,
                            std::uint32_t Id) {
  if (Spec.Kind == Policy::Oracle)
    return chooseByOracle(Input, Loads, Subject.Tried, Now, Source);
  if (Spec.Kind != Policy::Chosen)
    return chooseByBaseline(Spec.Kind, Host.Baseline, Host.Routing, Source);
  TargetChoiceInput Choosing;
  Choosing.HostDomain = FailureDomain("d" + std::to_string(Id % Input.Domains));
  Choosing.Deadline = Now + Service.DefaultTimeout;
  Choosing.Tried = Subject.Tried;
  return chooseTarget(Host.Routing, Choosing, Now, Source);
}

void Engine::startAttempt(std::uint32_t CallId, TargetIndex Target) {
  Call &Subject = Calls[CallId];
  const Arrival &Arrived = Input.Arrivals[CallId];
  Attempt Next;
  Next.Call = CallId;
  Next.Target = Target;
  Next.Host = Subject.Host;
  Next.First = Subject.Attempts.empty();
  Next.Started = Now;
  Next.Work = Next.First ? Arrived.Work : Arrived.SecondWork;
  const auto Id = static_cast<std::uint32_t>(Attempts.size());
  Attempts.push_back(Next);
  Subject.Attempts.push_back(Id);
  Subject.Tried.push_back(Target);
  ++Subject.Open;
  ++Loads[Target].Calls;
  ++Result.Attempts;
  ++Result.AttemptsByTarget[Target];
  RoutingState &Routing = Hosts[Subject.Host].Routing;
  recordAttemptStart(Routing, Target, Now);
  schedule(Now + OneWay, EventKind::Reach, Id);
  if (Next.First && Spec.Hedging && Arrived.Idempotent)
    schedule(Now + hedgeDelay(Routing), EventKind::HedgeDue, CallId,
             Subject.Host);
}

void Engine::hedge(std::uint32_t CallId) {
  Call &Subject = Calls[CallId];
  if (Subject.Done || Subject.Attempts.size() > 1)
    return;
  SimulatedHost &Host = Hosts[Subject.Host];
  const TargetChoice Chosen = choose(Host, Subject, Subject.Host);
  const TimePoint Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  if (Chosen.Kind != TargetChoiceKind::Dispatch ||
      !tryAcquireHedge(Host.Routing, {1, true, Deadline}, Now))
    return;
  ++Result.Hedges;
  startAttempt(CallId, Chosen.Target);
}

void Engine::closeAttempt(std::uint32_t Id, AttemptEnd End) {
  Attempt &Subject = Attempts[Id];
  Subject.Closed = true;
  --Calls[Subject.Call].Open;
  recordAttemptEnd(Hosts[Subject.Host].Routing,
                   {Subject.Target, End, Now - Subject.Started}, Now);
}

void Engine::answer(std::uint32_t Id) {
  const Attempt Subject = Attempts[Id];
  if (Subject.Closed)
    return;
  closeAttempt(Id, Subject.End);
  if (Subject.HasReport)
    recordLoadReport(Hosts[Subject.Host].Routing, Subject.Target,
                     Subject.Report, Now);
  if (Subject.End == AttemptEnd::Answered)
    complete(Subject.Call);
  else if (Calls[Subject.Call].Open == 0)
    retryOrFail(Subject.Call, Subject.End);
  drainQueue(Subject.Host);
}

void Engine::retryOrFail(std::uint32_t CallId, AttemptEnd End) {
  Call &Subject = Calls[CallId];
  SimulatedHost &Host = Hosts[Subject.Host];
  RetryInput Retry;
  Retry.Attempts = static_cast<std::uint32_t>(Subject.Attempts.size());
  Retry.Idempotent = Input.Arrivals[CallId].Idempotent;
  Retry.ProvedNotRun =
      End == AttemptEnd::Shed || End == AttemptEnd::ConnectionFailed;
  Retry.Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  const TargetChoice Chosen = choose(Host, Subject, Subject.Host);
  if (Chosen.Kind != TargetChoiceKind::Dispatch ||
      !tryAcquireRetry(Host.Routing, Retry, Now))
    return giveUp(CallId, Retry.ProvedNotRun);
  ++Result.Retries;
  startAttempt(CallId, Chosen.Target);
}

void Engine::complete(std::uint32_t CallId) {
  Call &Subject = Calls[CallId];
  if (Subject.Done)
    return;
  ++Result.Answered;
  Result.Times.push_back(
      std::chrono::duration<double>(Now - Input.Arrivals[CallId].At).count());
  endCall(CallId);
  for (const std::uint32_t Other : Subject.Attempts)
    if (!Attempts[Other].Closed) {
      closeAttempt(Other, AttemptEnd::Cancelled);
      schedule(Now + OneWay, EventKind::CancelReach, Other);
    }
}

void Engine::giveUp(std::uint32_t CallId, bool Refused) {
  ++(Refused ? Result.Refused : Result.Failed);
  if (Input.Load <= 1)
    Result.Times.push_back(
        std::chrono::duration<double>(Service.DefaultTimeout).count());
  endCall(CallId);
}

void Engine::endCall(std::uint32_t CallId) {
  Calls[CallId].Done = true;
  std::erase(Hosts[Calls[CallId].Host].OpenCalls, CallId);
}

void Engine::drainQueue(std::uint32_t Id) {
  RoutingState &Routing = Hosts[Id].Routing;
  while (const auto Head = headOfQueue(Routing.Queue))
    if (!dispatch(static_cast<std::uint32_t>(*Head), true))
      return;
}

void Engine::tick(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  Host.TickPending = false;
  for (const std::uint64_t Late : removeExpiredCalls(Host.Routing, Now))
    giveUp(static_cast<std::uint32_t>(Late), true);
  drainQueue(Id);
  if (headOfQueue(Host.Routing.Queue)) {
    Host.TickPending = true;
    schedule(Now + TickInterval, EventKind::Tick, 0, Id);
  }
}

} // namespace comfreyrill::replay
