#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibGateway/AccountKeys.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreyrill {

/// Increases with each configuration that operators apply; 0 means none.
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;

/// Guarantee about how often a request of a route may run.
enum class ExecutionSemantics { Idempotent, AtMostOnce };

/// One service of a route and its share of the route's traffic.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;
};

/// Routing rule for requests whose host and path match.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  ExecutionSemantics Semantics = ExecutionSemantics::AtMostOnce;
  /// Upper bound of the time from the request to the response.
  Duration Timeout{0};
  /// Response time that the route aims for; a later answer is worth less to the
  /// caller.
  Duration LatencyObjective{0};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Never empty.
  std::vector<WeightedService> Services;
  /// Maximum number of attempts for one request, each at another target.
  std::uint32_t AttemptsMaximum = 1;
  /// Requests need no key of a client account.
  bool IsPublic = false;
};

/// A configured service. Its targets are not configured: they register
/// themselves.
struct ServiceDescription {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that one target accepts from all hosts together.
  std::uint32_t ConnectionsMaximum = 1;
  /// Time that a target stays cold after its start.
  Duration ColdTime{0};
  /// Requests per second that a cold target bears from all hosts together; 0
  /// means no limit.
  double ColdRate = 0;
};

/// A client account with the allotment that binds all hosts together.
struct ClientAccount {
  AccountName Name;
  /// Goes before the priority of the route; 0 is the highest.
  std::optional<std::uint32_t> Priority;
  /// Requests per second; 0 means no limit.
  double Rate = 0;
  /// Requests beyond the rate after a time without any.
  double Burst = 0;
};

/// Limits on the size of requests and on the time to receive them.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = std::uint64_t{1024} * 1024;
  Duration HeaderTime = std::chrono::seconds(3);
  Duration IdleTime = std::chrono::seconds(15);
};

struct Configuration {
  ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceDescription> Services;
  CallerLimits Limits;
  /// Accounts whose keys requests must carry; absent if requests need none.
  std::optional<std::vector<ClientAccount>> Accounts;
  AccountKeys Keys;
};

} // namespace comfreyrill
