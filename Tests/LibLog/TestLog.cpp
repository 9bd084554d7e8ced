#include <LibLog/Log.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

TEST(Log, KeepsFieldsInOrder) {
  LogLine Line("route");
  Line.field("request", "r1").field("attempt", std::uint32_t{2});
  EXPECT_EQ(Line.text(), "event=route request=r1 attempt=2");
}

// Guards against a caller that forges log lines with a line break in a path.
TEST(Log, EscapesLineBreaksAndQuotes) {
  LogLine Line("route");
  Line.field("path", "/a\nevent=forged \"x\"");
  EXPECT_EQ(Line.text(), "event=route path=\"/a\\x0aevent=forged \\\"x\\\"\"");
}

TEST(Log, RefusesUnknownLevel) {
  ASSERT_TRUE(parseLogLevel("info").has_value());
  ASSERT_FALSE(parseLogLevel("INFO").has_value());
}

} // namespace
} // namespace comfreyrill
