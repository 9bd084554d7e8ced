#include <LibLog/RateLimitedLog.h>

#include <gtest/gtest.h>
#include <vector>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

// Guards against a log whose volume grows with the load, and against lines that
// are dropped without being counted.
TEST(RateLimitedLog, CountsLinesAboveTheLimit) {
  ManualClock TimeSource;
  Log Output(LogLevel::Info, "");
  std::vector<std::string> Lines;
  Output.observe([&](std::string_view Line) { Lines.emplace_back(Line); });
  RateLimitedLog Events(Output, TimeSource);
  for (std::uint32_t Count = 0; Count < RateLimitedLog::LinesPerSecond + 7;
       ++Count)
    Events.write(LogLevel::Info, "attempt", LogLine("attempt"));
  EXPECT_EQ(Lines.size(), RateLimitedLog::LinesPerSecond);
  Events.writeAlways(LogLevel::Info, LogLine("request_end"));
  Events.write(LogLevel::Info, "other", LogLine("other"));
  EXPECT_EQ(Lines.size(), RateLimitedLog::LinesPerSecond + 2);
  TimeSource.advance(1s);
  Events.write(LogLevel::Info, "attempt", LogLine("attempt"));
  ASSERT_EQ(Lines.size(), RateLimitedLog::LinesPerSecond + 4);
  EXPECT_EQ(Lines[Lines.size() - 2],
            "event=lines_left_out kind=attempt count=7");
}

} // namespace
} // namespace comfreyrill
