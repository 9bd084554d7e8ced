#include <LibGateway/CandidateListing.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

// Guards against a target that is left out without its reason, or for another
// one than the first that applies.
TEST(CandidateListing, EachExclusionHasItsReason) {
  DirectoryEntry Entry;
  TargetPause Pause;
  TargetFacts Facts{Entry, false, &Pause, 0};
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::None);
  Pause.BeganAt = Now - 1s;
  Pause.EndsAt = Now + 1s;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::Paused);
  Pause.EndsAt = Now;
  Pause.ResumeLimit = 1;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::None);
  Facts.InFlight = 1;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::Paused);
  Facts.IsEvacuated = true;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::Evacuated);
  Entry.HeldBackUntil = Now + 1s;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::HeldBack);
  Entry.Registration.IsDraining = true;
  EXPECT_EQ(findExclusion(Facts, Now), TargetExclusion::Leaving);
}

} // namespace
} // namespace comfreyrill
