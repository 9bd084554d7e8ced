#pragma once

#include <LibCore/Clock.h>
#include <LibLog/Log.h>

#include <map>
#include <string>

namespace comfreyrill {

/// Limits the rate of log lines. Each kind of line has its own limit; lines
/// above the limit are dropped and counted, and the next line of that kind in a
/// later interval is preceded by a line with the count.
class RateLimitedLog {
public:
  /// Maximum number of lines of one kind per second. A host handles some dozens
  /// of requests per second, so each request can have one line of each kind.
  static constexpr std::uint32_t LinesPerSecond = 100;

  RateLimitedLog(Log &Output, const Clock &TimeSource);

  /// Writes the line unless its kind has reached the limit.
  void write(LogLevel Level, std::string_view Kind, const LogLine &Line);
  /// Writes the line without a limit, for events that must never be dropped.
  void writeAlways(LogLevel Level, const LogLine &Line);

private:
  struct RateWindow {
    TimePoint Start;
    std::uint32_t Written = 0;
    std::uint64_t Dropped = 0;
  };

  Log &Output;
  const Clock &TimeSource;
  std::map<std::string, RateWindow, std::less<>> WindowByKind;
};

} // namespace comfreyrill
