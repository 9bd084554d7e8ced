#include <LibQuarantine/Fingerprint.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

// Guards against requests that share a fingerprint because one part ends where
// another begins, and against parts that are left out.
TEST(Fingerprint, CoversAllPartsAndTheirBoundaries) {
  ServiceName Stock("stock");
  std::uint64_t Print = requestFingerprint(Stock, "POST", "/a?x=1", "body");
  EXPECT_EQ(Print, requestFingerprint(Stock, "POST", "/a?x=1", "body"));
  EXPECT_NE(Print,
            requestFingerprint(ServiceName("stoc"), "kPOST", "/a?x=1", "body"));
  EXPECT_NE(Print, requestFingerprint(Stock, "PUT", "/a?x=1", "body"));
  EXPECT_NE(Print, requestFingerprint(Stock, "POST", "/a?x=2", "body"));
  EXPECT_NE(Print, requestFingerprint(Stock, "POST", "/a?x=1b", "ody"));
  EXPECT_NE(Print, requestFingerprint(Stock, "POST", "/a?x=1", "Body"));
}

// Guards against a change of the hash, under which hosts of two versions would
// count the evidence against one request apart.
TEST(Fingerprint, IsTheSameInAllVersions) {
  EXPECT_EQ(requestFingerprint(ServiceName("stock"), "GET", "/", ""),
            10'055'820'848'254'708'697U);
}

} // namespace
} // namespace comfreyrill
