#include "CallService.h"

#include <LibQuarantine/Fingerprint.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Timeout of a call whose service is unknown; such a call is only processed if
// it has a key.
constexpr Duration UnknownServiceTimeout = std::chrono::seconds(5);

/// Releases the admission of a call when the call ends.
class AdmissionGuard {
public:
  AdmissionGuard(HostUsage &Usage, ServiceName Name)
      : Usage(Usage), Name(std::move(Name)) {}
  ~AdmissionGuard() { releaseCall(Usage, Name); }
  AdmissionGuard(const AdmissionGuard &) = delete;
  AdmissionGuard &operator=(const AdmissionGuard &) = delete;

private:
  HostUsage &Usage;
  ServiceName Name;
};

CallResult unknownServiceResult(const ServiceName &Name) {
  return invalidRequestResult(
      http::status::not_found, "unknown_service",
      "the manifest in force has no service " + Name.Value +
          "; correct the name or apply a manifest that has it");
}

CallResult quarantinedResult() {
  return notRunResult("quarantined",
                      "the request crashed the targets that ran it and is "
                      "refused for ten minutes; correct the request or the "
                      "service");
}

std::uint64_t fingerprintOf(const CallRequest &Call,
                            const HttpRequest &Request) {
  return requestFingerprint(Call.Service,
                            std::string_view(Request.method_string()),
                            Call.Path, Request.body());
}

CallResult missingKeyResult() {
  return invalidRequestResult(
      http::status::bad_request, "key_missing",
      "this operation must not run twice; fetch a key from POST /v1/keys and "
      "send it as Idempotency-Key");
}

} // namespace

CallService::CallService(const DaemonDependencies &Dependencies,
                         KeyedCalls &Keys, QuarantineService &Quarantine,
                         Prober &Probes, std::string IdPrefix)
    : Dependencies(Dependencies), Keys(Keys), Quarantine(Quarantine),
      Probes(Probes), IdPrefix(std::move(IdPrefix)) {}

RequestId CallService::nextId() {
  return RequestId(IdPrefix + std::to_string(++IdCount));
}

Awaitable<HttpResponse>
CallService::handle(HttpRequest Request,
                    std::shared_ptr<Disconnect> CallerLeft) {
  ++Active;
  const RequestId Id = nextId();
  CallResult Result =
      co_await execute(std::move(Request), Id, std::move(CallerLeft));
  --Active;
  co_return toResponse(std::move(Result), Id);
}

Awaitable<CallResult>
CallService::execute(HttpRequest Request, RequestId Id,
                     std::shared_ptr<Disconnect> CallerLeft) {
  auto Parsed = parseCallRequest(Request);
  if (!Parsed)
    co_return invalidRequestResult(http::status::bad_request, "faulty_request",
                                   Parsed.error().Message);
  CallRequest Call = std::move(Parsed.value());
  const auto Runtime = Dependencies.Services.find(Call.Service);
  const TimePoint Begin = Dependencies.TimeSource.now();
  const ServiceName Name = Call.Service;
  if (!Runtime && !Call.Key)
    co_return unknownServiceResult(Name);

  Duration Timeout = Call.Timeout.value_or(UnknownServiceTimeout);
  bool Idempotent = false;
  if (Runtime) {
    const ServiceConfig &Config = Runtime->Routing.Config;
    Timeout = std::min(Call.Timeout.value_or(Config.DefaultTimeout),
                       Config.MaximumTimeout);
    Idempotent = isIdempotent(Config, Request.method_string(), Call.Path);
  }
  CallResult Result;
  if (Idempotent) {
    ExecutionInput Input = makeInput(Runtime, std::move(Call),
                                     std::move(Request), Id, Begin + Timeout);
    Input.IsIdempotent = true;
    Result = co_await runIdempotent(std::move(Input), std::move(CallerLeft));
  } else if (!Call.Key) {
    Result = missingKeyResult();
  } else {
    // The call continues if its caller disconnects: the answer is stored under
    // the key, so that the caller receives it when it retries the request.
    Result = co_await runKeyed(std::move(Call), std::move(Request), Id, Runtime,
                               Begin + Timeout);
  }
  if (Runtime) {
    Dependencies.ProcessMetrics.countCall(
        Name, Result.Kind, Dependencies.TimeSource.now() - Begin);
    Probes.probeIfDue(Runtime);
  }
  co_return Result;
}

ExecutionInput
CallService::makeInput(const std::shared_ptr<ServiceRuntime> &Runtime,
                       CallRequest Call, HttpRequest Request, RequestId Id,
                       TimePoint Deadline) const {
  ExecutionInput Input;
  Input.Runtime = Runtime;
  Input.Request = makeTargetRequest(std::move(Request), Call, Id);
  Input.Call = std::move(Call);
  Input.Id = std::move(Id);
  Input.Deadline = Deadline;
  return Input;
}

std::optional<CallResult> CallService::admitOrRefuse(const ServiceName &Name) {
  if (tryAdmitCall(Dependencies.Services.usage(), Name))
    return std::nullopt;
  LogLine Line("refuse");
  Line.field("service", Name.Value).field("reason", "host_overloaded");
  Dependencies.Decisions.write(Line);
  return notRunResult("host_overloaded",
                      "this host has reached its limit of calls in flight for "
                      "the service; use another address or retry later");
}

Awaitable<CallResult>
CallService::runIdempotent(ExecutionInput Input,
                           std::shared_ptr<Disconnect> CallerLeft) {
  const ServiceName Name = Input.Call.Service;
  if (Quarantine.hasEvidence() &&
      Quarantine.isQuarantined(fingerprintOf(Input.Call, Input.Request)))
    co_return quarantinedResult();
  auto Refusal = admitOrRefuse(Name);
  if (Refusal)
    co_return std::move(*Refusal);
  const AdmissionGuard Admitted(Dependencies.Services.usage(), Name);
  const auto Execution =
      std::make_shared<CallExecution>(Dependencies, std::move(Input));
  Execution->setCrashHooks(makeCrashHooks(
      Quarantine, [Weak = std::weak_ptr(Execution)]() -> std::uint64_t {
        const auto Running = Weak.lock();
        return Running ? fingerprintOf(Running->call(), Running->request()) : 0;
      }));
  CallerLeft->onOccurrence([Execution] { Execution->cancel(); });
  co_return co_await Execution->run();
}

Awaitable<CallResult>
CallService::runKeyed(CallRequest Call, HttpRequest Request, RequestId Id,
                      std::shared_ptr<ServiceRuntime> Runtime,
                      TimePoint Deadline) {
  KeyedCall Keyed;
  Keyed.KeyText = *Call.Key;
  Keyed.Original = Request;
  Keyed.Fingerprint = fingerprintOf(Call, Request);
  Keyed.IsRelayed = Call.IsRelayed;
  Keyed.Deadline = Deadline;
  Keyed.Id = Id;
  Keyed.Service = Call.Service;
  if (!Runtime) {
    Keyed.Refusal = unknownServiceResult(Call.Service);
    co_return co_await Keys.handle(std::move(Keyed));
  }
  Keyed.Placement = Runtime->Routing.Config.Witness;
  const ServiceName Name = Call.Service;
  if (Quarantine.isQuarantined(Keyed.Fingerprint))
    Keyed.Refusal = quarantinedResult();
  else
    Keyed.Refusal = admitOrRefuse(Name);
  std::optional<AdmissionGuard> Admitted;
  if (!Keyed.Refusal)
    Admitted.emplace(Dependencies.Services.usage(), Name);
  auto Input = std::make_shared<ExecutionInput>(
      makeInput(Runtime, std::move(Call), std::move(Request), Id, Deadline));
  Input->Crashes =
      makeCrashHooks(Quarantine, [Value = Keyed.Fingerprint] { return Value; });
  Keyed.Run = [this, Input](AttemptHooks Hooks) -> Awaitable<CallResult> {
    Input->Hooks = std::move(Hooks);
    const auto Execution =
        std::make_shared<CallExecution>(Dependencies, std::move(*Input));
    co_return co_await Execution->run();
  };
  co_return co_await Keys.handle(std::move(Keyed));
}

} // namespace comfreyrill
