#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill {

/// A back end that runs requests of one service.
struct TargetConfig {
  TargetId Id;
  Endpoint Address;
  FailureDomain Domain;
  /// Requests that the target runs at once.
  std::uint32_t Slots = 1;
  /// Connections that the target accepts, over all hosts.
  std::uint32_t MaxConnections = 200;

  bool operator==(const TargetConfig &) const = default;
};

/// States whether requests of a method below a path may run more than once.
/// The first operation that matches decides; without a match GET and HEAD are
/// idempotent and all other methods are not.
struct OperationConfig {
  std::string Method;
  std::string PathPrefix;
  bool Idempotent = false;

  bool operator==(const OperationConfig &) const = default;
};

/// Second attempts after a failure.
struct RetryPolicy {
  /// Retries allowed for each first attempt, on average.
  double BudgetRatio = 0.1;
  std::uint32_t MaxAttempts = 3;

  bool operator==(const RetryPolicy &) const = default;
};

/// Second attempts of idempotent calls while the first is still running.
struct HedgePolicy {
  bool Enabled = true;
  /// Hedges allowed for each first attempt, on average.
  double BudgetRatio = 0.05;
  /// A hedge starts when the answer time exceeds this quantile.
  double Quantile = 0.95;
  Duration MinimumDelay = std::chrono::milliseconds(1);

  bool operator==(const HedgePolicy &) const = default;
};

/// What may be spent on asking targets for their load, over the whole fleet.
struct LoadProbePolicy {
  double ProbesPerHundredCalls = 2;
  double ProbesPerSecond = 50;

  bool operator==(const LoadProbePolicy &) const = default;
};

enum class WitnessPlacement { SameDomain, OtherDomain };

/// One service: what it runs on and how its calls are treated.
struct ServiceConfig {
  ServiceName Name;
  std::vector<OperationConfig> Operations;
  std::vector<TargetConfig> Targets;
  Duration DefaultTimeout = std::chrono::seconds(5);
  Duration MaximumTimeout = std::chrono::seconds(60);
  /// Calls that may wait for a slot on one host.
  std::uint32_t QueueLength = 64;
  /// Share of a host's capacity relative to other services under overload.
  double FairShare = 1;
  RetryPolicy Retry;
  HedgePolicy Hedge;
  LoadProbePolicy LoadProbing;
  WitnessPlacement Witness = WitnessPlacement::SameDomain;

  bool operator==(const ServiceConfig &) const = default;
};

/// What operators put in force.
struct Manifest {
  /// Most hosts that run at a time, also during a rolling replacement; fleet
  /// budgets and connection limits are divided by it.
  std::uint32_t HostsMaximum = 20;
  /// How long callers may keep the addresses that they were given.
  Duration AddressLifetime = std::chrono::seconds(30);
  std::vector<ServiceConfig> Services;

  bool operator==(const Manifest &) const = default;
};

} // namespace comfreyrill
