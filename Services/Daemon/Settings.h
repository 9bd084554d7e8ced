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

/// Startup configuration of one host process.
struct Settings {
  HostId Host;
  FailureDomain Domain;
  Endpoint CallerAddress;
  Endpoint PeerAddress;
  Endpoint AdminAddress;
  /// Endpoints of the platform's object API, tried in turn.
  std::vector<Endpoint> Platform;
  /// Peer addresses of hosts to contact while the platform is unavailable.
  std::vector<Endpoint> Seeds;
  LogLevel Level = LogLevel::Info;
  /// Path of the log file; empty for standard output.
  std::string LogPath;
  /// Limits for callers' requests and targets' answers.
  HttpLimits Limits;
  /// Maximum number of calls in flight on the host, queued calls included.
  std::uint32_t CallsMaximum = 1024;
  /// Maximum time to wait for calls in flight while the host drains.
  Duration DrainTime = std::chrono::seconds(120);
  /// Longest pause that a target can ask this host for.
  Duration TargetPauseTime = std::chrono::seconds(300);
};

/// Parses and validates settings. Fails with InvalidInput; the message lists
/// every error with its path, the value found and the values allowed.
Result<Settings> parseSettings(std::string_view Text);

/// Reads settings from a file. Fails with NotFound or InvalidInput.
Result<Settings> readSettings(const std::string &Path);

} // namespace comfreyrill
