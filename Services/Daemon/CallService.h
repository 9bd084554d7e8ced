#pragma once

#include "CallExecution.h"

#include <LibHttp/HttpServer.h>

namespace comfreyrill {

/// Handles requests to /v1/call/...: checks them and runs them.
class CallService {
public:
  CallService(ExecutionContext Environment, ServiceTable &Services,
              std::string IdPrefix);

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);

  /// Calls that have been accepted and are not answered yet.
  std::size_t activeCalls() const { return Active; }

private:
  Awaitable<CallResult> execute(HttpRequest Request, RequestId Id,
                                std::shared_ptr<Disconnect> CallerLeft);
  RequestId nextId();

  ExecutionContext Environment;
  ServiceTable &Services;
  std::string IdPrefix;
  std::uint64_t IdCount = 0;
  std::size_t Active = 0;
};

} // namespace comfreyrill
