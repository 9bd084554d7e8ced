#include <Client/HostClient.h>

namespace comfreyrill {

Awaitable<Result<std::string>> sendHostRequest(Endpoint Host, http::verb Verb,
                                               std::string Target,
                                               TimePoint Deadline) {
  HttpRequest Request(Verb, Target, 11);
  Request.keep_alive(false);
  HttpLimits Limits;
  Limits.BodyBytes = std::uint64_t{8} * 1024 * 1024;
  const std::string Name = "host " + formatEndpoint(Host);
  auto Response = co_await fetch(Host, std::move(Request), Limits, Deadline);
  if (!Response) {
    Error Cause = std::move(Response.error());
    Cause.Message = Name + ": " + Cause.Message;
    co_return Cause;
  }
  const unsigned Status = Response.value().result_int();
  if (Status < 300)
    co_return std::move(Response.value().body());
  const ErrorKind Kind = Status == 404   ? ErrorKind::NotFound
                         : Status >= 500 ? ErrorKind::Unavailable
                                         : ErrorKind::Refused;
  co_return Error{Kind,
                  Name + " answered status " + std::to_string(Status) + " to " +
                      Target +
                      "; check that the address is that of its admin "
                      "listener and that its version supports this request"};
}

} // namespace comfreyrill
