#include "RequestExplainer.h"

#include <LibGateway/RouteTable.h>

#include <algorithm>
#include <map>

namespace comfreyrill {

namespace {

constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;

std::optional<Duration> timeLeft(TargetExclusion Exclusion,
                                 const TargetFacts &Facts, TimePoint Now) {
  if (Exclusion == TargetExclusion::Paused)
    return std::max(Facts.Pause->EndsAt - Now, Duration::zero());
  if (Exclusion == TargetExclusion::HeldBack)
    return *Facts.Entry.HeldBackUntil - Now;
  return std::nullopt;
}

void takeEarlier(std::optional<Duration> &Earliest, Duration Candidate) {
  if (!Earliest || Candidate < *Earliest)
    Earliest = Candidate;
}

/// Why a request that has the choice does not use a target of another domain.
std::string_view domainReason(const DomainChoiceState *State,
                              const RequestChoice &Choice) {
  if (Choice.Destination)
    return "another_domain_chosen";
  if (State == nullptr || (!State->IsPressed && !State->IsOwnLost))
    return "own_domain_has_room";
  if (State->Shares.empty())
    return "no_other_domain_has_room";
  return "not_in_leaving_share";
}

} // namespace

RequestExplainer::RequestExplainer(const GatewayDependencies &Dependencies,
                                   const AllotmentExchange *Quotas, HostId Host,
                                   Random Generator)
    : Dependencies(Dependencies), Quotas(Quotas), Host(std::move(Host)),
      Generator(Generator) {}

Explanation RequestExplainer::explain(const ExplainedRequest &Request) {
  Explanation Result;
  Result.Host = Host;
  Result.HostDomain = Dependencies.HostDomain;
  Result.IsDraining = Dependencies.Drain.has_value();
  Result.Active = Dependencies.CurrentState.configuration();
  Result.Arrival = explainArrival(Result.Active.get(), Request);
  Result.Refusal = Result.Arrival.Refusal;
  if (Result.Arrival.Matched == nullptr)
    return Result;
  if (!Result.Refusal && Dependencies.CurrentState.awaitsEvacuations())
    Result.Refusal = {StatusUnavailable, "evacuations_unknown",
                      RetryWithoutConfiguration};
  const ClientAccount *Account = Result.Arrival.Account;
  if (!Result.Refusal && Account != nullptr && Account->Rate > 0 &&
      Quotas != nullptr) {
    Result.Token = Quotas->preview(*Account, Generator);
    if (Result.Token->Decision.Step == TokenStep::Refused)
      Result.Refusal = {StatusTooManyRequests, "allotment_used_up",
                        Result.Token->Decision.RetryAfter};
  }
  Result.Shares = serviceShares(*Result.Arrival.Matched);
  const auto Main = mainService(*Result.Arrival.Matched);
  if (Main) {
    Result.Service = Result.Arrival.Matched->Services[*Main].Service;
    explainTargets(Request, Result);
  } else if (!Result.Refusal) {
    Result.Refusal = {StatusUnavailable, "no_service",
                      RetryWithoutConfiguration};
  }
  return Result;
}

void RequestExplainer::explainTargets(const ExplainedRequest &Request,
                                      Explanation &Result) {
  const GatewayState &CurrentState = Dependencies.CurrentState;
  const TimePoint Now = Dependencies.TimeSource.now();
  const Route &Matched = *Result.Arrival.Matched;
  const ServiceName &Service = *Result.Service;
  const ServiceStats *Known = CurrentState.findServiceStats(Service);
  const ServiceStats Unused;
  const ServiceStats &Stats = Known == nullptr ? Unused : *Known;
  const ServiceDescription *Described = findService(*Result.Active, Service);
  Result.ExpectedTime = expectedWorkTime(Stats.Times, Matched, Now);
  SelectionInput Input;
  Input.IsProbed = Described != nullptr && !Described->HealthPath.empty();
  Input.ProbeTokens = Dependencies.ProbeTokens;
  Input.ProbePolicy = {Dependencies.ProbesPerTargetPerSecond,
                       CurrentState.targets().Targets.size(),
                       Dependencies.BudgetHostCount()};
  Input.Waiting = *Stats.Waiting;
  Input.Searching = searchingRequest(Result);
  Input.LatencyObjective = Matched.LatencyObjective;
  Input.Returns = Stats.Returns;
  Input.Drain = Dependencies.Drain;
  listTargets(Service, Result, Input);
  Input.HasServiceCandidates = !Input.Candidates.empty();
  applySemantics(Input.Candidates, Matched.Semantics);
  if (Dependencies.Domains != nullptr)
    applyDomainChoice(Request, Result, Input);
  std::map<TargetId, const TargetCandidate *> Candidates;
  for (const TargetCandidate &Candidate : Input.Candidates)
    Candidates[Candidate.Id] = &Candidate;
  for (TargetExplanation &Target : Result.Targets) {
    const auto Position = Candidates.find(Target.Id);
    const auto &Registered = CurrentState.targets().Targets.at(Target.Id);
    if (Position == Candidates.end())
      continue;
    Target.IsSuspect = Position->second->IsSuspect;
    Input.Slots.push_back(Registered.Registration.Slots);
  }
  if (!Result.Refusal)
    Result.Selection = explainSelection(std::move(Input), Generator, Now);
}

SearchingRequest
RequestExplainer::searchingRequest(const Explanation &Result) const {
  const TimePoint Now = Dependencies.TimeSource.now();
  const Route &Matched = *Result.Arrival.Matched;
  const ClientAccount *Account = Result.Arrival.Account;
  SearchingRequest Made;
  Made.Priority = effectivePriority(Matched, Account);
  Made.RoutePriority = Matched.Priority;
  if (Account != nullptr)
    Made.Account = Account->Name;
  Made.ArrivedAt = Now;
  Made.ObjectiveAt = Now + Matched.LatencyObjective;
  Made.Deadline = Now + std::min(DefaultTimeLeft, Matched.Timeout);
  Made.SearchEndsAt =
      Now + maximumSearchTime(Matched.LatencyObjective, Made.Priority);
  Made.ExpectedTime = Result.ExpectedTime;
  return Made;
}

// The same steps as in GatewayState::candidates, which records what it has
// judged; here, ejections end and first listings begin on copies.
void RequestExplainer::listTargets(const ServiceName &Service,
                                   Explanation &Result, SelectionInput &Input) {
  const GatewayState &CurrentState = Dependencies.CurrentState;
  const TimePoint Now = Dependencies.TimeSource.now();
  const ServiceDescription *Described = findService(*Result.Active, Service);
  const double ColdRate = Described == nullptr ? 0 : Described->ColdRate;
  const ServiceStats *KnownService = CurrentState.findServiceStats(Service);
  const TimePoint ServiceListedAt =
      KnownService == nullptr ? Now : KnownService->FirstListedAt.value_or(Now);
  const TargetStats Unused;
  std::vector<double> Preferences;
  std::uniform_real_distribution<double> UnitInterval(0, 1);
  for (const auto &[Id, Known] : CurrentState.targets().Targets) {
    const TargetRegistration &Registered = Known.Registration;
    if (Registered.Service != Service)
      continue;
    const TargetStats *Found = CurrentState.findTargetStats(Id);
    const TargetStats &Stats = Found == nullptr ? Unused : *Found;
    const auto Pause = CurrentState.pauses().find(processOf(Registered));
    const TargetFacts Facts{
        Known, isEvacuated(CurrentState.evacuations(), Registered.Domain),
        Pause == CurrentState.pauses().end() ? nullptr : &Pause->second.Pause,
        Stats.InFlight};
    OutlierState Outlier = Stats.Outlier;
    endEjection(Outlier, Now);
    TargetExplanation Target;
    Target.Id = Id;
    Target.Domain = Registered.Domain;
    Target.IsEjected = Outlier.Ejected;
    Target.Load = Stats.Load;
    Target.LoadAge = Now - Stats.LoadObservedAt;
    Target.Exclusion = findExclusion(Facts, Now);
    Target.ExcludedFor = timeLeft(Target.Exclusion, Facts, Now);
    if (Target.Exclusion == TargetExclusion::Paused)
      takeEarlier(Input.UntilPauseEnd, Facts.Pause->EndsAt - Now);
    if (Target.Exclusion == TargetExclusion::None && ColdRate > 0 &&
        Now < Known.ColdUntil) {
      const ShareVerdict Verdict = previewShare(
          CurrentState.coldTargets(), Id, Registered.Domain, ColdRate, Now);
      if (!Verdict.IsAdmitted) {
        Target.Exclusion = TargetExclusion::Cold;
        Target.ExcludedFor = roomAt(Verdict, Known.ColdUntil, Now) - Now;
        takeEarlier(Input.UntilColdRoom, *Target.ExcludedFor);
      }
    }
    const RateLimitVerdict Limited =
        CurrentState.rateLimits().preview(Registered);
    if (Target.Exclusion == TargetExclusion::None && !Limited.MayProbe) {
      Target.Exclusion = TargetExclusion::RateLimited;
      Target.ExcludedFor = *Limited.RoomAt - Now;
      takeEarlier(Input.UntilLimitRoom, *Target.ExcludedFor);
    }
    if (Target.Exclusion == TargetExclusion::None) {
      TargetCandidate Candidate =
          makeCandidate(Facts,
                        {Outlier, Stats.Load, Stats.LoadObservedAt,
                         Stats.FirstListedAt.value_or(Now), ServiceListedAt},
                        Dependencies.HostDomain, Now);
      Candidate.NeedsProbe = !Limited.MaySend;
      Candidate.HasIdleConnection =
          Dependencies.Pool.hasIdle(Registered.Address);
      Target.IsOnProbation = Candidate.IsOnProbation;
      if (Stats.Load)
        Target.LatencyFactor =
            expectedLatencyFactor({Candidate, *Stats.Load, true});
      Preferences.push_back(Stats.Preference ? *Stats.Preference
                                             : UnitInterval(Generator));
      Input.Candidates.push_back(std::move(Candidate));
    }
    Result.Targets.push_back(std::move(Target));
  }
  markPreferredSubsets(Input.Candidates, Preferences);
}

void RequestExplainer::applyDomainChoice(const ExplainedRequest &Request,
                                         Explanation &Result,
                                         SelectionInput &Input) {
  const DomainRouting &Domains = *Dependencies.Domains;
  const ServiceName &Service = *Result.Service;
  RequestChoice Choice = Domains.preview(Service, *Result.Arrival.Matched,
                                         Request.BodyBytes, Generator);
  Input.Factors = Choice.Factors;
  Domains.restrict(Service, Choice, Input.Candidates);
  for (TargetExplanation &Target : Result.Targets) {
    const bool IsLeft = std::any_of(
        Input.Candidates.begin(), Input.Candidates.end(),
        [&](const TargetCandidate &Left) { return Left.Id == Target.Id; });
    if (IsLeft || Target.Exclusion != TargetExclusion::None)
      continue;
    Target.Exclusion = TargetExclusion::OtherDomain;
    Target.DomainReason = domainReason(Domains.state(Service), Choice);
  }
}

} // namespace comfreyrill
