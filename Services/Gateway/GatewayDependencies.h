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
};

} // namespace comfreyrill
