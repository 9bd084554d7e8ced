
#include "RequestExecution.h"

#include <LibGateway/RouteTable.h>
#include <platform/HttpCodec.h>

#include <algorithm>
#include <array>

namespace comfreyrill {

namespace {

// Probes for one request, in rounds that end when a target is found idle and at
// its usual speed. The first one also checks the connection before the request
// is put at risk on it.
constexpr std::array<ProbeDemand, 2> ProbesByRound{{{1, 3, 5}, {0, 5, 6}}};
// A host without a configuration has one within a second of reaching the store.
constexpr Duration RetryWithoutConfiguration = std::chrono::milliseconds(300);
// Weight of one answer in the mean work time of a service.
constexpr double WorkTimeWeight = 0.05;
constexpr std::uint64_t AnswerBytesMaximum = std::uint64_t{8} * 1024 * 1024;
// Used when the caller does not say how long it will wait.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(10);

HttpLimits answerLimits() {
  HttpLimits Limits;
  Limits.HeaderBytes = 64 * 1024;
  Limits.BodyBytes = AnswerBytesMaximum;
  return Limits;
}

std::uint64_t milliseconds(Duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(Time, Duration::zero()))
          .count());
}

} // namespace

RequestExecution::RequestExecution(const GatewayDependencies &Dependencies,
                                   TargetProbe &Prober, HttpRequest Request)
    : Dependencies(Dependencies), Prober(Prober), Request(std::move(Request)),
      Metadata(platform::decodeRequestMetadata(this->Request)),
      Received(Dependencies.TimeSource.now()) {}

void RequestExecution::cancel() {
  HasCallerLeft = true;
  if (Active)
    Active->cancel();
}

Awaitable<HttpResponse> RequestExecution::run() {
  const auto Self = shared_from_this();
  InForce = Dependencies.Known.configuration();
  if (!InForce)
    co_return refuse(http::status::service_unavailable, "no_configuration",
                     RetryWithoutConfiguration);
  Chosen = findRoute(*InForce, Metadata.Host, Metadata.Path);
  if (Chosen == nullptr)
    co_return refuse(http::status::not_found, "no_route", std::nullopt);
  const ServiceName *Picked = chooseService(*Chosen, Dependencies.Generator);
  if (Picked == nullptr)
    co_return refuse(http::status::service_unavailable, "no_service",
                     RetryWithoutConfiguration);
  Service = *Picked;
  const ServiceDescription *Described = findService(*InForce, Service);
  HealthPath = Described == nullptr ? "/" : Described->HealthPath;
  Deadline = Received + std::min(Metadata.TimeLeft.value_or(DefaultTimeLeft),
                                 Chosen->Timeout);
  recordRequest(Dependencies.Known.service(Service).Retries,
                Dependencies.Retries, Received);
  co_return co_await execute(*Chosen);
}

Awaitable<HttpResponse> RequestExecution::execute(const Route &Matched) {
  // The last attempt that may have run. Once there is one, the caller must not
  // be told that the request has not run.
  std::optional<AttemptReport> MayHaveRun;
  AttemptOutcome Last = AttemptOutcome::NotRun;
  while (!HasCallerLeft && Attempts < Matched.AttemptsMaximum &&
         isSafeToRetry(Matched.Semantics, Last)) {
    auto Target = co_await findTarget();
    if (!Target)
      break;
    if (HasCallerLeft || !mayBeginAttempt()) {
      Prober.release(std::move(*Target));
      break;
    }
    AttemptReport Report = co_await attempt(std::move(*Target));
    Last = Report.Outcome;
    if (Last != AttemptOutcome::NotRun)
      MayHaveRun = std::move(Report);
  }
  if (MayHaveRun)
    co_return answerFor(std::move(*MayHaveRun));
  co_return refuse(http::status::service_unavailable,
                   HasCallerLeft ? "caller_left" : refusalCauseName(Refusal),
                   retryAfter(Refusal, workTime(), Dependencies.Generator));
}

bool RequestExecution::mayBeginAttempt() {
  if (Attempts == 0 ||
      spendExtraAttempt(Dependencies.Known.service(Service).Retries,
                        Dependencies.Retries, Dependencies.Hosts(),
                        Dependencies.TimeSource.now()))
    return true;
  ++Dependencies.ProcessMetrics.counter("retries_refused_total");
  Refusal = RefusalCause::RetryBudget;
  return false;
}

std::vector<TargetCandidate> RequestExecution::usableCandidates() {
  auto Candidates =
      Dependencies.Known.candidates(Service, Dependencies.HostDomain);
  if (Chosen->Semantics == ExecutionSemantics::AtMostOnce)
    for (TargetCandidate &Candidate : Candidates)
      Candidate.IsSuspect = Candidate.IsSuspect || Candidate.IsOnProbation;
  std::erase_if(Candidates, [&](const TargetCandidate &Candidate) {
    return Tried.contains(Candidate.Id);
  });
  return Candidates;
}

Awaitable<std::vector<FoundTarget>>
RequestExecution::probe(const std::vector<FoundTarget> &Found,
                        ProbeDemand Demand) {
  auto Candidates = usableCandidates();
  std::erase_if(Candidates, [&](const TargetCandidate &Candidate) {
    return std::any_of(Found.begin(), Found.end(),
                       [&](const FoundTarget &Target) {
                         return Target.Candidate.Target.Id == Candidate.Id;
                       });
  });
  const std::size_t Allowed = acquireProbes(Demand, Candidates.size());
  if (Allowed == 0)
    co_return std::vector<FoundTarget>{};
  co_return co_await Prober.run(selectProbeCandidates(std::move(Candidates),
                                                      Allowed,
                                                      Dependencies.Generator),
                                Service, HealthPath, Deadline);
}

std::size_t RequestExecution::acquireProbes(ProbeDemand Demand,
                                            std::size_t Candidates) {
  const ProbeRatePolicy Policy{Dependencies.ProbesPerTarget,
                               Dependencies.Known.targets().Targets.size(),
                               Dependencies.Hosts()};
  for (std::size_t *Count : {&Demand.Minimum, &Demand.Regular, &Demand.Maximum})
    *Count = std::min(*Count, Candidates);
  return acquireProbeTokens(Dependencies.Probes, Policy, Demand,
                            Dependencies.TimeSource.now());
}

Awaitable<std::optional<FoundTarget>> RequestExecution::findTarget() {
  for (bool IsFirstLook = true; !HasCallerLeft; IsFirstLook = false) {
    std::vector<FoundTarget> Found;
    std::vector<ProbedCandidate> Probed;
    std::optional<std::size_t> Best;
    for (ProbeDemand Demand : ProbesByRound) {
      // Only the first look probes on credit; otherwise requests that look
      // again under overload would exceed the agreed rate of probes.
      if (!IsFirstLook)
        Demand.Minimum = 0;
      auto More = co_await probe(Found, Demand);
      for (FoundTarget &Target : More) {
        Probed.push_back(Target.Candidate);
        Found.push_back(std::move(Target));
      }
      Best = selectTarget(Probed);
      if (HasCallerLeft || (Best && isGoodEnough(Probed[*Best])))
        break;
    }
    if (Found.empty() && !HasCallerLeft)
      if (auto Remembered = co_await findRememberedTarget())
        co_return Remembered;
    const AdmissionDecision Decision =
        admit(Best ? &Probed[*Best] : nullptr, IsFirstLook);
    std::optional<FoundTarget> Picked;
    for (std::size_t Index = 0; Index < Found.size(); ++Index)
      if (Decision == AdmissionDecision::Dispatch && Index == *Best)
        Picked = std::move(Found[Index]);
      else
        Prober.release(std::move(Found[Index]));
    if (Decision != AdmissionDecision::RetrySelection)
      co_return Picked;
    Timer Pause(Dependencies.Context);
    Pause.expires_after(SelectionRetryInterval);
    co_await Pause.async_wait(UseTuple);
  }
  co_return std::nullopt;
}

Awaitable<std::optional<FoundTarget>> RequestExecution::findRememberedTarget() {
  const auto Candidates = usableCandidates();
  const auto Index = selectFromCachedLoad(Candidates, Dependencies.Generator);
  if (!Index)
    co_return std::nullopt;
  ++Dependencies.ProcessMetrics.counter("placements_without_probe_total");
  co_return co_await Prober.connect(Candidates[*Index]);
}

AdmissionDecision RequestExecution::admit(const ProbedCandidate *Best,
                                          bool IsFirstLook) {
  if (Best == nullptr && IsFirstLook) {
    Refusal = RefusalCause::NoTarget;
    return AdmissionDecision::Refuse;
  }
  Refusal = RefusalCause::Overloaded;
  const TimePoint Now = Dependencies.TimeSource.now();
  AdmissionInput Input;
  // Without a probe in this look, no slot is known to be free.
  Input.ExpectedTime = workTime();
  if (Best != nullptr) {
    Input.ExpectedTime = std::chrono::duration_cast<Duration>(
        workTime() * expectedLatencyFactor(*Best));
    Input.HasFreeSlot = hasFreeSlot(Best->Load);
  }
  Input.Waited = Now - Received;
  Input.LatencyObjective = Chosen->LatencyObjective;
  Input.TimeLeft = Deadline - Now;
  Input.Priority = Chosen->Priority;
  return decideAdmission(Input);
}

Awaitable<RequestExecution::AttemptReport>
RequestExecution::attempt(FoundTarget Target) {
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TargetId Id = Target.Candidate.Target.Id;
  ++Attempts;
  Tried.insert(Id);
  Active = std::move(Target.Connection);
  ++Dependencies.Known.experience(Id).InFlight;
  auto Answer = co_await Active->exchange(
      platform::encodeAttempt(Request, Id, Deadline - Begin), answerLimits(),
      Deadline, [this](const HttpResponse &Response) {
        return platform::answersRequest(Response, Metadata.Id);
      });
  --Dependencies.Known.experience(Id).InFlight;
  const Duration Elapsed = Dependencies.TimeSource.now() - Begin;

  AttemptReport Report;
  if (Answer) {
    const TargetAnswer Read = platform::decodeAnswer(Answer.value());
    Report.Outcome = classifyAnswer(Read);
    if (Read.Load && !Read.IsMisdirected)
      Dependencies.Known.recordLoad(Id, *Read.Load);
    Report.Answer = std::move(Answer.value());
    Dependencies.Pool.release(Target.Address, std::move(Active));
  } else if (HasCallerLeft) {
    Report.Outcome = AttemptOutcome::Cancelled;
  } else if (Answer.error().Progress == WriteProgress::NothingWritten) {
    Report.Outcome = AttemptOutcome::NotRun;
  } else {
    Report.Outcome = Answer.error().Cause.Kind == ErrorKind::TimedOut
                         ? AttemptOutcome::TimedOut
                         : AttemptOutcome::Lost;
  }
  Active.reset();
  if (Report.Outcome == AttemptOutcome::Answered) {
    Dependencies.Known.recordSuccess(Id);
    ServiceExperience &Seen = Dependencies.Known.service(Service);
    const auto Work = std::chrono::duration_cast<Duration>(
        Elapsed / std::max(expectedLatencyFactor(Target.Candidate), 0.5));
    Seen.WorkTime += std::chrono::duration_cast<Duration>(
        (Work - Seen.WorkTime) * WorkTimeWeight);
  } else if (Report.Outcome != AttemptOutcome::NotRun &&
             Report.Outcome != AttemptOutcome::Cancelled) {
    Dependencies.Known.recordFailure(Id, TargetFailure::Attempt);
  }
  LogLine Line("attempt");
  Line.field("request", Metadata.Id.Value)
      .field("number", Attempts)
      .field("target", Id.Value)
      .field("in_flight", Target.Candidate.Load.InFlight)
      .field("queued", Target.Candidate.Load.Queued)
      .field("slowdown_percent",
             static_cast<std::uint64_t>(Target.Candidate.Load.Slowdown * 100))
      .field("outcome", attemptOutcomeName(Report.Outcome))
      .field("ms", milliseconds(Elapsed));
  if (Report.Outcome == AttemptOutcome::Answered)
    Dependencies.Events.write(LogLevel::Info, "attempt", Line);
  else
    Dependencies.Events.writeAlways(LogLevel::Info, Line);
  co_return Report;
}

HttpResponse RequestExecution::answerFor(AttemptReport Last) {
  const bool IsTargetsOwn = Last.Outcome == AttemptOutcome::Answered ||
                            Last.Outcome == AttemptOutcome::TargetError;
  if (IsTargetsOwn && Last.Answer) {
    HttpResponse Answer = platform::encodeAnswer(std::move(*Last.Answer));
    logEnd(Answer.result_int(), attemptOutcomeName(Last.Outcome));
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
  logEnd(Answer.result_int(), Reason);
  return Answer;
}

Duration RequestExecution::workTime() {
  return Dependencies.Known.service(Service).WorkTime;
}

void RequestExecution::logEnd(unsigned Status, std::string_view Reason) const {
  const Duration Elapsed = Dependencies.TimeSource.now() - Received;
  ++Dependencies.ProcessMetrics.counter("requests_total{reason=\"" +
                                        std::string(Reason) + "\"}");
  Dependencies.ProcessMetrics.addTime("request_seconds", Elapsed);
  LogLine Line("request_end");
  Line.field("request", Metadata.Id.Value)
      .field("service", Service.Value)
      .field("route", Chosen == nullptr ? std::string_view("")
                                        : std::string_view(Chosen->Name))
      .field("configuration", InForce ? InForce->Version.Value : 0)
      .field("status", std::uint64_t{Status})
      .field("reason", Reason)
      .field("attempts", Attempts)
      .field("ms", milliseconds(Elapsed));
  if (Status < 300)
    Dependencies.Events.write(LogLevel::Info, "request_end", Line);
  else
    Dependencies.Events.writeAlways(LogLevel::Info, Line);
}

} // namespace comfreyrill
