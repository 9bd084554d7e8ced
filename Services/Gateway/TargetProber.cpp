#include "TargetProber.h"

#include <platform/HttpCodec.h>

namespace comfreyrill {

namespace {

// Time from the start of a round during which further answers are awaited once
// one target has answered. Targets answer probes within a few milliseconds, and
// waiting longer would delay the request more than a better target could save.
constexpr Duration GatherWindow = std::chrono::milliseconds(8);
// Probes without an answer after this time have failed.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(250);
constexpr std::uint64_t AnswerBytesMaximum = std::uint64_t{64} * 1024;

HttpLimits probeLimits() {
  HttpLimits Limits;
  Limits.BodyBytes = AnswerBytesMaximum;
  return Limits;
}

} // namespace

TargetProcess processOf(const TargetCandidate &Candidate) {
  return {Candidate.Id, Candidate.StartedAtMilliseconds};
}

struct TargetProber::ProbeRound {
  explicit ProbeRound(const Executor &Context) : Progress(Context) {}

  ServiceName Service;
  std::string HealthPath;
  RequestDigest Request = 0;
  std::vector<ConnectedTarget> Answered;
  std::size_t Pending = 0;
  bool IsClosed = false;
  Timer Progress;
};

TargetProber::TargetProber(const GatewayDependencies &Dependencies)
    : Dependencies(Dependencies) {}

Awaitable<std::vector<ConnectedTarget>>
TargetProber::run(std::vector<TargetCandidate> Candidates, ServiceName Service,
                  std::string HealthPath, RequestDigest Request,
                  TimePoint Deadline) {
  const auto Current = std::make_shared<ProbeRound>(Dependencies.Context);
  Current->Service = std::move(Service);
  Current->HealthPath = std::move(HealthPath);
  Current->Request = Request;
  Current->Pending = Candidates.size();
  for (TargetCandidate &Candidate : Candidates)
    asio::co_spawn(Dependencies.Context,
                   probeTarget(Current, std::move(Candidate)), asio::detached);
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TimePoint GiveUpAt = std::min(Deadline, Begin + ProbeTimeout);
  while (Current->Pending > 0) {
    const TimePoint Now = Dependencies.TimeSource.now();
    const TimePoint Until =
        Current->Answered.empty() ? GiveUpAt : Begin + GatherWindow;
    if (Now >= Until)
      break;
    Current->Progress.expires_at(Until);
    co_await Current->Progress.async_wait(UseTuple);
  }
  Current->IsClosed = true;
  co_return std::move(Current->Answered);
}

// The target may leave or pause between its selection and the probe, and while
// the connection is made. Its answer counts also when it belongs to another
// request, breaks off in its body or arrives after the round.
Awaitable<void> TargetProber::probeTarget(std::shared_ptr<ProbeRound> Current,
                                          TargetCandidate Candidate) {
  GatewayState &CurrentState = Dependencies.CurrentState;
  const TargetProcess Process = processOf(Candidate);
  if (!CurrentState.mayUseFor(Current->Service, Process)) {
    finishProbe(*Current);
    co_return;
  }
  const Endpoint Address =
      CurrentState.targets().Targets.at(Candidate.Id).Registration.Address;
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TimePoint Deadline = Begin + ProbeTimeout;

  const bool IsNewConnection = !Dependencies.Pool.hasIdle(Address);
  auto Acquired =
      co_await Dependencies.Pool.acquire(Address, Deadline, Current->Request);
  if (Acquired && !CurrentState.mayUseFor(Current->Service, Process)) {
    Dependencies.Pool.release(Address, std::move(Acquired.value()));
    finishProbe(*Current);
    co_return;
  }
  if (!Acquired)
    CurrentState.reachability().recordConnectionFailure(Candidate.Id, Begin);
  else if (IsNewConnection)
    CurrentState.reachability().recordConnection();
  ++Dependencies.ProcessMetrics.counter("probes_total");
  bool IsConnectionFailure = !Acquired;
  bool IsAnswered = false;
  if (Acquired) {
    auto Connection = std::move(Acquired.value());
    // Of the last response that was read, which is the answer if there is one.
    TargetSignals Signals;
    const auto RecordSignals = [&](const HttpResponse &Response) {
      Signals = platform::decodeTargetSignals(Response);
      CurrentState.recordSignals(Process, Address, Signals,
                                 SignalSource::Probe);
    };
    const TimePoint SentAt = Dependencies.TimeSource.now();
    const auto Answer = co_await Connection->exchange(
        platform::encodeProbe(Address, Candidate.Id, Current->HealthPath),
        probeLimits(), Deadline, [&](const HttpResponse &Response) {
          RecordSignals(Response);
          // A late answer to an earlier probe only misstates the load.
          return platform::matchAnswer(Response, RequestId());
        });
    if (!Answer && Answer.error().IncompleteResponse)
      RecordSignals(*Answer.error().IncompleteResponse);
    if (Answer)
      CurrentState.reachability().recordAnswer();
    else
      CurrentState.reachability().recordSilence(Candidate.Id, SentAt);
    if (Answer) {
      const ProbeAnswer Read = platform::decodeProbeAnswer(Answer.value());
      const bool IsMisdirected =
          Read.IsMisdirected ||
          (!Read.Responder.Value.empty() && Read.Responder != Candidate.Id);
      IsAnswered = true;
      if (!IsMisdirected && !Signals.RateLimit)
        CurrentState.recordUnlimited(Process, SignalSource::Probe, SentAt);
      if (Read.Load && !IsMisdirected)
        CurrentState.recordLoad(Candidate.Id, *Read.Load);
      if (Read.ColdTimeLeft && !IsMisdirected)
        CurrentState.recordCold(Process, *Read.ColdTimeLeft,
                                SignalSource::Probe);
      ConnectedTarget Target{
          {Candidate, Read.Load.value_or(LoadReport{}), Read.IsHealthy},
          Address,
          std::move(Connection)};
      // A misdirected probe means that another target now has this address, and
      // that the process of this registration has ended. It is left out like
      // one that refuses connections, until its registration is gone.
      if (IsMisdirected && CurrentState.mayUse(Process))
        CurrentState.recordFailure(Candidate.Id, TargetFailure::Connection);
      if (!IsMisdirected && !Current->IsClosed &&
          Target.Connection->isReusable())
        Current->Answered.push_back(std::move(Target));
      else
        release(std::move(Target));
    }
  }
  if (!IsAnswered) {
    ++Dependencies.ProcessMetrics.counter("probes_failed_total");
    // The failure is not the target's when the host reaches none.
    if (!CurrentState.reachability().isCutOff())
      CurrentState.recordFailure(Candidate.Id, IsConnectionFailure
                                                   ? TargetFailure::Connection
                                                   : TargetFailure::Probe);
  }
  finishProbe(*Current);
}

void TargetProber::finishProbe(ProbeRound &Current) {
  --Current.Pending;
  if (!Current.IsClosed)
    Current.Progress.cancel();
}

Awaitable<std::optional<ConnectedTarget>>
TargetProber::connect(TargetCandidate Candidate, ServiceName Service) {
  if (!Dependencies.CurrentState.mayUseFor(Service, processOf(Candidate)))
    co_return std::nullopt;
  const Endpoint Address = Dependencies.CurrentState.targets()
                               .Targets.at(Candidate.Id)
                               .Registration.Address;
  const TimePoint Begin = Dependencies.TimeSource.now();
  auto Connected =
      co_await Dependencies.Pool.connect(Address, Begin + ProbeTimeout);
  if (!Connected) {
    Dependencies.CurrentState.reachability().recordConnectionFailure(
        Candidate.Id, Begin);
    Dependencies.CurrentState.recordFailure(Candidate.Id,
                                            TargetFailure::Connection);
    co_return std::nullopt;
  }
  Dependencies.CurrentState.reachability().recordConnection();
  const LoadReport Load = Candidate.LastLoad.value_or(LoadReport{});
  co_return ConnectedTarget{{std::move(Candidate), Load, true},
                            Address,
                            std::move(Connected.value())};
}

void TargetProber::release(ConnectedTarget Unused) {
  Dependencies.Pool.release(Unused.Address, std::move(Unused.Connection));
}

} // namespace comfreyrill
