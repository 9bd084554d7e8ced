#include "RequestExecution.h"

#include "RequestRelay.h"

#include <LibGateway/CandidateListing.h>
#include <LibGateway/PauseWait.h>
#include <LibGateway/RefusalDecision.h>
#include <LibGateway/RouteTable.h>
#include <LibQuarantine/Fingerprint.h>
#include <platform/HttpCodec.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// A host that starts knows the configuration within about 0.1 s. Requests that
// it receives before are held for at most twice as long.
constexpr Duration StateCheckInterval = std::chrono::milliseconds(10);
constexpr int StateWaitRounds = 20;
constexpr std::uint64_t AnswerBytesMaximum = std::uint64_t{8} * 1024 * 1024;
// Interval at which a request that is held for a pause looks for other targets,
// which may have registered meanwhile.
constexpr Duration HeldCheckInterval = std::chrono::milliseconds(200);

HttpLimits answerLimits() {
  HttpLimits Limits;
  Limits.HeaderBytes = 64 * 1024;
  Limits.BodyBytes = AnswerBytesMaximum;
  return Limits;
}

/// True when another host may serve a request that this one refuses.
bool isRefusalOfHost(std::string_view Reason,
                     const ReachabilityMonitor &Reachability) {
  if (Reason == refusalCauseName(RefusalCause::CutOff) ||
      Reason == refusalCauseName(RefusalCause::Draining) ||
      Reason == "no_configuration" || Reason == "evacuations_unknown")
    return true;
  const bool IsTargetMissing =
      Reason == refusalCauseName(RefusalCause::NoTarget) ||
      Reason == refusalCauseName(RefusalCause::Overloaded);
  return IsTargetMissing && Reachability.cannotConnect();
}

bool needsProbe(const TargetCandidate &Candidate) {
  return Candidate.NeedsProbe;
}

std::uint64_t milliseconds(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(Time, Duration::zero()))
          .count());
}

} // namespace

RequestExecution::RequestExecution(const GatewayDependencies &Dependencies,
                                   TargetProber &Prober,
                                   CrashQuarantine &Quarantine,
                                   HttpRequest Request,
                                   std::string CallerAddress)
    : Dependencies(Dependencies), Prober(Prober), Quarantine(Quarantine),
      Request(std::move(Request)), CallerAddress(std::move(CallerAddress)),
      Metadata(platform::decodeRequestMetadata(this->Request)),
      IdDigest(std::hash<std::string>{}(Metadata.Id.Value)),
      ReceivedAt(Dependencies.TimeSource.now()),
      SelectionTimer(Dependencies.Context),
      HeldAnswer(&Dependencies.Messages, MessageKind::Response) {
  if (Metadata.Relayed && !Metadata.Relayed->CallerAddress.empty())
    this->CallerAddress = Metadata.Relayed->CallerAddress;
}

void RequestExecution::cancel() {
  HasCallerLeft = true;
  SelectionTimer.cancel();
  if (ActiveConnection)
    ActiveConnection->cancel();
}

Awaitable<HttpResponse> RequestExecution::run() {
  const auto Self = shared_from_this();
  if (Dependencies.CurrentState.isStarting())
    co_await waitForState();
  CurrentConfiguration = Dependencies.CurrentState.configuration();
  if (!CurrentConfiguration)
    co_return refuse(http::status::service_unavailable, "no_configuration",
                     RetryWithoutConfiguration);
  if (Dependencies.CurrentState.awaitsEvacuations())
    co_return refuse(http::status::service_unavailable, "evacuations_unknown",
                     RetryWithoutConfiguration);
  SelectedRoute =
      findRoute(*CurrentConfiguration, Metadata.Host, Metadata.Path);
  if (SelectedRoute == nullptr)
    co_return refuse(http::status::not_found, "no_route", std::nullopt);
  Deadline = ReceivedAt + std::min(Metadata.TimeLeft.value_or(DefaultTimeLeft),
                                   SelectedRoute->Timeout);
  if (Dependencies.CurrentState.reachability().isCutOff() &&
      !isTooLateInDrain(SelectedRoute->LatencyObjective))
    if (auto Answer = co_await answerWhileCutOff())
      co_return std::move(*Answer);
  if (auto Rejection = co_await authorizeCaller())
    co_return std::move(*Rejection);
  const ServiceName *Picked =
      chooseService(*SelectedRoute, Dependencies.Generator);
  if (Picked == nullptr) {
    returnToken();
    co_return refuse(http::status::service_unavailable, "no_service",
                     RetryWithoutConfiguration);
  }
  Service = *Picked;
  const ServiceDescription *Described =
      findService(*CurrentConfiguration, Service);
  HealthPath = Described == nullptr ? "" : Described->HealthPath;
  recordRequest(Dependencies.CurrentState.serviceStats(Service).RetryCounts,
                Dependencies.RetryPolicy, ReceivedAt);
  if (Dependencies.Domains != nullptr)
    DomainChoice = Dependencies.Domains->choose(
        Service, *SelectedRoute, Request.body().size(),
        Dependencies.TimeSource.now() - ReceivedAt);
  co_return co_await execute(*SelectedRoute);
}

// Load that this answers: after a power loss of all hosts, callers return
// within milliseconds of the start of a host, while the targets are idle. A
// refusal would take the retry that most of them have left.
Awaitable<void> RequestExecution::waitForState() {
  for (int Round = 0; Round < StateWaitRounds && !HasCallerLeft &&
                      Dependencies.CurrentState.isStarting();
       ++Round) {
    SelectionTimer.expires_after(StateCheckInterval);
    co_await SelectionTimer.async_wait(UseTuple);
  }
}

Awaitable<std::optional<HttpResponse>> RequestExecution::authorizeCaller() {
  const Authorization Checked =
      authorize(*CurrentConfiguration, *SelectedRoute, Metadata.AccessKey);
  if (Checked.Verdict != AuthorizationVerdict::Allowed)
    co_return refuse(http::status::unauthorized,
                     Checked.Verdict == AuthorizationVerdict::MissingKey
                         ? "missing_key"
                         : "unknown_key",
                     std::nullopt);
  Account = Checked.Account;
  if (Account == nullptr || Account->Rate <= 0 || !Dependencies.AcquireToken)
    co_return std::nullopt;
  const auto UntilToken = co_await Dependencies.AcquireToken(*Account);
  if (UntilToken)
    co_return refuse(http::status::too_many_requests, "allotment_used_up",
                     *UntilToken);
  HoldsToken = true;
  co_return std::nullopt;
}

void RequestExecution::returnToken() {
  if (HoldsToken && Dependencies.ReturnToken)
    Dependencies.ReturnToken(Account->Name);
  HoldsToken = false;
}

// A request can be held for seconds, longer than a removed key or route may go
// on working.
bool RequestExecution::isStillValid() {
  const auto Latest = Dependencies.CurrentState.configuration();
  if (Latest == CurrentConfiguration || Latest == RecheckedConfiguration)
    return true;
  RecheckedConfiguration = Latest;
  const Route *Matched = findRoute(*Latest, Metadata.Host, Metadata.Path);
  if (Matched == nullptr) {
    Invalidity = {http::status::not_found, "no_route", std::nullopt};
    return false;
  }
  const Authorization Checked =
      authorize(*Latest, *Matched, Metadata.AccessKey);
  if (Checked.Verdict != AuthorizationVerdict::Allowed)
    Invalidity = {http::status::unauthorized, "unknown_key", std::nullopt};
  else if ((Checked.Account == nullptr
                ? AccountName()
                : Checked.Account->Name) != accountName() ||
           Latest->Accounts.has_value() !=
               CurrentConfiguration->Accounts.has_value())
    Invalidity = {http::status::service_unavailable, "account_changed",
                  RetryWithoutConfiguration};
  return !Invalidity;
}

Awaitable<HttpResponse> RequestExecution::execute(const Route &Matched) {
  // The last attempt whose request may have run. Once there is one, the
  // response must not claim that the request has not run.
  std::optional<AttemptReport> MayHaveRun;
  AttemptOutcome Last = AttemptOutcome::NotRun;
  const std::uint32_t AttemptsMaximum =
      Metadata.Relayed
          ? std::min(Matched.AttemptsMaximum, Metadata.Relayed->AttemptsMaximum)
          : Matched.AttemptsMaximum;
  while (!HasCallerLeft && AttemptCount < AttemptsMaximum &&
         isSafeToRetry(Matched.Semantics, Last) && !isQuarantined() &&
         !isTooLateInDrain(workTime())) {
    auto Target = co_await findTarget();
    if (!Target)
      break;
    // The target may have said since its selection that it leaves or pauses.
    const TargetProcess Process = processOf(Target->Candidate.Target);
    const bool IsUsable = Dependencies.CurrentState.admitsAttempt(Process) &&
                          Dependencies.CurrentState.mayUseFor(Service, Process);
    IsSelectionRepeated = !IsUsable;
    // Other copies may have crashed targets meanwhile, or the host may have
    // been told to shut down.
    if (HasCallerLeft || !IsUsable || !isStillValid() || isQuarantined() ||
        isTooLateInDrain(expectedTime(Target->Candidate)) ||
        !mayBeginAttempt()) {
      Prober.release(std::move(*Target));
      if (!HasCallerLeft && !IsUsable)
        continue;
      break;
    }
    if (Quarantine.hasEvidence())
      Quarantine.beginAttempt(fingerprint());
    AttemptReport Report = co_await attempt(std::move(*Target));
    Last = Report.Outcome;
    if (Last != AttemptOutcome::NotRun)
      MayHaveRun = std::move(Report);
  }
  if (MayHaveRun)
    co_return answerFor(std::move(*MayHaveRun));
  const bool IsTargetMissing = Refusal == RefusalCause::NoTarget ||
                               Refusal == RefusalCause::Overloaded ||
                               Refusal == RefusalCause::CutOff;
  // The retry budget of the other host does not know of attempts of this one.
  if (IsTargetMissing && !Invalidity && AttemptCount == 0 && mayRelay()) {
    returnToken();
    withdrawRequest(Dependencies.CurrentState.serviceStats(Service).RetryCounts,
                    Dependencies.RetryPolicy, ReceivedAt);
    if (auto Relayed = co_await relay())
      co_return std::move(*Relayed);
  }
  co_return refuseNotRun();
}

// The other host authorizes the caller and takes the token of the account.
Awaitable<std::optional<HttpResponse>> RequestExecution::answerWhileCutOff() {
  if (!Metadata.Relayed) {
    if (!mayRelay())
      co_return std::nullopt;
    if (auto Relayed = co_await relay())
      co_return std::move(*Relayed);
  }
  const Duration Delay =
      retryAfter(RefusalCause::CutOff, SelectedRoute->LatencyObjective,
                 Dependencies.Generator);
  co_return refuse(http::status::service_unavailable,
                   refusalCauseName(RefusalCause::CutOff), Delay);
}

bool RequestExecution::mayRelay() const {
  const auto &Reachability = Dependencies.CurrentState.reachability();
  return (Reachability.isCutOff() || Reachability.cannotConnect()) &&
         !Metadata.Relayed && !HasCallerLeft && Dependencies.Relay != nullptr &&
         Dependencies.Relay->hasOtherHosts();
}

Awaitable<std::optional<HttpResponse>> RequestExecution::relay() {
  RelayedRequest Relayed{Request,
                         Metadata.Id,
                         {SelectedRoute->AttemptsMaximum, CallerAddress},
                         answerLimits(),
                         Deadline,
                         ActiveConnection,
                         HasCallerLeft};
  RelayResult Result = co_await Dependencies.Relay->relay(Relayed);
  if (Result.Answer) {
    HeldAnswer.hold(Result.Answer->body().size());
    HttpResponse Answer = platform::encodeAnswer(std::move(*Result.Answer));
    logRequestEnd(Answer.result_int(), "relayed");
    co_return Answer;
  }
  if (!Result.MayHaveRun)
    co_return std::nullopt;
  const bool IsTimedOut = Dependencies.TimeSource.now() >= Deadline;
  co_return refuse(IsTimedOut ? http::status::gateway_timeout
                              : http::status::bad_gateway,
                   "relay_lost", std::nullopt);
}

std::uint64_t RequestExecution::fingerprint() {
  if (!Fingerprint)
    Fingerprint = callerRequestFingerprint(
        CallerAddress, Metadata.Host,
        {Request.method_string().data(), Request.method_string().size()},
        Metadata.Path, Request.body());
  return *Fingerprint;
}

bool RequestExecution::isQuarantined() {
  if (!Quarantine.hasEvidence())
    return false;
  QuarantineLeft = Quarantine.quarantineLeft(fingerprint());
  if (QuarantineLeft)
    Refusal = RefusalCause::Quarantined;
  return QuarantineLeft.has_value();
}

bool RequestExecution::isTooLateInDrain(Duration ExpectedTime) {
  if (!Dependencies.Drain ||
      endsWithinDrain(*Dependencies.Drain, {Deadline, ExpectedTime},
                      Dependencies.TimeSource.now()))
    return false;
  Refusal = RefusalCause::Draining;
  return true;
}

Duration RequestExecution::expectedTime(const ProbedCandidate &Target) {
  return std::chrono::duration_cast<Duration>(workTime() *
                                              expectedLatencyFactor(Target));
}

// A request that may be sent again waits until it is known whether the target
// has crashed. The caller of another one has its answer already.
Awaitable<void> RequestExecution::recordEvidence(AttemptOutcome Outcome,
                                                 bool IsConnectionLost,
                                                 TargetProcess Process,
                                                 Endpoint Address) {
  const bool IsComplete = Outcome == AttemptOutcome::Answered ||
                          Outcome == AttemptOutcome::TargetError;
  if (IsComplete && Quarantine.hasEvidence())
    Quarantine.onAnswer(fingerprint());
  if (Outcome != AttemptOutcome::Lost || !IsConnectionLost)
    co_return;
  auto Recorded = Quarantine.onConnectionLoss(fingerprint(), std::move(Process),
                                              std::move(Address));
  if (isSafeToRetry(SelectedRoute->Semantics, Outcome))
    co_await std::move(Recorded);
  else
    asio::co_spawn(Dependencies.Context, std::move(Recorded), asio::detached);
}

HttpResponse RequestExecution::refuseNotRun() {
  returnToken();
  if (Invalidity)
    return refuse(Invalidity->Status, Invalidity->Reason,
                  Invalidity->RetryAfter);
  if (Dependencies.Domains != nullptr && Refusal == RefusalCause::Overloaded)
    Dependencies.Domains->recordRefusal(Service, DomainChoice);
  if (QuarantineLeft)
    return refuse(http::status::service_unavailable, refusalCauseName(Refusal),
                  QuarantineLeft);
  const CandidateList Listed =
      Dependencies.CurrentState.candidates(Service, Dependencies.HostDomain);
  const TimePoint Now = Dependencies.TimeSource.now();
  RefusalInput Input;
  Input.Cause = Refusal;
  Input.HasCandidates = !Listed.Targets.empty();
  if (Listed.EarliestPauseEnd)
    Input.UntilPauseEnd = *Listed.EarliestPauseEnd - Now;
  if (Listed.EarliestColdRoom)
    Input.UntilColdRoom = *Listed.EarliestColdRoom - Now;
  if (Listed.EarliestLimitRoom)
    Input.UntilLimitRoom = *Listed.EarliestLimitRoom - Now;
  Input.ExpectedTime = workTime();
  Input.TimeLeft = Deadline - Now;
  Input.ComesBack = !HasCallerLeft;
  const auto Decided = decideRefusal(
      Input, Dependencies.CurrentState.serviceStats(Service).Returns, Now,
      Dependencies.Generator);
  Refusal = Decided.Cause;
  return refuse(http::status::service_unavailable,
                HasCallerLeft ? "caller_left" : refusalCauseName(Refusal),
                Decided.RetryAfter);
}

bool RequestExecution::mayBeginAttempt() {
  if (AttemptCount == 0 ||
      spendExtraAttempt(
          Dependencies.CurrentState.serviceStats(Service).RetryCounts,
          Dependencies.RetryPolicy, Dependencies.BudgetHostCount(),
          Dependencies.TimeSource.now()))
    return true;
  ++Dependencies.ProcessMetrics.counter("retries_refused_total");
  Refusal = RefusalCause::RetryBudget;
  return false;
}

std::vector<TargetCandidate> RequestExecution::usableCandidates() {
  CandidateList Listed =
      Dependencies.CurrentState.candidates(Service, Dependencies.HostDomain);
  std::vector<TargetCandidate> &Candidates = Listed.Targets;
  applySemantics(Candidates, SelectedRoute->Semantics);
  std::erase_if(Candidates, [&](const TargetCandidate &Candidate) {
    return TriedTargets.contains(Candidate.Id);
  });
  if (Dependencies.Domains != nullptr)
    Dependencies.Domains->restrict(Service, DomainChoice, Candidates);
  HasCandidates = !Candidates.empty();
  PauseEndsAt = HasCandidates ? std::nullopt : Listed.EarliestPauseEnd;
  return std::move(Candidates);
}

Awaitable<std::vector<ConnectedTarget>>
RequestExecution::probe(const std::vector<ConnectedTarget> &Found,
                        ProbeDemand Demand) {
  auto Candidates = usableCandidates();
  std::erase_if(Candidates, [&](const TargetCandidate &Candidate) {
    return std::any_of(Found.begin(), Found.end(),
                       [&](const ConnectedTarget &Target) {
                         return Target.Candidate.Target.Id == Candidate.Id;
                       });
  });
  if (HealthPath.empty())
    co_return co_await connectWithoutProbe(Found, std::move(Candidates));
  const std::size_t Allowed = acquireProbes(Demand, Candidates.size());
  if (Allowed == 0)
    co_return std::vector<ConnectedTarget>{};
  const auto &Registered = Dependencies.CurrentState.targets().Targets;
  for (TargetCandidate &Candidate : Candidates)
    Candidate.HasIdleConnection = Dependencies.Pool.hasIdle(
        Registered.at(Candidate.Id).Registration.Address);
  co_return co_await Prober.run(
      selectProbeCandidates(std::move(Candidates), Allowed,
                            Dependencies.Generator, DomainChoice.Factors),
      Service, HealthPath, IdDigest, Deadline);
}

std::optional<std::size_t>
RequestExecution::selectFound(const std::vector<ProbedCandidate> &Probed) {
  if (Dependencies.Domains == nullptr)
    return selectTarget(Probed, DomainChoice.Factors);
  const LeavingRequest Leaving{static_cast<double>(Request.body().size()),
                               Dependencies.TimeSource.now() - ReceivedAt,
                               SelectedRoute->LatencyObjective, workTime()};
  return Dependencies.Domains->select(Service, *SelectedRoute, Leaving, Probed,
                                      DomainChoice);
}

// Any path but the health path is a request to the target.
Awaitable<std::vector<ConnectedTarget>>
RequestExecution::connectWithoutProbe(const std::vector<ConnectedTarget> &Found,
                                      std::vector<TargetCandidate> Candidates) {
  std::vector<ConnectedTarget> Connected;
  std::erase_if(Candidates, needsProbe);
  if (!Found.empty() || Candidates.empty())
    co_return Connected;
  auto Chosen = selectProbeCandidates(
      std::move(Candidates), 1, Dependencies.Generator, DomainChoice.Factors);
  if (auto Target = co_await Prober.connect(Chosen.front(), Service))
    Connected.push_back(std::move(*Target));
  co_return Connected;
}

std::size_t RequestExecution::acquireProbes(const ProbeDemand &Demand,
                                            std::size_t Candidates) {
  const ProbeRatePolicy Policy{
      Dependencies.ProbesPerTargetPerSecond,
      Dependencies.CurrentState.targets().Targets.size(),
      Dependencies.BudgetHostCount()};
  return acquireProbeTokens(Dependencies.ProbeTokens, Policy,
                            limitDemand(Demand, Candidates),
                            Dependencies.TimeSource.now());
}

Awaitable<std::optional<ConnectedTarget>> RequestExecution::findTarget() {
  bool IsFirstPass = !IsSelectionRepeated;
  PlaceInOrder Place(Dependencies.CurrentState.serviceStats(Service).Waiting,
                     searchingRequest());
  while (co_await waitForTurn(Place)) {
    std::vector<ConnectedTarget> Found;
    std::vector<ProbedCandidate> Probed;
    std::optional<std::size_t> Best;
    for (ProbeDemand Demand : ProbesByRound) {
      // Only the first pass may probe on credit. Otherwise requests that
      // repeat the selection under overload would exceed the probe rate limit.
      if (!IsFirstPass)
        Demand.Minimum = 0;
      auto More = co_await probe(Found, Demand);
      for (ConnectedTarget &Target : More) {
        Probed.push_back(Target.Candidate);
        Found.push_back(std::move(Target));
      }
      Best = selectFound(Probed);
      if (!Best && Dependencies.CurrentState.reachability().isCutOff() &&
          mayRelay()) {
        Refusal = RefusalCause::CutOff;
        co_return std::nullopt;
      }
      if (HasCallerLeft || (Best && isGoodEnough(Probed[*Best])))
        break;
    }
    if (Found.empty() && !HasCallerLeft)
      if (auto Cached = co_await findTargetFromCachedLoad())
        co_return Cached;
    if (Found.empty() && PauseEndsAt && !HasCallerLeft) {
      const bool MayGoOn = co_await waitForPauseEnd();
      if (!MayGoOn)
        co_return std::nullopt;
      continue;
    }
    const AdmissionDecision Decision =
        admit(Best ? &Probed[*Best] : nullptr, IsFirstPass);
    std::optional<ConnectedTarget> Picked;
    for (std::size_t Index = 0; Index < Found.size(); ++Index)
      if (Decision == AdmissionDecision::Dispatch && Index == *Best)
        Picked = std::move(Found[Index]);
      else
        Prober.release(std::move(Found[Index]));
    if (Decision != AdmissionDecision::RetrySelection)
      co_return Picked;
    IsFirstPass = false;
    Place.recordFruitless(Best && hasFreeSlot(Probed[*Best].Load),
                          Dependencies.TimeSource.now());
  }
  co_return std::nullopt;
}

AccountName RequestExecution::accountName() const {
  return Account == nullptr ? AccountName() : Account->Name;
}

SearchingRequest RequestExecution::searchingRequest() {
  SearchingRequest Made;
  Made.Priority = effectivePriority(*SelectedRoute, Account);
  Made.RoutePriority = SelectedRoute->Priority;
  Made.Account = accountName();
  Made.ArrivedAt = ReceivedAt;
  Made.ObjectiveAt = ReceivedAt + SelectedRoute->LatencyObjective;
  Made.Deadline = Deadline;
  Made.SearchEndsAt =
      ReceivedAt +
      maximumSearchTime(SelectedRoute->LatencyObjective, Made.Priority);
  Made.ExpectedTime = workTime();
  return Made;
}

Awaitable<bool> RequestExecution::waitForTurn(PlaceInOrder &Place) {
  while (!HasCallerLeft && !isTooLateInDrain(workTime())) {
    const RoundDecision Decision = Place.decide(Dependencies.TimeSource.now());
    if (Decision.Turn == RoundTurn::TakePart)
      co_return true;
    if (Decision.Turn == RoundTurn::Leave) {
      Refusal = RefusalCause::Overloaded;
      co_return false;
    }
    SelectionTimer.expires_at(Decision.AskAgainAt);
    if (Dependencies.Domains != nullptr)
      Dependencies.Domains->beginWait(Service);
    co_await SelectionTimer.async_wait(UseTuple);
    if (Dependencies.Domains != nullptr)
      Dependencies.Domains->endWait(Service);
  }
  co_return false;
}

Awaitable<std::optional<ConnectedTarget>>
RequestExecution::findTargetFromCachedLoad() {
  // A request that stays uses another domain only after a probe.
  DomainChoice.MayUseNeighbors = false;
  auto Candidates = usableCandidates();
  std::erase_if(Candidates, needsProbe);
  const auto Index = selectFromCachedLoad(Candidates, Dependencies.Generator);
  if (!Index)
    co_return std::nullopt;
  ++Dependencies.ProcessMetrics.counter("placements_without_probe_total");
  co_return co_await Prober.connect(Candidates[*Index], Service);
}

Awaitable<bool> RequestExecution::waitForPauseEnd() {
  const TimePoint Now = Dependencies.TimeSource.now();
  PauseWaitInput Input;
  Input.UntilPauseEnd = *PauseEndsAt - Now;
  Input.ExpectedTime = workTime();
  Input.Waited = Now - ReceivedAt;
  Input.LatencyObjective = SelectedRoute->LatencyObjective;
  Input.TimeLeft = Deadline - Now;
  Input.HasWaitedForPause = HasWaitedForPause;
  const auto Wait = pauseWait(Input, Dependencies.Generator);
  if (!Wait) {
    Refusal = RefusalCause::Paused;
    co_return false;
  }
  if (!HasWaitedForPause)
    ++Dependencies.ProcessMetrics.counter("requests_held_for_pause_total");
  HasWaitedForPause = true;
  const TimePoint PauseEnd = *PauseEndsAt;
  const TimePoint WaitEnd = Now + *Wait;
  while (!HasCallerLeft && !isTooLateInDrain(workTime()) &&
         Dependencies.TimeSource.now() < WaitEnd) {
    SelectionTimer.expires_at(
        std::min(WaitEnd, Dependencies.TimeSource.now() + HeldCheckInterval));
    co_await SelectionTimer.async_wait(UseTuple);
    // After the pause the rest of the wait keeps requests from being sent at
    // the same moment.
    if (Dependencies.TimeSource.now() < PauseEnd && !usableCandidates().empty())
      break;
  }
  co_return !HasCallerLeft;
}

AdmissionDecision RequestExecution::admit(const ProbedCandidate *Best,
                                          bool IsFirstPass) {
  if (Best == nullptr && (IsFirstPass || !HasCandidates)) {
    Refusal = RefusalCause::NoTarget;
    return AdmissionDecision::Refuse;
  }
  Refusal = RefusalCause::Overloaded;
  const TimePoint Now = Dependencies.TimeSource.now();
  AdmissionInput Input;
  // Without a probe result in this pass, no free slot is assumed.
  Input.ExpectedTime = workTime();
  if (Best != nullptr) {
    Input.ExpectedTime = expectedTime(*Best);
    Input.HasFreeSlot = hasFreeSlot(Best->Load);
  }
  Input.Waited = Now - ReceivedAt;
  Input.LatencyObjective = SelectedRoute->LatencyObjective;
  Input.TimeLeft = Deadline - Now;
  Input.Priority =
      searchPriority(*Dependencies.CurrentState.serviceStats(Service).Waiting,
                     accountName(), effectivePriority(*SelectedRoute, Account));
  return decideAdmission(Input);
}

Awaitable<RequestExecution::AttemptReport>
RequestExecution::attempt(ConnectedTarget Target) {
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TargetId Id = Target.Candidate.Target.Id;
  const TargetProcess Process = processOf(Target.Candidate.Target);
  ++AttemptCount;
  TriedTargets.insert(Id);
  std::string_view LeftBy;
  if (Dependencies.Domains != nullptr)
    LeftBy = Dependencies.Domains->recordAttempt(
        Service, Target.Candidate.Target, DomainChoice, Request.body().size());
  ActiveConnection = std::move(Target.Connection);
  Dependencies.CurrentState.beginAttempt(Process);
  recordReceived(*Dependencies.CurrentState.serviceStats(Service).Waiting,
                 accountName(), workTime(), Begin);
  ActiveConnection->recordCarried(IdDigest);
  // Of the last response that was read, which is the answer if there is one.
  TargetSignals Signals;
  const auto RecordSignals = [&](const HttpResponse &Response) {
    Signals = platform::decodeTargetSignals(Response);
    Dependencies.CurrentState.recordSignals(Process, Target.Address, Signals,
                                            SignalSource::Answer);
  };
  // The body is lent to the attempt, because it may be large.
  std::optional<AccountName> ForwardedAccount;
  if (CurrentConfiguration->Accounts)
    ForwardedAccount = accountName();
  HttpRequest Sent =
      platform::encodeAttempt(Request, std::move(Request.body()), Id,
                              Deadline - Begin, ForwardedAccount);
  auto Answer = co_await ActiveConnection->exchange(
      Sent, answerLimits(), Deadline, [&](const HttpResponse &Response) {
        RecordSignals(Response);
        return platform::matchAnswer(Response, Metadata.Id);
      });
  Request.body() = std::move(Sent.body());
  if (!Answer && Answer.error().IncompleteResponse)
    RecordSignals(*Answer.error().IncompleteResponse);
  Dependencies.CurrentState.endAttempt(Process);
  const Duration Elapsed = Dependencies.TimeSource.now() - Begin;

  AttemptReport Report;
  bool HasAskedForPause = false;
  bool IsConnectionLost = false;
  if (Answer) {
    Dependencies.CurrentState.reachability().recordAnswer();
    HeldAnswer.hold(Answer.value().body().size());
    if (Dependencies.Domains != nullptr)
      Dependencies.Domains->recordAnswer(Service, *SelectedRoute,
                                         Answer.value().body().size());
    const TargetAnswer Read = platform::decodeAnswer(Answer.value());
    if (Read.IsMisdirected)
      Dependencies.CurrentState.withdrawAttempt(Process, Begin);
    Report.Outcome = classifyAnswer(Read);
    // A target that pauses has not failed.
    HasAskedForPause =
        Report.Outcome != AttemptOutcome::Answered && asksForPause(Signals, Id);
    if (!Signals.RateLimit && (Report.Outcome == AttemptOutcome::Answered ||
                               Report.Outcome == AttemptOutcome::TargetError))
      Dependencies.CurrentState.recordUnlimited(Process, SignalSource::Answer,
                                                Begin);
    if (Read.Load && !Read.IsMisdirected)
      Dependencies.CurrentState.recordLoad(Id, *Read.Load);
    Report.Answer = std::move(Answer.value());
    Dependencies.Pool.release(Target.Address, std::move(ActiveConnection));
  } else if (HasCallerLeft) {
    Report.Outcome = AttemptOutcome::Cancelled;
  } else if (Answer.error().Progress == WriteProgress::NothingWritten) {
    Report.Outcome = AttemptOutcome::NotRun;
  } else {
    IsConnectionLost = Answer.error().Cause.Kind == ErrorKind::ConnectionLost;
    Report.Outcome = Answer.error().Cause.Kind == ErrorKind::TimedOut
                         ? AttemptOutcome::TimedOut
                         : AttemptOutcome::Lost;
  }
  ActiveConnection.reset();
  // A target that is left out for its pause may be tried again after it.
  if (HasAskedForPause && !Dependencies.CurrentState.mayUse(Process))
    TriedTargets.erase(Id);
  if (Report.Outcome == AttemptOutcome::Answered) {
    Dependencies.CurrentState.recordSuccess(Id);
    Dependencies.CurrentState.recordAnswer(Process, Begin);
    const auto Work = std::chrono::duration_cast<Duration>(
        Elapsed / std::max(expectedLatencyFactor(Target.Candidate), 0.5));
    ServiceStats &Stats = Dependencies.CurrentState.serviceStats(Service);
    recordWorkTime(Stats.Times, *SelectedRoute, Work, Begin + Elapsed);
    recordCompletion(Stats.Returns, Begin + Elapsed);
  } else if (Report.Outcome != AttemptOutcome::NotRun &&
             Report.Outcome != AttemptOutcome::Cancelled && !HasAskedForPause) {
    Dependencies.CurrentState.recordFailure(Id, TargetFailure::Attempt);
  }
  LogLine Line("attempt");
  Line.field("request", Metadata.Id.Value)
      .field("number", AttemptCount)
      .field("target", Id.Value)
      .field("in_flight", Target.Candidate.Load.InFlight)
      .field("queued", Target.Candidate.Load.Queued)
      .field("slowdown_percent",
             static_cast<std::uint64_t>(Target.Candidate.Load.Slowdown * 100))
      .field("outcome", attemptOutcomeName(Report.Outcome))
      .field("ms", milliseconds(Elapsed));
  if (!LeftBy.empty())
    Line.field("left_domain_by", LeftBy);
  if (Report.Outcome == AttemptOutcome::Answered)
    Dependencies.Events.write(LogLevel::Info, "attempt", Line);
  else
    Dependencies.Events.writeAlways(LogLevel::Info, Line);
  co_await recordEvidence(Report.Outcome, IsConnectionLost, Process,
                          Target.Address);
  co_return Report;
}

HttpResponse RequestExecution::answerFor(AttemptReport Last) {
  const bool IsTargetAnswer = Last.Outcome == AttemptOutcome::Answered ||
                              Last.Outcome == AttemptOutcome::TargetError;
  if (IsTargetAnswer && Last.Answer) {
    HttpResponse Answer = platform::encodeAnswer(std::move(*Last.Answer));
    logRequestEnd(Answer.result_int(), attemptOutcomeName(Last.Outcome));
    return Answer;
  }
  return refuse(Last.Outcome == AttemptOutcome::TimedOut
                    ? http::status::gateway_timeout
                    : http::status::bad_gateway,
                attemptOutcomeName(Last.Outcome), std::nullopt);
}

HttpResponse RequestExecution::refuse(http::status Status,
                                      std::string_view Reason,
                                      std::optional<Duration> RetryAfter) {
  HttpResponse Answer =
      platform::encodeLocalReply(Status, Metadata.Id, Reason, RetryAfter);
  if (Metadata.Relayed && Status == http::status::service_unavailable &&
      isRefusalOfHost(Reason, Dependencies.CurrentState.reachability()))
    platform::markRelayRefused(Answer);
  logRequestEnd(Answer.result_int(), Reason);
  return Answer;
}

Duration RequestExecution::workTime() {
  return expectedWorkTime(Dependencies.CurrentState.serviceStats(Service).Times,
                          *SelectedRoute, Dependencies.TimeSource.now());
}

void RequestExecution::logRequestEnd(unsigned Status,
                                     std::string_view Reason) const {
  const Duration Elapsed = Dependencies.TimeSource.now() - ReceivedAt;
  ++Dependencies.ProcessMetrics.counter("requests_total{reason=\"" +
                                        std::string(Reason) + "\"}");
  Dependencies.ProcessMetrics.recordDuration("request_seconds", Elapsed);
  LogLine Line("request_end");
  Line.field("request", Metadata.Id.Value)
      .field("service", Service.Value)
      .field("route", SelectedRoute == nullptr
                          ? std::string_view("")
                          : std::string_view(SelectedRoute->Name))
      .field("account", accountName().Value)
      .field("configuration",
             CurrentConfiguration ? CurrentConfiguration->Version.Value : 0)
      .field("status", std::uint64_t{Status})
      .field("reason", Reason)
      .field("attempts", AttemptCount)
      .field("ms", milliseconds(Elapsed));
  if (Status < 300)
    Dependencies.Events.write(LogLevel::Info, "request_end", Line);
  else
    Dependencies.Events.writeAlways(LogLevel::Info, Line);
}

} // namespace comfreyrill
