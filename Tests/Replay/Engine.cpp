#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

namespace {

constexpr Duration OneWay = std::chrono::microseconds(500);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(250);
constexpr Duration FastFailure = std::chrono::milliseconds(1);
constexpr Duration LateAfter = std::chrono::seconds(2);

// Both ways of a probe: about 230 bytes of HTTP and two TCP/IP headers of 52
// bytes with their acknowledgements.
constexpr std::uint64_t ProbeBytes = 440;
// Entry of a heartbeat that passes on what a probe found.
constexpr std::uint64_t PeerReportBytes = 24;
// Header of a datagram or segment and of the message, without the counts.
constexpr std::uint64_t ExchangeHeaderBytes = 52 + 24;
// Target and count of one entry of an exchange.
constexpr std::uint64_t ExchangeEntryBytes = 2;
// Control bytes that a host may send in a second.
constexpr double ControlBytesMaximum = 26000;

} // namespace

Engine::Engine(const Trace &Input, const PolicySpec &Spec)
    : Input(Input), Spec(Spec), Service(Input.Service), Now(Input.Start),
      Targets(Input.Targets.size()), Loads(Input.Targets.size()),
      Hosts(Input.Hosts), Sent(Input.Hosts), Source(Input.Seed + 1000) {
  Service.Hedge.Enabled = Spec.Hedging;
  Service.LoadProbing.ProbesPerHundredCalls *= Spec.LoadProbingFactor;
  Service.LoadProbing.ProbesPerSecond *= Spec.LoadProbingFactor;
  Calls.resize(Input.Arrivals.size());
  Result.AttemptsByTarget.resize(Input.Targets.size());
}

void Engine::schedule(TimePoint At, EventKind Kind, std::uint32_t Id,
                      std::uint32_t Host) {
  Events.push({At, Order++, Kind, Id, Host, Hosts[Host].Incarnation});
}

Outcome Engine::run() {
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    startHost(Host);
  for (std::uint32_t Id = 0; Id < Input.Arrivals.size(); ++Id)
    Events.push({Input.Arrivals[Id].At, Order++, EventKind::Arrive, Id, 0, 0});
  for (TargetIndex Target = 0; Target < Input.Targets.size(); ++Target)
    for (const Span &Down : Input.Targets[Target].Down)
      Events.push({Down.From, Order++, EventKind::TargetDown, Target, 0, 0});
  for (const Span &Lost : Input.HostsLost)
    Events.push({Lost.From, Order++, EventKind::HostLost, Lost.First, 0, 0});
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    handle(Next);
  }
  std::sort(Result.Times.begin(), Result.Times.end());
  Result.ControlBytesPerHostSecond =
      static_cast<double>(ControlBytes) / Input.Hosts /
      std::chrono::duration<double>(Input.End - Input.Start).count();
  if (Result.ControlBytesPerHostSecond > ControlBytesMaximum)
    ++Result.BudgetOverruns;
  return std::move(Result);
}

bool Engine::isHostEvent(EventKind Kind) const {
  return Kind == EventKind::Answer || Kind == EventKind::HedgeDue ||
         Kind == EventKind::ProbeAnswer || Kind == EventKind::Exchange ||
         Kind == EventKind::Tick;
}

void Engine::handle(const Event &Next) {
  if (isHostEvent(Next.Kind)) {
    if (Next.Incarnation != Hosts[Next.Host].Incarnation)
      return;
    // A frozen host takes up its events when it resumes.
    for (const Span &Frozen : Input.HostsFrozen)
      if (Next.Host == Frozen.First && Now >= Frozen.From &&
          Now < Frozen.Until) {
        schedule(Frozen.Until, Next.Kind, Next.Id, Next.Host);
        return;
      }
  }
  switch (Next.Kind) {
  case EventKind::Arrive:
    return arrive(Next.Id);
  case EventKind::Reach:
    return reach(Next.Id);
  case EventKind::Finish:
    return finish(Next.Id);
  case EventKind::Answer:
    return answer(Next.Id);
  case EventKind::CancelReach:
    return cancelReach(Next.Id);
  case EventKind::HedgeDue:
    return hedge(Next.Id);
  case EventKind::ProbeReach:
    Probes[Next.Id].Reached =
        !isWithin(Input.Targets[Probes[Next.Id].Target].Down, Now);
    Probes[Next.Id].Report = reportOf(Probes[Next.Id].Target);
    // The answer returns to the process that asked.
    Events.push({Now + OneWay, Order++, EventKind::ProbeAnswer, Next.Id,
                 Next.Host, Next.Incarnation});
    return;
  case EventKind::ProbeAnswer:
    return probeAnswer(Next.Host, Next.Id);
  case EventKind::PeerReport:
    return deliverReport(Next.Host, Next.Id);
  case EventKind::Exchange:
    return exchange(Next.Host);
  case EventKind::PeerLoad:
    return deliverExchange(Next.Host);
  case EventKind::Tick:
    return tick(Next.Host);
  case EventKind::TargetDown:
    return targetDown(Next.Id);
  case EventKind::HostLost:
    return loseHost(Next.Id);
  }
}

void Engine::probe(std::uint32_t Host) {
  if (Spec.Kind != Policy::Chosen)
    return;
  const std::optional<TargetIndex> Target =
      chooseProbeTarget(Hosts[Host].Routing, Now);
  if (!Target)
    return;
  Probes.push_back({*Target, false, {}, {}});
  ++Result.Probes;
  ControlBytes += ProbeBytes;
  schedule(Now + OneWay, EventKind::ProbeReach,
           static_cast<std::uint32_t>(Probes.size() - 1), Host);
  checkBudget();
}

// The peers learn of it with the next heartbeat, half an interval later on
// average.
void Engine::probeAnswer(std::uint32_t Host, std::uint32_t Id) {
  if (Probes[Id].Reached) {
    Probes[Id].AnsweredAt = Now;
    recordLoadReport(Hosts[Host].Routing, Probes[Id].Target, Probes[Id].Report,
                     Now);
    ControlBytes += (Input.Hosts - 1) * PeerReportBytes;
    const Duration Phase = HeartbeatInterval * Host / Input.Hosts;
    const Duration SinceBeat = (Now - Input.Start + Phase) % HeartbeatInterval;
    schedule(Now + HeartbeatInterval - SinceBeat + OneWay,
             EventKind::PeerReport, Id, Host);
  }
  drainQueue(Host);
}

void Engine::deliverReport(std::uint32_t Sender, std::uint32_t Id) {
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    if (Host != Sender)
      recordPeerProbe(Hosts[Host].Routing, Probes[Id].Target, Probes[Id].Report,
                      Probes[Id].AnsweredAt, Now);
}

// The budget holds at each moment since the start of the fleet, under both of
// its bounds.
void Engine::checkBudget() {
  const double Elapsed =
      std::chrono::duration<double>(Now - Input.Start).count();
  const auto Probed = static_cast<double>(Result.Probes);
  if (Probed > Service.LoadProbing.ProbesPerHundredCalls / 100 *
                   static_cast<double>(CallsHandled) ||
      Probed > Service.LoadProbing.ProbesPerSecond * Elapsed)
    ++Result.BudgetOverruns;
}

void Engine::exchange(std::uint32_t Host) {
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
  Sent[Host] = std::move(Loads);
  schedule(Now + OneWay, EventKind::PeerLoad, 0, Host);
  schedule(Now + Spec.ExchangeInterval, EventKind::Exchange, 0, Host);
}

void Engine::deliverExchange(std::uint32_t Sender) {
  const HostId Name("h" + std::to_string(Sender));
  for (std::uint32_t Host = 0; Host < Input.Hosts; ++Host)
    if (Host != Sender)
      recordPeerLoad(Hosts[Host].Routing, Name, Sent[Sender], Now);
}

LoadReport Engine::reportOf(TargetIndex Index) const {
  const SimulatedTarget &Target = Targets[Index];
  LoadReport Report{Target.Running, Input.Slots,
                    static_cast<std::uint32_t>(Target.Queue.size()),
                    isWithin(Input.Targets[Index].Draining, Now)};
  if (isWithin(Input.Targets[Index].Lying, Now))
    Report.InFlight = Report.Queued = 0;
  return Report;
}

void Engine::reach(std::uint32_t Id) {
  Attempt &Subject = Attempts[Id];
  const TargetBehaviour &Behaviour = Input.Targets[Subject.Target];
  SimulatedTarget &Target = Targets[Subject.Target];
  if (Subject.Phase == AttemptPhase::Ended)
    return;
  for (const Span &Gone : Behaviour.Down)
    if (Now > Gone.From + LateAfter && Now < Gone.Until)
      ++Result.LateAttempts;
  for (const Span &Leaving : Behaviour.Draining)
    if (Now > Leaving.From + LateAfter && Now < Leaving.Until)
      ++Result.LateAttempts;
  if (isWithin(Behaviour.Down, Now))
    return sendBack(Id, AttemptEnd::ConnectionFailed, Duration(0), false);
  if (isWithin(Behaviour.Failing, Now))
    return sendBack(Id, AttemptEnd::Failed, FastFailure, true);
  if (Target.Running >= Input.Slots && Target.Queue.size() >= Input.TargetQueue)
    return sendBack(Id, AttemptEnd::Shed, Duration(0), true);
  Target.Present.push_back(Id);
  if (Target.Running < Input.Slots)
    return run(Id);
  Subject.Phase = AttemptPhase::Queued;
  Target.Queue.push_back(Id);
}

void Engine::run(std::uint32_t Id) {
  Attempt &Subject = Attempts[Id];
  Subject.Phase = AttemptPhase::Running;
  ++Targets[Subject.Target].Running;
  schedule(finishTime(Input.Targets[Subject.Target], Now, Subject.Work),
           EventKind::Finish, Id);
}

void Engine::startNext(TargetIndex Index) {
  SimulatedTarget &Target = Targets[Index];
  if (Target.Queue.empty() || Target.Running >= Input.Slots)
    return;
  const std::uint32_t Next = Target.Queue.front();
  Target.Queue.pop_front();
  run(Next);
}

void Engine::leaveTarget(std::uint32_t Id) {
  Attempt &Subject = Attempts[Id];
  SimulatedTarget &Target = Targets[Subject.Target];
  if (Subject.Phase == AttemptPhase::Running)
    --Target.Running;
  if (Subject.Phase == AttemptPhase::Queued)
    std::erase(Target.Queue, Id);
  std::erase(Target.Present, Id);
  if (Subject.Phase != AttemptPhase::Ended)
    --Loads[Subject.Target].Calls;
  Subject.Phase = AttemptPhase::Ended;
}

void Engine::finish(std::uint32_t Id) {
  if (Attempts[Id].Phase != AttemptPhase::Running)
    return;
  leaveTarget(Id);
  startNext(Attempts[Id].Target);
  sendBack(Id, AttemptEnd::Answered, Duration(0), true);
}

void Engine::sendBack(std::uint32_t Id, AttemptEnd End, Duration Delay,
                      bool WithReport) {
  leaveTarget(Id);
  Attempt &Subject = Attempts[Id];
  Subject.End = End;
  Subject.HasReport = WithReport;
  if (WithReport)
    Subject.Report = reportOf(Subject.Target);
  schedule(Now + Delay + OneWay, EventKind::Answer, Id, Subject.Host);
}

void Engine::cancelReach(std::uint32_t Id) {
  if (Attempts[Id].Phase == AttemptPhase::Ended)
    return;
  leaveTarget(Id);
  startNext(Attempts[Id].Target);
}

void Engine::targetDown(TargetIndex Index) {
  const std::vector<std::uint32_t> Present = Targets[Index].Present;
  for (const std::uint32_t Id : Present)
    sendBack(Id, AttemptEnd::Failed, Duration(0), false);
}

} // namespace comfreyrill::replay
