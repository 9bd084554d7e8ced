#include "MetricsListener.h"

namespace comfreyrill {

MetricsListener::MetricsListener(
    const Executor &Context, const Clock &TimeSource, RateLimitedLog &Events,
    HttpServer::Handler HandleRequest,
    HttpServer::ErrorResponseFactory MakeErrorResponse, HttpLimits Limits,
    Duration RetryInterval)
    : Context(Context), TimeSource(TimeSource), Events(Events),
      HandleRequest(std::move(HandleRequest)),
      MakeErrorResponse(std::move(MakeErrorResponse)), Limits(Limits),
      RetryInterval(RetryInterval), RetryTimer(Context) {}

void MetricsListener::setAddress(std::optional<Endpoint> NewAddress) {
  if (NewAddress == Address)
    return;
  Address = std::move(NewAddress);
  RetryTimer.cancel();
  if (Server)
    Server->close();
  Server.reset();
  if (Address && !tryToListen(true))
    scheduleRetry();
}

std::optional<Endpoint> MetricsListener::localEndpoint() const {
  return Server ? std::optional(Server->localEndpoint()) : std::nullopt;
}

bool MetricsListener::tryToListen(bool IsFirstTry) {
  const auto Candidate = std::make_shared<HttpServer>(
      Context, TimeSource, Limits, HandleRequest, MakeErrorResponse);
  const auto Bound = Candidate->listen(*Address);
  if (!Bound) {
    if (IsFirstTry) {
      LogLine Line("metrics_unavailable");
      Line.field("address", formatEndpoint(*Address))
          .field("cause", Bound.error().Message);
      Events.writeAlways(LogLevel::Warning, Line);
    }
    return false;
  }
  Server = Candidate;
  LogLine Line("metrics_available");
  Line.field("address", formatEndpoint(Server->localEndpoint()));
  Events.writeAlways(LogLevel::Info, Line);
  return true;
}

void MetricsListener::scheduleRetry() {
  RetryTimer.expires_after(RetryInterval);
  RetryTimer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code && Address && !Server && !tryToListen(false))
      scheduleRetry();
  });
}

} // namespace comfreyrill
