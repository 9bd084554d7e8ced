#include <LibAccount/OwnerBucket.h>
#include <LibCore/Random.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr AllotmentTerms Terms{100, 40, 1, 0};

std::int32_t grantAll(OwnerBucket &Bucket, const AllotmentTerms &Current,
                      TimePoint Now) {
  return grantBatch(Bucket, Current, 100'000, Now).Granted;
}

// Guards against an account that cannot use its burst after a time without
// requests, or that gets more than its burst and the tolerance.
TEST(OwnerBucketTest, OwnerSavesUpToTheBurst) {
  const auto Most = static_cast<std::int32_t>(Terms.Burst + BurstTolerance);
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start + 1h);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h), Most);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h + 100ms), 10);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 2h), Most);
}

// Guards against refusing requests of a small account that stays within its
// rate over a few seconds but not over each one.
TEST(OwnerBucketTest, SmallAccountWithinItsRateIsServed) {
  constexpr AllotmentTerms Small{1.6, 1, 1, 0};
  Random Generator(20261206);
  std::exponential_distribution<double> Gap(1);
  OwnerBucket Bucket = makeOwnerBucket(Small, Start, Start + 1h);
  TimePoint Now = Start + 1h;
  std::int32_t Granted = 0;
  constexpr std::int32_t Requests = 2000;
  for (std::int32_t Number = 0; Number < Requests; ++Number) {
    Now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(Generator)));
    Granted += grantBatch(Bucket, Small, 1, Now).Granted;
  }
  EXPECT_GE(Granted, 0.98 * Requests);
}

// Guards against a second burst after a change of the owner, and against the
// full rate while some hosts still ask the previous owner.
TEST(OwnerBucketTest, NewOwnerBeginsWithFewTokensAndSlowly) {
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start);
  EXPECT_EQ(grantAll(Bucket, Terms, Start), StartTokens);
  // Half of a tenth of the rate and 2 per second.
  EXPECT_EQ(grantAll(Bucket, Terms, Start + TakeoverTime), 3);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + TakeoverTime + 200ms), 20);
}

// Guards against hosts that go on rejecting requests after a new owner grants
// the full rate, because it has told them a time by its reduced rate.
TEST(OwnerBucketTest, RefusalOfANewOwnerCountsTheFullRate) {
  constexpr AllotmentTerms Small{4, 4, 1, 0};
  OwnerBucket Bucket = makeOwnerBucket(Small, Start, Start);
  EXPECT_EQ(grantAll(Bucket, Small, Start), StartTokens);
  const GrantedBatch Refused = grantBatch(Bucket, Small, 1, Start);
  ASSERT_TRUE(Refused.RetryAfter);
  EXPECT_LE(*Refused.RetryAfter, TakeoverTime + 250ms);
  EXPECT_EQ(grantBatch(Bucket, Small, 1, Start + *Refused.RetryAfter).Granted,
            1);
}

// Guards against an owner that grants its old savings when it is the first one
// again after other hosts have been.
TEST(OwnerBucketTest, ReturningOwnerBeginsEmpty) {
  AllotmentTerms Second = Terms;
  Second.Position = 1;
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start + 10s);
  refill(Bucket, Second, Start + 10s);
  refill(Bucket, Terms, Start + 20s);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 20s), 0);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 20s + TakeoverTime), 3);
}

// Guards against several owners that all grant the rate in the time before a
// partition is detected.
TEST(OwnerBucketTest, OtherHostsGrantLittleTogether) {
  std::int32_t Granted = 0;
  for (std::size_t Position = 1; Position <= 20; ++Position) {
    AllotmentTerms Other = Terms;
    Other.Position = Position;
    OwnerBucket Bucket = makeOwnerBucket(Other, Start, Start);
    for (TimePoint Now = Start; Now < Start + 3s; Now += 10ms)
      Granted += grantAll(Bucket, Other, Now);
  }
  EXPECT_GE(Granted, 28);
  EXPECT_LE(Granted, 36);
}

// Guards against a partition in which the parts of the fleet together grant a
// multiple of the rate and of the burst.
TEST(OwnerBucketTest, PartOfTheFleetGrantsItsShare) {
  AllotmentTerms Part = Terms;
  Part.Share = 0.25;
  OwnerBucket Bucket = makeOwnerBucket(Part, Start, Start + 1h);
  const auto Most =
      static_cast<std::int32_t>((Terms.Burst + BurstTolerance) / 4);
  EXPECT_EQ(grantAll(Bucket, Part, Start + 1h), Most);
  EXPECT_EQ(grantAll(Bucket, Part, Start + 1h + 200ms), 5);
  // The parts join: what is saved does not grow at once.
  refill(Bucket, Part, Start + 2h);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 2h), Most);
}

// Guards against a lowered limit that takes effect only when the savings are
// used up, and against a raised one that is granted for the time before.
TEST(OwnerBucketTest, ChangedLimitTakesEffectAtOnce) {
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start + 1h);
  AllotmentTerms Lower{20, 5, 1, 0};
  EXPECT_EQ(grantAll(Bucket, Lower, Start + 1h),
            static_cast<std::int32_t>(Lower.Burst + BurstTolerance));
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h + 200ms), 4);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h + 300ms), 10);
}

// Guards against rounding that gives a small account nothing at all, and
// against a batch of more tokens than were requested.
TEST(OwnerBucketTest, SmallAccountGetsItsRate) {
  const AllotmentTerms Small{0.5, 0, 1, 0};
  OwnerBucket Bucket = makeOwnerBucket(Small, Start, Start + 1h);
  std::int32_t Granted = 0;
  for (TimePoint Now = Start + 1h; Now < Start + 1h + 100s; Now += 100ms)
    Granted += grantBatch(Bucket, Small, 1, Now).Granted;
  EXPECT_GE(Granted, 50);
  EXPECT_LE(Granted, 51 + BurstTolerance);
}

// Guards against refused hosts that all return when the next token is there and
// load a small owner.
TEST(OwnerBucketTest, RefusedHostsReturnOneAfterAnother) {
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start + 1h);
  grantAll(Bucket, Terms, Start + 1h);
  Duration Previous{0};
  for (int Host = 0; Host < 50; ++Host) {
    const auto Refused = grantBatch(Bucket, Terms, 1, Start + 1h);
    ASSERT_TRUE(Refused.RetryAfter);
    EXPECT_GE(*Refused.RetryAfter - Previous, 9ms);
    Previous = *Refused.RetryAfter;
  }
  for (int Host = 0; Host < 500; ++Host)
    Previous = *grantBatch(Bucket, Terms, 1, Start + 1h).RetryAfter;
  EXPECT_LE(Previous, 1s);
}

// Guards against a clock that returns an earlier time and thereby adds tokens.
TEST(OwnerBucketTest, EarlierTimeAddsNothing) {
  OwnerBucket Bucket = makeOwnerBucket(Terms, Start, Start + 1h);
  grantAll(Bucket, Terms, Start + 1h);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h - 1s), 0);
  EXPECT_EQ(grantAll(Bucket, Terms, Start + 1h), 0);
}

} // namespace
} // namespace comfreyrill
