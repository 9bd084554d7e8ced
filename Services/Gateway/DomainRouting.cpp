#include "DomainRouting.h"

#include <algorithm>

namespace comfreyrill {

namespace {

// Weight of one response in the mean size of the responses of a route.
constexpr double ResponseBytesWeight = 0.05;
// Reports between domains arrive three times in this time.
constexpr Duration DomainSilentAfter = std::chrono::seconds(3);
// Why a request uses a target of another domain.
constexpr std::string_view LeftByShare = "share";
constexpr std::string_view LeftByGain = "gain";
constexpr std::string_view LeftWithoutLocalTarget = "no_local_target";

std::string metricName(std::string_view Name, const ServiceName &Service) {
  return std::string(Name) + "{service=\"" + Service.Value + "\"}";
}

/// Returns the names of the domains of some entries, separated by commas.
template <typename Entries> std::string joinDomains(const Entries &Listed) {
  std::string Joined;
  for (const auto &Entry : Listed)
    Joined += (Joined.empty() ? "" : ",") + Entry.Domain.Value;
  return Joined;
}

void addTarget(DomainLoad &Sum, const TargetCandidate &Target) {
  ++Sum.Targets;
  if (!Target.LastLoad || Target.LoadAge > DomainLoadAgeMaximum)
    return;
  const LoadReport &Load = *Target.LastLoad;
  const std::uint32_t Useful = usefulSlots(Load.Slots);
  Sum.UsefulSlots += Useful;
  const std::uint32_t Busy = std::min(Load.InFlight + Load.Queued, Useful);
  Sum.BusySlots += Busy;
  if (Load.Slowdown > UsualSlowdownMaximum)
    Sum.SlowSlots += Useful - Busy;
  Sum.Slowdown +=
      (Load.Slowdown - Sum.Slowdown) / static_cast<double>(++Sum.KnownTargets);
}

// A few known targets say little about the others.
bool isMostlyKnown(const DomainLoad &Load) {
  return 2 * Load.KnownTargets >= Load.Targets;
}

} // namespace

DomainRouting::DomainRouting(const GatewayDependencies &Dependencies,
                             const DomainTable &Domains, double BytePrice)
    : Dependencies(Dependencies), Domains(Domains), BytePrice(BytePrice),
      UpdateTimer(Dependencies.Context) {}

void DomainRouting::start() {
  asio::co_spawn(
      Dependencies.Context, [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

Awaitable<void> DomainRouting::run() {
  while (true) {
    UpdateTimer.expires_after(DomainChoiceInterval);
    const auto [Code] = co_await UpdateTimer.async_wait(UseTuple);
    if (Code)
      co_return;
    update();
  }
}

void DomainRouting::update() {
  for (auto &[Service, Entry] : Services)
    updateService(Service, Entry);
}

// The candidates leave out targets that are not to be used, for whatever
// reason; a domain whose targets are all left out counts as without targets.
std::map<FailureDomain, DomainLoad>
DomainRouting::knownLoads(const ServiceName &Service, double *InFlight) {
  GatewayState &CurrentState = Dependencies.CurrentState;
  std::map<FailureDomain, DomainLoad> Loads;
  Loads[Dependencies.HostDomain];
  const CandidateList Listed =
      CurrentState.candidates(Service, Dependencies.HostDomain);
  for (const TargetCandidate &Target : Listed.Targets) {
    if (InFlight != nullptr)
      *InFlight += Target.OwnInFlight;
    if (!Target.IsCold && !Target.IsSuspect)
      addTarget(Loads[CurrentState.targets()
                          .Targets.at(Target.Id)
                          .Registration.Domain],
                Target);
  }
  return Loads;
}

void DomainRouting::updateService(const ServiceName &Service,
                                  ServiceRouting &Entry) {
  const TimePoint Now = Dependencies.TimeSource.now();
  DomainChoiceInput Input;
  Input.Received = std::exchange(Entry.Received, 0);
  Input.Refused = std::exchange(Entry.Refused, 0);
  Input.Waiting = Entry.Waiting;
  Entry.ClosedDomains.clear();
  Entry.NeighborDelay = Duration::zero();
  Input.WorkTime =
      Dependencies.CurrentState.serviceStats(Service).Times.OfService.Mean;
  for (const auto &[Domain, Load] : knownLoads(Service, &Input.InFlight)) {
    DomainCondition Condition;
    Condition.Domain = Domain;
    Condition.Load = Load;
    if (Domain == Dependencies.HostDomain) {
      Input.Own = Condition;
      continue;
    }
    const auto Reported = Entry.Reports.find(Domain);
    const bool IsReported =
        Reported != Entry.Reports.end() &&
        Now - Reported->second.ObservedAt <= DomainLoadAgeMaximum;
    if (IsReported) {
      Condition.Load = Reported->second.Load;
      Condition.Age = Now - Reported->second.ObservedAt;
      Condition.Delay = Reported->second.Delay;
    } else if (!isMostlyKnown(Load)) {
      Condition.Load.KnownTargets = 0;
    }
    const auto Known = Domains.Domains.find(Domain);
    Condition.IsSilent = Known == Domains.Domains.end() ||
                         !Known->second.HeardAt ||
                         Now - *Known->second.HeardAt > DomainSilentAfter;
    if (Condition.IsSilent || Condition.Load.IsPressed)
      Entry.ClosedDomains.insert(Domain);
    Entry.NeighborDelay = std::max(Entry.NeighborDelay, Condition.Delay);
    Input.Others.push_back(Condition);
  }
  const bool WasSending = !Entry.State.Shares.empty();
  updateDomainChoice(Entry.State, Input, Now);
  Dependencies.ProcessMetrics.setGauge(
      metricName("domain_leaving_share", Service), leavingShare(Entry.State));
  logChange(Service, Entry.State, WasSending);
}

std::uint64_t &DomainRouting::leftCounter(const ServiceName &Service,
                                          std::string_view Reason) {
  return Dependencies.ProcessMetrics.counter(
      "requests_left_domain_total{service=\"" + Service.Value + "\",reason=\"" +
      std::string(Reason) + "\"}");
}

void DomainRouting::logChange(const ServiceName &Service,
                              const DomainChoiceState &State, bool WasSending) {
  const bool IsSending = !State.Shares.empty();
  if (IsSending == WasSending)
    return;
  const std::string_view Event =
      IsSending ? "domain_sending_begin" : "domain_sending_end";
  LogLine Line(Event);
  Line.field("service", Service.Value)
      .field("failure_domain", Dependencies.HostDomain.Value);
  if (IsSending) {
    Line.field("destinations", joinDomains(State.Shares))
        .field("percent", static_cast<std::uint64_t>(100 * leavingShare(State)))
        .field("own_targets", !State.IsOwnLost);
  }
  Dependencies.Events.write(LogLevel::Info, Event, Line);
}

double DomainRouting::responseBytes(const ServiceRouting &Entry,
                                    const Route &Matched) {
  const auto Known = Entry.ResponseBytesByRoute.find(Matched.Name);
  return Known == Entry.ResponseBytesByRoute.end() ? 0 : Known->second;
}

LeavingRequest DomainRouting::leavingRequest(const ServiceRouting &Entry,
                                             const Route &Matched,
                                             std::size_t RequestBytes,
                                             Duration Waited) {
  return {static_cast<double>(RequestBytes) + responseBytes(Entry, Matched),
          Waited, Matched.LatencyObjective};
}

RequestChoice DomainRouting::choose(const ServiceName &Service,
                                    const Route &Matched,
                                    std::size_t RequestBytes, Duration Waited) {
  const bool IsNew = !Services.contains(Service);
  ServiceRouting &Entry = Services[Service];
  // Without this, the first requests of a host without own targets would wait
  // for the next update.
  if (IsNew)
    updateService(Service, Entry);
  ++Entry.Received;
  return chooseForRequest(Entry.State, Entry.Recent,
                          leavingRequest(Entry, Matched, RequestBytes, Waited),
                          BytePrice, Dependencies.Generator);
}

RequestChoice DomainRouting::preview(const ServiceName &Service,
                                     const Route &Matched,
                                     std::size_t RequestBytes,
                                     Random &Other) const {
  const auto Known = Services.find(Service);
  const ServiceRouting None;
  const ServiceRouting &Entry = Known == Services.end() ? None : Known->second;
  RecentCosts Copy = Entry.Recent;
  return chooseForRequest(
      Entry.State, Copy,
      leavingRequest(Entry, Matched, RequestBytes, Duration::zero()), BytePrice,
      Other);
}

const DomainChoiceState *
DomainRouting::state(const ServiceName &Service) const {
  const auto Entry = Services.find(Service);
  return Entry == Services.end() ? nullptr : &Entry->second.State;
}

void DomainRouting::restrict(const ServiceName &Service, RequestChoice &Choice,
                             std::vector<TargetCandidate> &Candidates) const {
  const auto Entry = Services.find(Service);
  const bool IsKnown = Entry != Services.end();
  Choice.UsableLocalTargets = static_cast<std::size_t>(std::count_if(
      Candidates.begin(), Candidates.end(), [](const TargetCandidate &Target) {
        return Target.IsInLocalDomain && !Target.IsSuspect;
      }));
  // A request that stays and has no local target left is better served
  // elsewhere than rejected, unless that is known to be in vain.
  const bool IsInVain = IsKnown && Entry->second.State.IsOwnLost &&
                        !Entry->second.State.Allowances.empty();
  if (!Choice.Destination && Choice.UsableLocalTargets == 0) {
    Choice.MayUseNeighbors = false;
    if (!IsInVain)
      return;
  }
  std::erase_if(Candidates, [&](const TargetCandidate &Target) {
    if (Target.IsInLocalDomain)
      return false;
    const FailureDomain &Domain = Dependencies.CurrentState.targets()
                                      .Targets.at(Target.Id)
                                      .Registration.Domain;
    if (Choice.Destination)
      return Domain != *Choice.Destination;
    return !Choice.MayUseNeighbors || !IsKnown ||
           Entry->second.ClosedDomains.contains(Domain) || Target.IsSuspect ||
           Target.IsOnProbation || Target.IsCold;
  });
}

std::optional<std::size_t> DomainRouting::select(
    const ServiceName &Service, const Route &Matched, LeavingRequest Request,
    const std::vector<ProbedCandidate> &Probed, RequestChoice &Choice) {
  if (Choice.Destination)
    return selectTarget(Probed, Choice.Factors);
  const auto Best = selectStaying(Probed, Choice.Factors);
  if (Best && isGoodEnough(Probed[*Best]))
    return Best;
  const ServiceRouting &Entry = Services[Service];
  Request.Bytes += responseBytes(Entry, Matched);
  widenSearch(Choice, Probed, Request, Entry.State.OwnUtilization,
              Entry.NeighborDelay, BytePrice);
  return Best;
}

void DomainRouting::beginWait(const ServiceName &Service) {
  ++Services[Service].Waiting;
}

void DomainRouting::endWait(const ServiceName &Service) {
  --Services[Service].Waiting;
}

// The rejection of a request that left says nothing about the own domain.
void DomainRouting::recordRefusal(const ServiceName &Service,
                                  const RequestChoice &Choice) {
  if (!Choice.Destination)
    ++Services[Service].Refused;
}

std::string_view DomainRouting::recordAttempt(const ServiceName &Service,
                                              const TargetCandidate &Target,
                                              const RequestChoice &Choice,
                                              std::size_t RequestBytes) {
  if (Target.IsInLocalDomain)
    return "";
  GatewayMetrics &Metrics = Dependencies.ProcessMetrics;
  ++Metrics.counter(metricName("requests_to_other_domains_total", Service));
  Metrics.counter(metricName("bytes_to_other_domains_total", Service)) +=
      RequestBytes;
  const std::string_view Reason = Choice.Destination ? LeftByShare
                                  : Choice.MayUseNeighbors
                                      ? LeftByGain
                                      : LeftWithoutLocalTarget;
  ++leftCounter(Service, Reason);
  return Reason;
}

void DomainRouting::recordAnswer(const ServiceName &Service,
                                 const Route &Matched,
                                 std::size_t ResponseBytes) {
  double &Mean = Services[Service].ResponseBytesByRoute[Matched.Name];
  Mean += ResponseBytesWeight * (static_cast<double>(ResponseBytes) - Mean);
}

std::map<ServiceName, DomainLoad> DomainRouting::ownLoads() {
  std::set<ServiceName> Names;
  for (const auto &[Id, Known] : Dependencies.CurrentState.targets().Targets)
    Names.insert(Known.Registration.Service);
  std::map<ServiceName, DomainLoad> Loads;
  for (const ServiceName &Service : Names) {
    DomainLoad &Load = Loads[Service];
    Load = knownLoads(Service, nullptr)[Dependencies.HostDomain];
    const auto Entry = Services.find(Service);
    Load.IsPressed = Entry != Services.end() && Entry->second.State.IsPressed;
  }
  return Loads;
}

void DomainRouting::recordReport(const ServiceName &Service,
                                 const FailureDomain &Domain,
                                 const ReportedDomainLoad &Reported) {
  ReportedDomainLoad &Known = Services[Service].Reports[Domain];
  if (Known.ObservedAt < Reported.ObservedAt)
    Known = Reported;
}

std::map<FailureDomain, ReportedDomainLoad>
DomainRouting::reports(const ServiceName &Service) const {
  std::map<FailureDomain, ReportedDomainLoad> Recent;
  const auto Entry = Services.find(Service);
  if (Entry == Services.end())
    return Recent;
  for (const auto &[Domain, Reported] : Entry->second.Reports)
    if (Dependencies.TimeSource.now() - Reported.ObservedAt <=
        DomainLoadAgeMaximum)
      Recent[Domain] = Reported;
  return Recent;
}

} // namespace comfreyrill
