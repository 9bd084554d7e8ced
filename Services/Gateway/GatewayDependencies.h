#pragma once

#include "GatewayMetrics.h"
#include "Knowledge.h"

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
  Knowledge &Known;
  BoundedLog &Events;
  GatewayMetrics &ProcessMetrics;
  FailureDomain HostDomain;
  RetryBudgetPolicy Retries;
  ProbeTokenBucket &Probes;
  double ProbesPerTarget = 0;
  /// Hosts among which the budgets of the fleet are divided.
  std::function<std::size_t()> Hosts;
};

} // namespace comfreyrill
