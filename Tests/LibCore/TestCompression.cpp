#include <LibCore/Compression.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace comfreyrill {
namespace {

// Guards against a configuration that changes when hosts transfer it to each
// other in compressed form.
TEST(Compression, RoundTripPreservesText) {
  const bool Passed = rc::check([](const std::string &Text) {
    const auto Read = decompress(compress(Text), Text.size());
    RC_ASSERT(Read);
    RC_ASSERT(Read.value() == Text);
  });
  EXPECT_TRUE(Passed);
}

// Guards against poor compression. Without it, the transfer of a configuration
// with 1,800 routes occupied a link of 10 Mbit/s for so long that the 25 hosts
// of a failure domain applied the configuration late.
TEST(Compression, CompressesManyRoutesToLessThanASixth) {
  std::string Routes;
  for (int Index = 0; Index < 1800; ++Index)
    Routes += R"({"name":"route-)" + std::to_string(Index * 7919) +
              R"(","host":"desk.example","pathPrefix":"/)" +
              std::to_string(Index * 104729) +
              R"(/","service":"stock","timeoutS":1.5,"maxAttempts":3},)";
  EXPECT_LT(compress(Routes).size() * 6, Routes.size());
}

// Guards against unbounded memory use caused by a faulty or malicious host.
TEST(Compression, TextAboveTheLimitIsRefused) {
  const auto Read = decompress(compress(std::string(1000000, 'a')), 999999);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Kind, ErrorKind::TooLarge);
}

// Guards against damaged data that is accepted as a configuration, and against
// a decompression that never returns.
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
