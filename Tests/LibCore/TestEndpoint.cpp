#include <LibCore/Endpoint.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

TEST(Endpoint, FormatsWhatItParses) {
  for (const char *Text : {"127.0.0.1:7001", "[::1]:80", "10.1.2.3:0"}) {
    auto Parsed = parseEndpoint(Text);
    ASSERT_TRUE(Parsed.has_value()) << Text;
    EXPECT_EQ(formatEndpoint(Parsed.value()), Text);
  }
}

// Guards against invalid addresses that are accepted in the settings and fail
// only when a connection is made.
TEST(Endpoint, RefusesInvalidEndpoints) {
  for (const char *Text :
       {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536",
        "127.0.0.1:", "127.0.0.1:8x", "::1:80", "127.0.0.1:-1", ":80"}) {
    auto Parsed = parseEndpoint(Text);
    ASSERT_FALSE(Parsed.has_value()) << Text;
    EXPECT_EQ(Parsed.error().Kind, ErrorKind::InvalidInput);
  }
}

} // namespace
} // namespace comfreyrill
