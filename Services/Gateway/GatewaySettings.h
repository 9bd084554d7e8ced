#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibGateway/RetryBudget.h>
#include <LibLog/Log.h>
#include <LibRouting/TargetPause.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Settings of one gateway process. deploy/gateway.json.template generates the
/// file from the fields of the platform.
struct GatewaySettings {
  HostId Host;
  FailureDomain Domain;
  /// Listener for requests of callers.
  Endpoint CallerAddress;
  /// Listener for the platform's readiness check.
  Endpoint ReadinessAddress;
  /// Listener of the address directory, which tells callers which addresses to
  /// use.
  Endpoint DirectoryAddress;
  Endpoint PeerAddress;
  /// Listener for metrics; without it, none are served.
  std::optional<Endpoint> MetricsAddress;
  std::vector<Endpoint> Seeds;
  /// True in the first start of a fleet, well before there are callers.
  bool IsFirstStart = false;
  Endpoint Store;
  /// Memory that the process may use, in bytes.
  std::optional<std::uint64_t> MemoryLimit;
  /// Time between SIGTERM and SIGKILL.
  Duration StopTime = std::chrono::seconds(6);
  /// Longest time for which callers may cache a directory response.
  Duration AddressLifetimeMaximum = std::chrono::seconds(5);
  RetryBudgetPolicy RetryPolicy;
  /// Limit on the probes that all hosts together send to one target per second.
  double ProbesPerTargetPerSecond = 0;
  /// Limits the pauses that targets ask for.
  PausePolicy TargetPauses;
  /// Price of a byte that crosses failure domains, as a part of the value of an
  /// answered request. Without it, requests leave their failure domain by fixed
  /// factors.
  std::optional<double> DomainBytePrice;
  /// The deployment evacuates failure domains; unset means that it does not.
  std::optional<bool> HasEvacuations;
  LogLevel Level = LogLevel::Info;
};

/// Settings that the platform passes as environment variables; empty when not
/// set.
struct GatewayEnvironment {
  std::string MetricsAddress;
  /// In megabytes.
  std::string MemoryLimit;
  std::string DomainBytePrice = {};
  /// The platform says that the deployment has evacuations.
  bool HasEvacuations = false;
};

/// Parses and validates settings. Fails with InvalidInput; the message lists
/// every error with its path, what was found and what is allowed.
Result<GatewaySettings> parseGatewaySettings(std::string_view Text);

/// Completes the settings that the file has left out. Fails with InvalidInput
/// when a value cannot be used; that setting stays as it is.
Result<void> applyEnvironment(GatewaySettings &Configured,
                              const GatewayEnvironment &Environment);

} // namespace comfreyrill
