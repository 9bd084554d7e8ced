#include "PlatformStore.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace comfreyrill::standins {
namespace {

UpdateCondition ifVersion(std::uint64_t Version) {
  UpdateCondition Condition;
  Condition.IfVersion = Version;
  return Condition;
}

// Guards against a store that accepts two updates based on the same version.
// Tests with concurrent operators would then pass for a client that loses
// updates.
RC_GTEST_PROP(PlatformStore, OneOfRacingUpdatesWins, ()) {
  const auto Versions = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(0, 6)));
  PlatformStore Store;
  Store.update("k", "v1", {});
  std::uint64_t Expected = 1;
  for (const std::uint64_t Version : Versions) {
    const auto Updated = Store.update("k", "new", ifVersion(Version));
    RC_ASSERT(Updated.Accepted == (Version == Expected));
    Expected += Updated.Accepted ? 1 : 0;
    RC_ASSERT(Updated.Version == Expected);
  }
}

// Guards against a create-only update that replaces an existing object.
TEST(PlatformStore, CreateOnlyNeverReplaces) {
  PlatformStore Store;
  UpdateCondition Create;
  Create.MustBeAbsent = true;
  EXPECT_TRUE(Store.update("k", "first", Create).Accepted);
  const auto Second = Store.update("k", "second", Create);
  EXPECT_FALSE(Second.Accepted);
  EXPECT_EQ(Second.Version, 1U);
  EXPECT_EQ(Store.find("k")->Value, "first");
}

// Guards against an update with a version condition that creates an object.
TEST(PlatformStore, VersionOfAbsentObjectNeverMatches) {
  PlatformStore Store;
  EXPECT_FALSE(Store.update("k", "v", ifVersion(0)).Accepted);
  EXPECT_EQ(Store.find("k"), nullptr);
}

// Guards against a stale read that returns the newest version. Tests that
// inject stale reads would then check nothing.
TEST(PlatformStore, StaleReadShowsAnOlderVersion) {
  PlatformStore Store;
  for (const char *Value : {"a", "b", "c"})
    Store.update("k", Value, {});
  EXPECT_EQ(Store.findStale("k", 1)->Value, "b");
  EXPECT_EQ(Store.findStale("k", 9)->Value, "a");
}

} // namespace
} // namespace comfreyrill::standins
