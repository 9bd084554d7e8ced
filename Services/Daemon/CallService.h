#pragma once

#include "CallExecution.h"
#include "KeyedCalls.h"
#include "Prober.h"
#include "QuarantineService.h"

#include <LibHttp/HttpServer.h>

namespace comfreyrill {

/// Validates, admits and executes requests to /v1/call/...
class CallService {
public:
  CallService(const DaemonDependencies &Dependencies, KeyedCalls &Keys,
              QuarantineService &Quarantine, Prober &Probes,
              std::string IdPrefix);

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);

  /// Number of calls in flight.
  std::size_t activeCalls() const { return Active; }

private:
  Awaitable<CallResult> execute(HttpRequest Request, RequestId Id,
                                std::shared_ptr<Disconnect> CallerLeft);
  Awaitable<CallResult> runIdempotent(ExecutionInput Input,
                                      std::shared_ptr<Disconnect> CallerLeft);
  Awaitable<CallResult> runKeyed(CallRequest Call, HttpRequest Request,
                                 RequestId Id,
                                 std::shared_ptr<ServiceRuntime> Runtime,
                                 TimePoint Deadline);
  std::optional<CallResult> admitOrRefuse(const ServiceName &Name);
  ExecutionInput makeInput(const std::shared_ptr<ServiceRuntime> &Runtime,
                           CallRequest Call, HttpRequest Request, RequestId Id,
                           TimePoint Deadline) const;
  RequestId nextId();

  DaemonDependencies Dependencies;
  KeyedCalls &Keys;
  QuarantineService &Quarantine;
  Prober &Probes;
  std::string IdPrefix;
  std::uint64_t IdCount = 0;
  std::size_t Active = 0;
};

} // namespace comfreyrill
