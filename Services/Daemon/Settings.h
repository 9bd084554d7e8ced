#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>
#include <LibLog/Log.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// What one host process is told at its start.
struct Settings {
  HostId Host;
  FailureDomain Domain;
  Endpoint CallerAddress;
  Endpoint PeerAddress;
  Endpoint AdminAddress;
  /// Endpoints of the platform's object API, tried in turn.
  std::vector<Endpoint> Platform;
  /// Peer addresses of hosts that are asked while the platform is away.
  std::vector<Endpoint> Seeds;
  LogLevel Level = LogLevel::Info;
  /// Empty for standard output.
  std::string LogPath;
  /// Bounds on callers' requests and on targets' answers.
  HttpLimits Limits;
  /// Calls that the host takes at once, waiting ones included.
  std::uint32_t CallsMaximum = 1024;
  /// Longest wait for calls in flight when the process is stopped.
  Duration DrainTime = std::chrono::seconds(120);
};

/// Reads and checks settings. Fails with InvalidInput; the message lists every
/// fault with its path, what was found and what is allowed.
Result<Settings> parseSettings(std::string_view Text);

/// Reads settings from a file. Fails with NotFound or InvalidInput.
Result<Settings> readSettings(const std::string &Path);

} // namespace comfreyrill
