#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace comfreyrill {

enum class LogLevel { Debug, Info, Warning, Error };

/// One log line: "event=NAME key=value ...", in the order of the calls.
/// Values with spaces, quotes or control characters are quoted and escaped.
class LogLine {
public:
  explicit LogLine(std::string_view Event);

  LogLine &field(std::string_view Key, std::string_view Value);
  LogLine &field(std::string_view Key, const char *Value);
  LogLine &field(std::string_view Key, std::int64_t Value);
  LogLine &field(std::string_view Key, std::uint64_t Value);
  LogLine &field(std::string_view Key, std::uint32_t Value);
  LogLine &field(std::string_view Key, bool Value);

  const std::string &text() const { return Text; }

private:
  std::string Text;
};

/// Log output of a process.
class Log {
public:
  using Observer = std::function<void(std::string_view Line)>;

  /// Drops lines below the level. An empty path selects standard output.
  Log(LogLevel Level, const std::string &Path);

  void write(LogLevel LineLevel, const LogLine &Line);

  /// Sets a function that is called with each written line; used by the
  /// endpoint that serves the decision log.
  void observe(Observer NewObserver) { LineObserver = std::move(NewObserver); }

private:
  LogLevel Level;
  Observer LineObserver;
};

/// Parses "debug", "info", "warning" or "error". Fails with InvalidInput.
Result<LogLevel> parseLogLevel(std::string_view Text);

} // namespace comfreyrill
