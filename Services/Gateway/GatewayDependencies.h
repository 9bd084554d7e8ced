#pragma once

#include "GatewayMetrics.h"
#include "GatewayState.h"

#include <LibCore/Async.h>
#include <LibCore/Random.h>
#include <LibGateway/DrainSchedule.h>
#include <LibGateway/ProbeTokenBucket.h>
#include <LibHttp/ConnectionPool.h>
#include <LibLog/RateLimitedLog.h>

#include <functional>
#include <optional>

namespace comfreyrill {

class DomainRouting;
class RequestRelay;

/// Dependencies that are passed to the constructors of the gateway's services.
/// All referenced objects outlive the services.
struct GatewayDependencies {
  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  ConnectionPool &Pool;
  GatewayState &CurrentState;
  RateLimitedLog &Events;
  GatewayMetrics &ProcessMetrics;
  FailureDomain HostDomain;
  RetryBudgetPolicy RetryPolicy;
  ProbeTokenBucket &ProbeTokens;
  double ProbesPerTargetPerSecond = 0;
  /// Set when the host shuts down.
  std::optional<DrainSchedule> Drain;
  /// Memory of the requests and answers that this process holds.
  MessageMemory &Messages;
  /// Returns the number of hosts that share the budgets of the fleet.
  std::function<std::size_t()> BudgetHostCount;
  /// Decides which requests leave the failure domain; null when fixed factors
  /// do.
  DomainRouting *Domains = nullptr;
  /// Takes a token from the allotment of an account. Returns nothing if it got
  /// one, otherwise the time after which there will be one. Unset where no
  /// allotments are enforced.
  std::function<Awaitable<std::optional<Duration>>(const ClientAccount &)>
      AcquireToken = {};
  /// Returns the token of a request that was refused for another reason.
  std::function<void(const AccountName &)> ReturnToken = {};
  /// Passes requests on to other hosts; null when there are none.
  RequestRelay *Relay = nullptr;
};

} // namespace comfreyrill
