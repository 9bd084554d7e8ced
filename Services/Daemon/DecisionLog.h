#pragma once

#include <LibCore/Async.h>
#include <LibLog/Log.h>

#include <deque>
#include <string>

namespace comfreyrill {

/// Writes one log line for each decision and keeps the latest lines in memory
/// for the admin API.
class DecisionLog {
public:
  /// Maximum number of lines kept in memory.
  static constexpr std::size_t MaximumLines = 4096;
  /// Maximum number of lines returned by one read.
  static constexpr std::size_t LinesPerPage = 512;

  DecisionLog(const Executor &Context, Log &Output);

  void write(const LogLine &Line);
  void warn(const LogLine &Line);

  struct Page {
    std::uint64_t Next = 0;
    std::vector<std::string> Lines;
  };

  /// Returns the lines after a position. Waits until there is at least one or
  /// the deadline passes.
  Awaitable<Page> readAfter(std::uint64_t Position, TimePoint Deadline);

  std::uint64_t position() const { return Written; }

private:
  void append(const LogLine &Line);

  Log &Output;
  Timer LineAdded;
  std::uint64_t WaitingReaders = 0;
  std::uint64_t Written = 0;
  std::deque<std::string> Lines;
};

} // namespace comfreyrill
