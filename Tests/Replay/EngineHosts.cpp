#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

namespace {

constexpr Duration OneWayDelay = std::chrono::microseconds(500);
constexpr Duration QueueTimerInterval = std::chrono::milliseconds(2);

} // namespace

void Engine::startHost(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  Host.Routing = RoutingState();
  updateTargets(Host.Routing, Service, Now);
  if (Spec.Kind == Policy::Production && Spec.ExchangeInterval > Duration(0))
    schedule(Now + Spec.ExchangeInterval * (Id + 1) / Input.Hosts,
             EventKind::LoadExchange, 0, Id);
}

void Engine::loseHost(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  const std::vector<std::uint32_t> Open = Host.OpenCalls;
  for (const std::uint32_t CallId : Open) {
    for (const std::uint32_t AttemptId : Calls[CallId].Attempts)
      if (!Attempts[AttemptId].IsClosed)
        schedule(Now + OneWayDelay, EventKind::CancelArrival, AttemptId);
    Calls[CallId].IsDone = true;
    ++Result.LostWithHost;
  }
  Host.OpenCalls.clear();
  Host.IsQueueTimerPending = false;
  ++Host.Incarnation;
  startHost(Id);
}

// Callers of a lost host use the next host instead.
std::uint32_t Engine::liveHost(std::uint32_t Host) const {
  for (const Interval &Lost : Input.HostsLost)
    if (Host == Lost.First && Now >= Lost.From && Now < Lost.Until)
      return (Host + 1) % Input.Hosts;
  return Host;
}

void Engine::handleCallArrival(std::uint32_t CallId) {
  Call &CurrentCall = Calls[CallId];
  CurrentCall.Host = liveHost(Input.Arrivals[CallId].Host);
  // The connection to a frozen host is accepted, but the call is read only when
  // the host resumes.
  for (const Interval &Frozen : Input.HostsFrozen)
    if (CurrentCall.Host == Frozen.First && Now >= Frozen.From &&
        Now < Frozen.Until)
      return schedule(Frozen.Until, EventKind::CallArrival, CallId);
  SimulatedHost &Host = Hosts[CurrentCall.Host];
  ++Result.Calls;
  ++CallsHandled;
  Host.OpenCalls.push_back(CallId);
  recordCall(Host.Routing, Now);
  sendProbe(CurrentCall.Host);
  dispatchOrQueue(CallId, false);
}

// A new call that arrives while others are queued goes to the end of the queue.
void Engine::dispatchOrQueue(std::uint32_t CallId, bool FromQueue) {
  Call &CurrentCall = Calls[CallId];
  SimulatedHost &Host = Hosts[CurrentCall.Host];
  const bool OthersAreQueued = headOfQueue(Host.Routing.Queue).has_value();
  if ((FromQueue || !OthersAreQueued) && tryDispatch(CallId, FromQueue))
    return;
  if (FromQueue || CurrentCall.IsDone)
    return;
  const TimePoint Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  if (admitToQueue(Host.Routing, CallId, Deadline, Now) != Admission::Admitted)
    return failCall(CallId, true);
  CurrentCall.IsQueued = true;
  if (!Host.IsQueueTimerPending) {
    Host.IsQueueTimerPending = true;
    schedule(Now + QueueTimerInterval, EventKind::QueueTimer, 0,
             CurrentCall.Host);
  }
}

// Returns false when no target can take the call now and it has to be queued.
bool Engine::tryDispatch(std::uint32_t CallId, bool FromQueue) {
  Call &CurrentCall = Calls[CallId];
  SimulatedHost &Host = Hosts[CurrentCall.Host];
  const TargetChoice Chosen = selectTarget(Host, CurrentCall, CurrentCall.Host);
  if (Chosen.Kind == TargetChoiceKind::Wait)
    return false;
  if (FromQueue) {
    removeFromQueue(Host.Routing.Queue, CallId);
    CurrentCall.IsQueued = false;
  }
  if (Chosen.Kind == TargetChoiceKind::Refuse)
    failCall(CallId, true);
  else
    startAttempt(CallId, Chosen.Target);
  return true;
}

TargetChoice Engine::selectTarget(SimulatedHost &Host, const Call &CurrentCall,
                                  std::uint32_t Id) {
  if (Spec.Kind == Policy::Oracle)
    return chooseByOracle(Input, Loads, CurrentCall.Tried, Now, Generator);
  if (Spec.Kind != Policy::Production)
    return chooseByBaseline(Spec.Kind, Host.Baseline, Host.Routing, Generator);
  TargetChoiceInput ChoiceInput;
  ChoiceInput.HostDomain =
      FailureDomain("d" + std::to_string(Id % Input.Domains));
  ChoiceInput.Deadline = Now + Service.DefaultTimeout;
  ChoiceInput.Tried = CurrentCall.Tried;
  return chooseTarget(Host.Routing, ChoiceInput, Now, Generator);
}

void Engine::startAttempt(std::uint32_t CallId, TargetIndex Target) {
  Call &CurrentCall = Calls[CallId];
  const Arrival &Arrived = Input.Arrivals[CallId];
  Attempt Next;
  Next.Call = CallId;
  Next.Target = Target;
  Next.Host = CurrentCall.Host;
  Next.IsFirstAttempt = CurrentCall.Attempts.empty();
  Next.Started = Now;
  Next.Work = Next.IsFirstAttempt ? Arrived.Work : Arrived.LaterAttemptWork;
  const auto Id = static_cast<std::uint32_t>(Attempts.size());
  Attempts.push_back(Next);
  CurrentCall.Attempts.push_back(Id);
  CurrentCall.Tried.push_back(Target);
  ++CurrentCall.OpenAttempts;
  ++Loads[Target].Calls;
  ++Result.Attempts;
  ++Result.AttemptsByTarget[Target];
  RoutingState &Routing = Hosts[CurrentCall.Host].Routing;
  recordAttemptStart(Routing, Target, Now);
  schedule(Now + OneWayDelay, EventKind::AttemptArrival, Id);
  if (Next.IsFirstAttempt && Spec.Hedging && Arrived.Idempotent)
    schedule(Now + hedgeDelay(Routing), EventKind::HedgeTimer, CallId,
             CurrentCall.Host);
}

void Engine::sendHedge(std::uint32_t CallId) {
  Call &CurrentCall = Calls[CallId];
  if (CurrentCall.IsDone || CurrentCall.Attempts.size() > 1)
    return;
  SimulatedHost &Host = Hosts[CurrentCall.Host];
  const TargetChoice Chosen = selectTarget(Host, CurrentCall, CurrentCall.Host);
  const TimePoint Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  if (Chosen.Kind != TargetChoiceKind::Dispatch ||
      !tryAcquireHedge(Host.Routing, {1, true, Deadline}, Now))
    return;
  ++Result.Hedges;
  startAttempt(CallId, Chosen.Target);
}

void Engine::closeAttempt(std::uint32_t Id, AttemptEnd End) {
  Attempt &CurrentAttempt = Attempts[Id];
  CurrentAttempt.IsClosed = true;
  --Calls[CurrentAttempt.Call].OpenAttempts;
  recordAttemptEnd(Hosts[CurrentAttempt.Host].Routing,
                   {CurrentAttempt.Target, End, Now - CurrentAttempt.Started},
                   Now);
}

void Engine::handleResponse(std::uint32_t Id) {
  const Attempt CurrentAttempt = Attempts[Id];
  if (CurrentAttempt.IsClosed)
    return;
  closeAttempt(Id, CurrentAttempt.End);
  if (CurrentAttempt.HasReport)
    recordLoadReport(Hosts[CurrentAttempt.Host].Routing, CurrentAttempt.Target,
                     CurrentAttempt.Report, Now);
  if (CurrentAttempt.End == AttemptEnd::Answered)
    completeCall(CurrentAttempt.Call);
  else if (Calls[CurrentAttempt.Call].OpenAttempts == 0)
    retryOrFail(CurrentAttempt.Call, CurrentAttempt.End);
  dispatchQueuedCalls(CurrentAttempt.Host);
}

void Engine::retryOrFail(std::uint32_t CallId, AttemptEnd End) {
  Call &CurrentCall = Calls[CallId];
  SimulatedHost &Host = Hosts[CurrentCall.Host];
  RetryInput Retry;
  Retry.Attempts = static_cast<std::uint32_t>(CurrentCall.Attempts.size());
  Retry.Idempotent = Input.Arrivals[CallId].Idempotent;
  Retry.ProvedNotRun =
      End == AttemptEnd::Shed || End == AttemptEnd::ConnectionFailed;
  Retry.Deadline = Input.Arrivals[CallId].At + Service.DefaultTimeout;
  const TargetChoice Chosen = selectTarget(Host, CurrentCall, CurrentCall.Host);
  if (Chosen.Kind != TargetChoiceKind::Dispatch ||
      !tryAcquireRetry(Host.Routing, Retry, Now))
    return failCall(CallId, Retry.ProvedNotRun);
  ++Result.Retries;
  startAttempt(CallId, Chosen.Target);
}

void Engine::completeCall(std::uint32_t CallId) {
  Call &CurrentCall = Calls[CallId];
  if (CurrentCall.IsDone)
    return;
  ++Result.Answered;
  Result.AnswerTimes.push_back(
      std::chrono::duration<double>(Now - Input.Arrivals[CallId].At).count());
  endCall(CallId);
  for (const std::uint32_t Other : CurrentCall.Attempts)
    if (!Attempts[Other].IsClosed) {
      closeAttempt(Other, AttemptEnd::Cancelled);
      schedule(Now + OneWayDelay, EventKind::CancelArrival, Other);
    }
}

void Engine::failCall(std::uint32_t CallId, bool Refused) {
  ++(Refused ? Result.Refused : Result.Failed);
  if (Input.Load <= 1)
    Result.AnswerTimes.push_back(
        std::chrono::duration<double>(Service.DefaultTimeout).count());
  endCall(CallId);
}

void Engine::endCall(std::uint32_t CallId) {
  Calls[CallId].IsDone = true;
  std::erase(Hosts[Calls[CallId].Host].OpenCalls, CallId);
}

void Engine::dispatchQueuedCalls(std::uint32_t Id) {
  RoutingState &Routing = Hosts[Id].Routing;
  while (const auto Head = headOfQueue(Routing.Queue))
    if (!tryDispatch(static_cast<std::uint32_t>(*Head), true))
      return;
}

void Engine::handleQueueTimer(std::uint32_t Id) {
  SimulatedHost &Host = Hosts[Id];
  Host.IsQueueTimerPending = false;
  for (const std::uint64_t ExpiredCall : removeExpiredCalls(Host.Routing, Now))
    failCall(static_cast<std::uint32_t>(ExpiredCall), true);
  dispatchQueuedCalls(Id);
  if (headOfQueue(Host.Routing.Queue)) {
    Host.IsQueueTimerPending = true;
    schedule(Now + QueueTimerInterval, EventKind::QueueTimer, 0, Id);
  }
}

} // namespace comfreyrill::replay
