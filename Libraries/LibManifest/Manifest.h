#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill {

/// A backend that executes the requests of one service.
struct TargetConfig {
  TargetId Id;
  Endpoint Address;
  FailureDomain Domain;
  /// Requests that the target executes concurrently.
  std::uint32_t Slots = 1;
  /// Connections that the target accepts from all hosts together.
  std::uint32_t MaxConnections = 200;

  bool operator==(const TargetConfig &) const = default;
};

/// Defines whether requests with a method and a path prefix may be executed
/// more than once. The first matching operation decides. Without a match, GET
/// and HEAD are idempotent and all other methods are not.
struct OperationConfig {
  std::string Method;
  std::string PathPrefix;
  bool Idempotent = false;

  bool operator==(const OperationConfig &) const = default;
};

/// Retries of failed attempts.
struct RetryPolicy {
  /// Average number of retries allowed for each first attempt.
  double BudgetRatio = 0.1;
  std::uint32_t MaxAttempts = 3;

  bool operator==(const RetryPolicy &) const = default;
};

/// Hedging: additional attempts of idempotent calls while the first attempt is
/// still running.
struct HedgePolicy {
  bool Enabled = true;
  /// Average number of hedges allowed for each first attempt.
  double BudgetRatio = 0.05;
  /// A hedge starts when the first attempt has taken longer than this quantile
  /// of the response times.
  double Quantile = 0.95;
  Duration MinimumDelay = std::chrono::milliseconds(1);

  bool operator==(const HedgePolicy &) const = default;
};

/// Limits on the load probes to the targets of a service, for the whole fleet
/// together.
struct LoadProbePolicy {
  double ProbesPerHundredCalls = 2;
  double ProbesPerSecond = 50;

  bool operator==(const LoadProbePolicy &) const = default;
};

enum class WitnessPlacement { SameDomain, OtherDomain };

/// Configuration of a service: its targets and how its calls are handled.
struct ServiceConfig {
  ServiceName Name;
  std::vector<OperationConfig> Operations;
  std::vector<TargetConfig> Targets;
  Duration DefaultTimeout = std::chrono::seconds(5);
  Duration MaximumTimeout = std::chrono::seconds(60);
  /// Calls that may wait for a slot in the queue of one host.
  std::uint32_t QueueLength = 64;
  /// Weight of the service when an overloaded host shares its capacity between
  /// services.
  double FairShare = 1;
  RetryPolicy Retry;
  HedgePolicy Hedge;
  LoadProbePolicy LoadProbing;
  WitnessPlacement Witness = WitnessPlacement::SameDomain;

  bool operator==(const ServiceConfig &) const = default;
};

/// The configuration that operators apply.
struct Manifest {
  /// Maximum number of hosts that run at the same time, including during a
  /// rolling replacement. Fleet-wide budgets and connection limits are divided
  /// by this number.
  std::uint32_t HostsMaximum = 20;
  /// Time for which callers may keep the host addresses that they have got.
  Duration AddressLifetime = std::chrono::seconds(30);
  std::vector<ServiceConfig> Services;

  bool operator==(const Manifest &) const = default;
};

} // namespace comfreyrill
