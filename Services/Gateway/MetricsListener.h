#pragma once

#include <LibHttp/HttpServer.h>
#include <LibLog/RateLimitedLog.h>

#include <memory>
#include <optional>

namespace comfreyrill {

/// Serves the metrics of the process on an address of its own. An address that
/// cannot be bound is logged and tried again, because a host must serve its
/// callers whether its metrics can be read or not.
class MetricsListener {
public:
  /// RetryInterval is the time between two attempts to bind the address.
  MetricsListener(const Executor &Context, const Clock &TimeSource,
                  RateLimitedLog &Events, HttpServer::Handler HandleRequest,
                  HttpServer::ErrorResponseFactory MakeErrorResponse,
                  HttpLimits Limits, Duration RetryInterval);

  /// Listens on this address from now on, in place of an earlier one. Without
  /// an address, no metrics are served.
  void setAddress(std::optional<Endpoint> NewAddress);

  /// Returns the bound address, or none while it is not bound.
  std::optional<Endpoint> localEndpoint() const;

private:
  bool tryToListen(bool IsFirstTry);
  void scheduleRetry();

  Executor Context;
  const Clock &TimeSource;
  RateLimitedLog &Events;
  HttpServer::Handler HandleRequest;
  HttpServer::ErrorResponseFactory MakeErrorResponse;
  HttpLimits Limits;
  Duration RetryInterval;
  std::optional<Endpoint> Address;
  std::shared_ptr<HttpServer> Server;
  Timer RetryTimer;
};

} // namespace comfreyrill
