#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <optional>
#include <string>
#include <vector>

namespace comfreyrill {

enum class Command {
  Check,
  Apply,
  Fetch,
  Status,
  Targets,
  Hosts,
  Drain,
  Log,
  Explain,
  Version,
  Help,
};

/// The request that explain describes, and the host that explains it.
struct ExplainOptions {
  /// Metrics address of the host.
  Endpoint Gateway;
  std::string Method;
  std::string Host;
  std::string Path;
  std::uint64_t BodyBytes = 0;
  /// Name of an account; empty without one.
  std::string Account;
  bool ReadsKey = false;
};

/// Parsed command line.
struct Arguments {
  Command Name = Command::Help;
  /// For check and apply.
  std::string File;
  /// For drain and log: a host's name, or ip:port of its admin listener.
  std::string Host;
  std::vector<Endpoint> Platforms;
  std::vector<Endpoint> Hosts;
  ExplainOptions Explain;
  /// The manifest number that a change was made from; unset for the number in
  /// force when the command starts.
  std::optional<ManifestNumber> BasedOn;
  Duration Timeout = std::chrono::seconds(10);
  bool Wait = false;
  bool Follow = false;
  bool Json = false;
};

/// The help text, which is also the grammar of the command line parser.
const std::string &usageText();

std::string clientVersion();

/// Parses the command line without the program's name. Fails with InvalidInput.
Result<Arguments> parseArguments(const std::vector<std::string> &Argv);

} // namespace comfreyrill
