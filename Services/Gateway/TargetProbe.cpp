
#include "TargetProbe.h"

#include <LibCore/Hash.h>
#include <platform/HttpCodec.h>

namespace comfreyrill {

namespace {

// The health path answers within a few milliseconds; waiting longer for the
// rest would delay the request more than a better choice could save.
constexpr Duration GatherTime = std::chrono::milliseconds(8);
// A target without an answer by then is silent.
constexpr Duration ProbeTime = std::chrono::milliseconds(250);
constexpr std::uint64_t AnswerBytesMaximum = std::uint64_t{64} * 1024;

HttpLimits probeLimits() {
  HttpLimits Limits;
  Limits.BodyBytes = AnswerBytesMaximum;
  return Limits;
}

} // namespace

struct TargetProbe::Round {
  explicit Round(const Executor &Context) : Changed(Context) {}

  ServiceName Service;
  std::string HealthPath;
  std::vector<FoundTarget> Found;
  std::size_t Pending = 0;
  bool IsOver = false;
  Timer Changed;
};

TargetProbe::TargetProbe(const GatewayDependencies &Dependencies)
    : Dependencies(Dependencies) {}

Awaitable<std::vector<FoundTarget>>
TargetProbe::run(std::vector<TargetCandidate> Candidates, ServiceName Service,
                 std::string HealthPath, TimePoint Deadline) {
  const auto Current = std::make_shared<Round>(Dependencies.Context);
  Current->Service = std::move(Service);
  Current->HealthPath = std::move(HealthPath);
  Current->Pending = Candidates.size();
  for (TargetCandidate &Candidate : Candidates)
    asio::co_spawn(Dependencies.Context,
                   probeOne(Current, std::move(Candidate)), asio::detached);
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TimePoint Last = std::min(Deadline, Begin + ProbeTime);
  while (Current->Pending > 0) {
    const TimePoint Now = Dependencies.TimeSource.now();
    const TimePoint Until = Current->Found.empty() ? Last : Begin + GatherTime;
    if (Now >= Until)
      break;
    Current->Changed.expires_at(Until);
    co_await Current->Changed.async_wait(UseTuple);
  }
  Current->IsOver = true;
  co_return std::move(Current->Found);
}

Awaitable<void> TargetProbe::probeOne(std::shared_ptr<Round> Current,
                                      TargetCandidate Candidate) {
  const auto Position = Dependencies.Known.targets().Targets.find(Candidate.Id);
  if (Position == Dependencies.Known.targets().Targets.end()) {
    --Current->Pending;
    co_return;
  }
  const Endpoint Address = Position->second.Registration.Address;
  const TimePoint Deadline = Dependencies.TimeSource.now() + ProbeTime;
  const RequestId Id(hexadecimal(Dependencies.Generator()));
  ++Dependencies.ProcessMetrics.counter("probes_total");

  auto Acquired = co_await Dependencies.Pool.acquire(Address, Deadline);
  bool IsConnectionFailure = !Acquired;
  bool IsAnswered = false;
  if (Acquired) {
    auto Connection = std::move(Acquired.value());
    const auto Answer = co_await Connection->exchange(
        platform::encodeProbe(Address, Current->HealthPath, Id), probeLimits(),
        Deadline, [&Id](const HttpResponse &Response) {
          return platform::answersRequest(Response, Id);
        });
    if (Answer) {
      const ProbeAnswer Read = platform::decodeProbeAnswer(Answer.value());
      const bool IsOther =
          !Read.Responder.Value.empty() && Read.Responder != Candidate.Id;
      IsAnswered = true;
      if (Read.Load && !IsOther)
        Dependencies.Known.recordLoad(Candidate.Id, *Read.Load);
      FoundTarget Target{
          {Candidate, Read.Load.value_or(LoadReport{}), Read.IsHealthy},
          Address,
          std::move(Connection)};
      // The address belongs to another target by now; its entry will follow.
      if (!IsOther && !Current->IsOver && Target.Connection->isReusable())
        Current->Found.push_back(std::move(Target));
      else
        release(std::move(Target));
    }
  }
  --Current->Pending;
  if (!IsAnswered) {
    ++Dependencies.ProcessMetrics.counter("probes_failed_total");
    Dependencies.Known.recordFailure(
        Candidate.Id,
        IsConnectionFailure ? TargetFailure::Connection : TargetFailure::Probe);
  }
  if (!Current->IsOver)
    Current->Changed.cancel();
}

Awaitable<std::optional<FoundTarget>>
TargetProbe::connect(TargetCandidate Candidate) {
  const auto Position = Dependencies.Known.targets().Targets.find(Candidate.Id);
  if (Position == Dependencies.Known.targets().Targets.end())
    co_return std::nullopt;
  const Endpoint Address = Position->second.Registration.Address;
  auto Connected = co_await Dependencies.Pool.connect(
      Address, Dependencies.TimeSource.now() + ProbeTime);
  if (!Connected) {
    Dependencies.Known.recordFailure(Candidate.Id, TargetFailure::Connection);
    co_return std::nullopt;
  }
  const LoadReport Load = Candidate.LastLoad.value_or(LoadReport{});
  co_return FoundTarget{{std::move(Candidate), Load, true},
                        Address,
                        std::move(Connected.value())};
}

void TargetProbe::release(FoundTarget Unused) {
  Dependencies.Pool.release(Unused.Address, std::move(Unused.Connection));
}

} // namespace comfreyrill
