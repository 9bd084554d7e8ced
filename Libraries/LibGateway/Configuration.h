#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill {

/// Rises with each configuration that operators put in force; 0 means none.
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;

/// How often the requests of a route may run.
enum class ExecutionSemantics { Idempotent, AtMostOnce };

/// One part of a route's traffic.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;
};

/// What is done with requests whose host and path match.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  ExecutionSemantics Semantics = ExecutionSemantics::AtMostOnce;
  /// Longest time that a caller may be kept waiting.
  Duration Timeout{0};
  /// An answer within this time earns its full worth.
  Duration LatencyObjective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Never empty.
  std::vector<WeightedService> Services;
  /// Targets to which one request may be sent.
  std::uint32_t AttemptsMaximum = 1;
};

/// A service as configured; its targets register themselves.
struct ServiceDescription {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that one target accepts from all hosts together.
  std::uint32_t ConnectionsMaximum = 1;
};

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1024} * 1024;
  Duration HeaderTime = std::chrono::seconds(3);
  Duration IdleTime = std::chrono::seconds(15);
};

/// One complete configuration.
struct Configuration {
  ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceDescription> Services;
  CallerLimits Limits;
};

} // namespace comfreyrill
