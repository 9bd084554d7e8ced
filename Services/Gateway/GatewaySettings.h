#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibGateway/RetryBudget.h>
#include <LibLog/Log.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// What one gateway process is told at its start. deploy/gateway.json.template
/// writes the file from the platform's fields.
struct GatewaySettings {
  HostId Host;
  FailureDomain Domain;
  /// Where callers send requests.
  Endpoint CallerAddress;
  /// Where the platform asks whether the host is ready.
  Endpoint ReadinessAddress;
  /// Where callers ask which addresses to use.
  Endpoint DirectoryAddress;
  Endpoint PeerAddress;
  std::vector<Endpoint> Seeds;
  /// The whole fleet starts for the first time, well before there are callers.
  bool IsFirstStart = false;
  Endpoint Store;
  /// Time between SIGTERM and SIGKILL.
  Duration StopTime = std::chrono::seconds(6);
  /// Longest time for which callers keep an answer of the directory.
  Duration AddressLifetimeMaximum = std::chrono::seconds(5);
  RetryBudgetPolicy RetryPolicy;
  /// Probes of one target a second, by all hosts together.
  double ProbesPerTargetPerSecond = 0;
  LogLevel Level = LogLevel::Info;
};

/// Reads and checks settings. Fails with InvalidInput; the message lists every
/// fault with its path, what was found and what is allowed.
Result<GatewaySettings> parseGatewaySettings(std::string_view Text);

} // namespace comfreyrill
