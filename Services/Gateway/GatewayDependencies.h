#pragma once

#include "GatewayMetrics.h"
#include "GatewayState.h"

#include <LibCore/Async.h>
#include <LibCore/Random.h>
#include <LibGateway/ProbeTokenBucket.h>
#include <LibHttp/ConnectionPool.h>
#include <LibLog/BoundedLog.h>

#include <functional>

namespace comfreyrill {

/// What the services of a gateway need of each other; all outlive them.
struct GatewayDependencies {
  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  ConnectionPool &Pool;
  GatewayState &CurrentState;
  BoundedLog &Events;
  GatewayMetrics &ProcessMetrics;
  FailureDomain HostDomain;
  RetryBudgetPolicy RetryPolicy;
  ProbeTokenBucket &ProbeTokens;
  double ProbesPerTargetPerSecond = 0;
  /// Hosts among which the budgets of the fleet are divided.
  std::function<std::size_t()> BudgetHostCount;
};

} // namespace comfreyrill
