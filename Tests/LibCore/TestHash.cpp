#include <LibCore/Hash.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

// Guards against equal fingerprints of requests that differ only in the
// boundary between two parts.
TEST(Hash, PartBoundariesChangeTheHash) {
  EXPECT_NE(stableHash({"ab", "c"}), stableHash({"a", "bc"}));
  EXPECT_EQ(stableHash({"ab", "c"}), stableHash({"ab", "c"}));
}

// Guards against a key that verifies with the secret of another process.
TEST(Hash, TagDependsOnSecretAndMessage) {
  EXPECT_NE(messageTag("one", "m"), messageTag("two", "m"));
  EXPECT_NE(messageTag("one", "m"), messageTag("one", "n"));
  EXPECT_EQ(messageTag("one", "m").size(), 16U);
}

TEST(Hash, HexadecimalHasSixteenDigits) {
  EXPECT_EQ(hexadecimal(0xBEEF), "000000000000beef");
  EXPECT_EQ(parseHexadecimal("000000000000beef"), 0xBEEFU);
  EXPECT_EQ(parseHexadecimal(hexadecimal(~0ULL)), ~0ULL);
  for (const char *Text : {"", "beef", "000000000000BEEF", "+00000000000beef",
                           "000000000000beefa", "00000000000 beef"})
    EXPECT_FALSE(parseHexadecimal(Text).has_value()) << Text;
}

} // namespace
} // namespace comfreyrill
