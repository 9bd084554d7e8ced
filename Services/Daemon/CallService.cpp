#include "CallService.h"

#include <algorithm>

namespace comfreyrill {

CallService::CallService(ExecutionContext Environment, ServiceTable &Services,
                         std::string IdPrefix)
    : Environment(std::move(Environment)), Services(Services),
      IdPrefix(std::move(IdPrefix)) {}

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
    co_return faultyRequestResult(http::status::bad_request, "faulty_request",
                                  Parsed.error().Message);
  CallRequest Call = std::move(Parsed.value());
  const auto Runtime = Services.find(Call.Service);
  if (!Runtime)
    co_return faultyRequestResult(
        http::status::not_found, "unknown_service",
        "the manifest in force has no service " + Call.Service.Value +
            "; correct the name or apply a manifest that has it");

  const ServiceConfig &Config = Runtime->Routing.Config;
  const Duration Timeout = std::min(
      Call.Timeout.value_or(Config.DefaultTimeout), Config.MaximumTimeout);
  const TimePoint Begin = Environment.TimeSource.now();
  const std::string_view Method = Request.method_string();
  const bool Idempotent = isIdempotent(Config, Method, Call.Path);
  const ServiceName Name = Call.Service;
  HttpRequest Forwarded = makeTargetRequest(std::move(Request), Call, Id);
  const auto Execution = std::make_shared<CallExecution>(
      Environment, Runtime, std::move(Call), std::move(Forwarded), Id,
      Idempotent, Begin + Timeout);
  CallerLeft->onOccurrence([Execution] { Execution->cancel(); });
  CallResult Result = co_await Execution->run();
  Environment.Figures.countCall(Name, Result.Kind,
                                Environment.TimeSource.now() - Begin);
  co_return Result;
}

} // namespace comfreyrill
