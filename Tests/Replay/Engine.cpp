#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

namespace {

constexpr Duration OneWayDelay = std::chrono::microseconds(500);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(250);
constexpr Duration FailureResponseDelay = std::chrono::milliseconds(1);
// An attempt counts as misrouted if its target has been down or draining for
// longer than this when the attempt arrives.
constexpr Duration MisrouteGracePeriod = std::chrono::seconds(2);

// Request and response of a probe: about 230 bytes of HTTP and two TCP/IP
// headers of 52 bytes with their acknowledgements.
constexpr std::uint64_t ProbeBytes = 440;
// Entry of a heartbeat that forwards the load report of a probe to a peer.
constexpr std::uint64_t PeerReportBytes = 24;
// Header of a datagram or segment plus the header of a load exchange message,
// without its entries.
constexpr std::uint64_t ExchangeHeaderBytes = 52 + 24;
// Target index and in-flight count of one entry of a load exchange.
constexpr std::uint64_t ExchangeEntryBytes = 2;
// Limit on the control traffic of one host.
constexpr double ControlBytesPerSecondMaximum = 26000;

} // namespace

Engine::Engine(const Trace &Input, const PolicySpec &Spec)
    : Input(Input), Spec(Spec), Service(Input.Service), Now(Input.Start),
      Targets(Input.Targets.size()), Loads(Input.Targets.size()),
      Hosts(Input.Hosts), SentLoads(Input.Hosts), Generator(Input.Seed + 1000) {
  Service.Hedge.Enabled = Spec.Hedging;
  Service.LoadProbing.ProbesPerHundredCalls *= Spec.ProbeBudgetFactor;
  Service.LoadProbing.ProbesPerSecond *= Spec.ProbeBudgetFactor;
  Calls.resize(Input.Arrivals.size());
  Result.AttemptsByTarget.resize(Input.Targets.size());
}

void Engine::schedule(TimePoint At, EventKind Kind, std::uint32_t Id,
                      std::uint32_t Host) {
  Events.push({At, Order++, Kind, Id, Host, Hosts[Host].Incarnation});
}

ReplayResult Engine::run() {
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    startHost(Host);
  for (std::uint32_t Id = 0; Id < Input.Arrivals.size(); ++Id)
    Events.push(
        {Input.Arrivals[Id].At, Order++, EventKind::CallArrival, Id, 0, 0});
  for (TargetIndex Target = 0; Target < Input.Targets.size(); ++Target)
    for (const Interval &Down : Input.Targets[Target].Down)
      Events.push({Down.From, Order++, EventKind::TargetDown, Target, 0, 0});
  for (const Interval &Lost : Input.HostsLost)
    Events.push({Lost.From, Order++, EventKind::HostLost, Lost.First, 0, 0});
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    handle(Next);
  }
  std::sort(Result.AnswerTimes.begin(), Result.AnswerTimes.end());
  Result.ControlBytesPerHostSecond =
      static_cast<double>(ControlBytes) / Input.Hosts /
      std::chrono::duration<double>(Input.End - Input.Start).count();
  if (Result.ControlBytesPerHostSecond > ControlBytesPerSecondMaximum)
    ++Result.BudgetOverruns;
  return std::move(Result);
}

bool Engine::isHostEvent(EventKind Kind) const {
  return Kind == EventKind::AttemptResponse || Kind == EventKind::HedgeTimer ||
         Kind == EventKind::ProbeResponse || Kind == EventKind::LoadExchange ||
         Kind == EventKind::QueueTimer;
}

void Engine::handle(const Event &Next) {
  if (isHostEvent(Next.Kind)) {
    if (Next.Incarnation != Hosts[Next.Host].Incarnation)
      return;
    // A frozen host handles its events when it resumes.
    for (const Interval &Frozen : Input.HostsFrozen)
      if (Next.Host == Frozen.First && Now >= Frozen.From &&
          Now < Frozen.Until) {
        schedule(Frozen.Until, Next.Kind, Next.Id, Next.Host);
        return;
      }
  }
  switch (Next.Kind) {
  case EventKind::CallArrival:
    return handleCallArrival(Next.Id);
  case EventKind::AttemptArrival:
    return handleAttemptArrival(Next.Id);
  case EventKind::AttemptFinish:
    return finishAttempt(Next.Id);
  case EventKind::AttemptResponse:
    return handleResponse(Next.Id);
  case EventKind::CancelArrival:
    return handleCancelArrival(Next.Id);
  case EventKind::HedgeTimer:
    return sendHedge(Next.Id);
  case EventKind::ProbeArrival:
    Probes[Next.Id].Reached =
        !isWithin(Input.Targets[Probes[Next.Id].Target].Down, Now);
    Probes[Next.Id].Report = loadReportOf(Probes[Next.Id].Target);
    // Keeps the incarnation of the sender, so that a restarted host ignores the
    // response.
    Events.push({Now + OneWayDelay, Order++, EventKind::ProbeResponse, Next.Id,
                 Next.Host, Next.Incarnation});
    return;
  case EventKind::ProbeResponse:
    return handleProbeResponse(Next.Host, Next.Id);
  case EventKind::PeerProbeReport:
    return deliverProbeReport(Next.Host, Next.Id);
  case EventKind::LoadExchange:
    return sendLoadExchange(Next.Host);
  case EventKind::PeerLoadArrival:
    return deliverLoadExchange(Next.Host);
  case EventKind::QueueTimer:
    return handleQueueTimer(Next.Host);
  case EventKind::TargetDown:
    return targetDown(Next.Id);
  case EventKind::HostLost:
    return loseHost(Next.Id);
  }
}

void Engine::sendProbe(std::uint32_t Host) {
  if (Spec.Kind != Policy::Production)
    return;
  const std::optional<TargetIndex> Target =
      chooseProbeTarget(Hosts[Host].Routing, Now);
  if (!Target)
    return;
  Probes.push_back({*Target, false, {}, {}});
  ++Result.Probes;
  ControlBytes += ProbeBytes;
  schedule(Now + OneWayDelay, EventKind::ProbeArrival,
           static_cast<std::uint32_t>(Probes.size() - 1), Host);
  checkBudget();
}

// Peers receive the load report with the next heartbeat of this host, half an
// interval later on average.
void Engine::handleProbeResponse(std::uint32_t Host, std::uint32_t Id) {
  if (Probes[Id].Reached) {
    Probes[Id].AnsweredAt = Now;
    recordLoadReport(Hosts[Host].Routing, Probes[Id].Target, Probes[Id].Report,
                     Now);
    ControlBytes += (Input.Hosts - 1) * PeerReportBytes;
    const Duration Phase = HeartbeatInterval * Host / Input.Hosts;
    const Duration SinceBeat = (Now - Input.Start + Phase) % HeartbeatInterval;
    schedule(Now + HeartbeatInterval - SinceBeat + OneWayDelay,
             EventKind::PeerProbeReport, Id, Host);
  }
  dispatchQueuedCalls(Host);
}

void Engine::deliverProbeReport(std::uint32_t Sender, std::uint32_t Id) {
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    if (Host != Sender)
      recordPeerProbe(Hosts[Host].Routing, Probes[Id].Target, Probes[Id].Report,
                      Probes[Id].AnsweredAt, Now);
}

// The probe budget has to hold at every moment since the start of the fleet,
// both per call and per second.
void Engine::checkBudget() {
  const double Elapsed =
      std::chrono::duration<double>(Now - Input.Start).count();
  const auto Probed = static_cast<double>(Result.Probes);
  if (Probed > Service.LoadProbing.ProbesPerHundredCalls / 100 *
                   static_cast<double>(CallsHandled) ||
      Probed > Service.LoadProbing.ProbesPerSecond * Elapsed)
    ++Result.BudgetOverruns;
}

void Engine::sendLoadExchange(std::uint32_t Host) {
  if (Now >= Input.End)
    return;
  std::vector<PeerTargetLoad> Loads;
  const auto &Known = Hosts[Host].Routing.Targets;
  for (TargetIndex Target = 0; Target < Known.size(); ++Target)
    if (Known[Target].InFlight > 0)
      Loads.push_back({Target, Known[Target].InFlight});
  Result.ExchangeMessages += Input.Hosts - 1;
  ControlBytes += (Input.Hosts - 1) *
                  (ExchangeHeaderBytes + ExchangeEntryBytes * Loads.size());
  SentLoads[Host] = std::move(Loads);
  schedule(Now + OneWayDelay, EventKind::PeerLoadArrival, 0, Host);
  schedule(Now + Spec.ExchangeInterval, EventKind::LoadExchange, 0, Host);
}

void Engine::deliverLoadExchange(std::uint32_t Sender) {
  const HostId Name("h" + std::to_string(Sender));
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    if (Host != Sender)
      recordPeerLoad(Hosts[Host].Routing, Name, SentLoads[Sender], Now);
}

LoadReport Engine::loadReportOf(TargetIndex Index) const {
  const SimulatedTarget &Target = Targets[Index];
  LoadReport Report{Target.Running, Input.Slots,
                    static_cast<std::uint32_t>(Target.Queue.size()),
                    isWithin(Input.Targets[Index].Draining, Now)};
  if (isWithin(Input.Targets[Index].Misreporting, Now))
    Report.InFlight = Report.Queued = 0;
  return Report;
}

void Engine::handleAttemptArrival(std::uint32_t Id) {
  Attempt &CurrentAttempt = Attempts[Id];
  const TargetBehaviour &Behaviour = Input.Targets[CurrentAttempt.Target];
  SimulatedTarget &Target = Targets[CurrentAttempt.Target];
  if (CurrentAttempt.Phase == AttemptPhase::Ended)
    return;
  for (const Interval &Gone : Behaviour.Down)
    if (Now > Gone.From + MisrouteGracePeriod && Now < Gone.Until)
      ++Result.MisroutedAttempts;
  for (const Interval &Leaving : Behaviour.Draining)
    if (Now > Leaving.From + MisrouteGracePeriod && Now < Leaving.Until)
      ++Result.MisroutedAttempts;
  if (isWithin(Behaviour.Down, Now))
    return sendResult(Id, AttemptEnd::ConnectionFailed, Duration(0), false);
  if (isWithin(Behaviour.Failing, Now))
    return sendResult(Id, AttemptEnd::Failed, FailureResponseDelay, true);
  if (Target.Running >= Input.Slots && Target.Queue.size() >= Input.TargetQueue)
    return sendResult(Id, AttemptEnd::Shed, Duration(0), true);
  Target.PresentAttempts.push_back(Id);
  if (Target.Running < Input.Slots)
    return startWork(Id);
  CurrentAttempt.Phase = AttemptPhase::Queued;
  Target.Queue.push_back(Id);
}

void Engine::startWork(std::uint32_t Id) {
  Attempt &CurrentAttempt = Attempts[Id];
  CurrentAttempt.Phase = AttemptPhase::Running;
  ++Targets[CurrentAttempt.Target].Running;
  schedule(finishTime(Input.Targets[CurrentAttempt.Target], Now,
                      CurrentAttempt.Work),
           EventKind::AttemptFinish, Id);
}

void Engine::startNextQueued(TargetIndex Index) {
  SimulatedTarget &Target = Targets[Index];
  if (Target.Queue.empty() || Target.Running >= Input.Slots)
    return;
  const std::uint32_t Next = Target.Queue.front();
  Target.Queue.pop_front();
  startWork(Next);
}

void Engine::removeFromTarget(std::uint32_t Id) {
  Attempt &CurrentAttempt = Attempts[Id];
  SimulatedTarget &Target = Targets[CurrentAttempt.Target];
  if (CurrentAttempt.Phase == AttemptPhase::Running)
    --Target.Running;
  if (CurrentAttempt.Phase == AttemptPhase::Queued)
    std::erase(Target.Queue, Id);
  std::erase(Target.PresentAttempts, Id);
  if (CurrentAttempt.Phase != AttemptPhase::Ended)
    --Loads[CurrentAttempt.Target].Calls;
  CurrentAttempt.Phase = AttemptPhase::Ended;
}

void Engine::finishAttempt(std::uint32_t Id) {
  if (Attempts[Id].Phase != AttemptPhase::Running)
    return;
  removeFromTarget(Id);
  startNextQueued(Attempts[Id].Target);
  sendResult(Id, AttemptEnd::Answered, Duration(0), true);
}

void Engine::sendResult(std::uint32_t Id, AttemptEnd End, Duration Delay,
                        bool WithReport) {
  removeFromTarget(Id);
  Attempt &CurrentAttempt = Attempts[Id];
  CurrentAttempt.End = End;
  CurrentAttempt.HasReport = WithReport;
  if (WithReport)
    CurrentAttempt.Report = loadReportOf(CurrentAttempt.Target);
  schedule(Now + Delay + OneWayDelay, EventKind::AttemptResponse, Id,
           CurrentAttempt.Host);
}

void Engine::handleCancelArrival(std::uint32_t Id) {
  if (Attempts[Id].Phase == AttemptPhase::Ended)
    return;
  removeFromTarget(Id);
  startNextQueued(Attempts[Id].Target);
}

// Fails all attempts that are queued or running at the target.
void Engine::targetDown(TargetIndex Index) {
  const std::vector<std::uint32_t> PresentAttempts =
      Targets[Index].PresentAttempts;
  for (const std::uint32_t Id : PresentAttempts)
    sendResult(Id, AttemptEnd::Failed, Duration(0), false);
}

} // namespace comfreyrill::replay
