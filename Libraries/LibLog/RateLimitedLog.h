#pragma once

#include <LibCore/Clock.h>
#include <LibLog/Log.h>

#include <map>
#include <string>

namespace comfreyrill {

/// Keeps the volume of a log bounded: each kind of line has a rate of its own,
/// and lines beyond it are counted and reported instead of written.
class RateLimitedLog {
public:
  /// Lines of one kind written in a second at most. A host of the users handles
  /// some dozens of requests a second; this leaves each of them one line.
  static constexpr std::uint32_t LinesPerSecond = 100;

  RateLimitedLog(Log &Output, const Clock &TimeSource);

  /// Writes the line unless its kind has used up its rate.
  void write(LogLevel Level, std::string_view Kind, const LogLine &Line);
  /// Writes the line in any case, for what must never be left out.
  void writeAlways(LogLevel Level, const LogLine &Line);

private:
  struct Usage {
    TimePoint Since;
    std::uint32_t Written = 0;
    std::uint64_t LeftOut = 0;
  };

  Log &Output;
  const Clock &TimeSource;
  std::map<std::string, Usage, std::less<>> Kinds;
};

} // namespace comfreyrill
