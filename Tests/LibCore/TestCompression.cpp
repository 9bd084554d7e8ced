#include <LibCore/Compression.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace comfreyrill {
namespace {

// Guards against a configuration that differs on the host that fetched it.
TEST(Compression, TextComesBackUnchanged) {
  const bool Passed = rc::check([](const std::string &Text) {
    const auto Read = decompress(compress(Text), Text.size());
    RC_ASSERT(Read);
    RC_ASSERT(Read.value() == Text);
  });
  EXPECT_TRUE(Passed);
}

// Guards against a configuration of 1,800 routes that keeps a link of 10 Mbit/s
// busy for so long that a failure domain of 25 hosts had it in force late.
TEST(Compression, ManyRoutesBecomeSmall) {
  std::string Routes;
  for (int Index = 0; Index < 1800; ++Index)
    Routes += R"({"name":"route-)" + std::to_string(Index * 7919) +
              R"(","host":"desk.example","pathPrefix":"/)" +
              std::to_string(Index * 104729) +
              R"(/","service":"stock","timeoutS":1.5,"maxAttempts":3},)";
  EXPECT_LT(compress(Routes).size() * 6, Routes.size());
}

// Guards against memory that a faulty or hostile host makes this one use.
TEST(Compression, TextAboveTheLimitIsRefused) {
  const auto Read = decompress(compress(std::string(1000000, 'a')), 999999);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Kind, ErrorKind::TooLarge);
}

// Guards against damaged bytes that are taken for a configuration, and against
// a reader that does not end.
TEST(Compression, DamagedBytesAreRefused) {
  const std::string Bytes = compress("a configuration with some routes");
  const bool Passed = rc::check([&](const std::string &Noise) {
    const auto Read = decompress(Noise, 1000);
    RC_ASSERT(!Read);
    const auto Cut = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    RC_ASSERT(!decompress(std::string_view(Bytes).substr(0, Cut), 1000));
  });
  EXPECT_TRUE(Passed);
}

} // namespace
} // namespace comfreyrill
