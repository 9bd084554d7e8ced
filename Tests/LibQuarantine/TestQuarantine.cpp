#include <LibQuarantine/Quarantine.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t Request = 42;

TargetId target(std::size_t Index) {
  return TargetId("t" + std::to_string(Index));
}

class Quarantine : public ::testing::Test {
protected:
  CrashResult crash(std::size_t Target, std::uint64_t Fingerprint = Request) {
    return recordCrash(State, Fingerprint, target(Target), Time.now());
  }
  bool runs(std::uint64_t Fingerprint = Request) {
    return mayDispatch(State, Fingerprint, Time.now());
  }

  QuarantineState State;
  ManualClock Time;
};

// Guards against a request that takes down one target after another, and
// against a refusal after a single crash.
TEST_F(Quarantine, RefusesAfterTwoDistinctTargets) {
  EXPECT_EQ(crash(1), CrashResult::Counted);
  EXPECT_EQ(crash(1), CrashResult::Known);
  EXPECT_TRUE(runs());
  EXPECT_EQ(crash(2), CrashResult::Quarantined);
  EXPECT_FALSE(runs());
  EXPECT_TRUE(runs(Request + 1));
  EXPECT_EQ(crash(3), CrashResult::Known);
}

TEST_F(Quarantine, EvidenceCountsForTenMinutes) {
  crash(1);
  Time.advance(minutes(10));
  EXPECT_EQ(crash(2), CrashResult::Counted);
  EXPECT_TRUE(runs());
}

// Guards against a quarantine that ends early because its first evidence is
// old, and against one without end.
TEST_F(Quarantine, EndsTenMinutesAfterTheLastEvidence) {
  crash(1);
  Time.advance(minutes(9));
  crash(2);
  Time.advance(minutes(1));
  // A copy that was in flight.
  crash(3);
  Time.advance(minutes(10) - std::chrono::nanoseconds(1));
  EXPECT_FALSE(runs());
  Time.advance(std::chrono::nanoseconds(1));
  EXPECT_TRUE(runs());
  EXPECT_EQ(crash(1), CrashResult::Counted);
}

// Guards against a popular lookup that stays refused because it was under way
// on two targets that died for another reason.
TEST_F(Quarantine, AnswerClearsEvidenceAndLiftsTheQuarantine) {
  EXPECT_FALSE(recordAnswer(State, Request));
  crash(1);
  EXPECT_TRUE(recordAnswer(State, Request));
  crash(2);
  EXPECT_TRUE(runs());
  crash(3);
  EXPECT_FALSE(runs());
  // A third copy was in flight elsewhere and is answered now.
  EXPECT_TRUE(recordAnswer(State, Request));
  EXPECT_TRUE(runs());
  EXPECT_FALSE(recordAnswer(State, Request));
}

// Guards against a few broken targets that put lookup after lookup into
// quarantine, each with its retry.
TEST_F(Quarantine, TargetsThatFailEverythingSayLittle) {
  crash(1, 1);
  crash(2, 1);
  for (std::uint64_t Lookup = 100; Lookup < 200; ++Lookup) {
    Time.advance(milliseconds(200));
    crash(1, Lookup);
    crash(2, Lookup);
    EXPECT_TRUE(runs(Lookup));
  }
}

// Guards against unsteady targets that let a request through without end.
TEST_F(Quarantine, FourUnsteadyTargetsSuffice) {
  for (std::size_t Target = 1; Target <= 4; ++Target)
    crash(Target, 1000 + Target);
  Time.advance(seconds(1));
  for (std::size_t Target = 1; Target <= 3; ++Target)
    crash(Target);
  EXPECT_TRUE(runs());
  EXPECT_EQ(crash(4), CrashResult::Quarantined);
  EXPECT_FALSE(runs());
}

// Guards against old evidence that newer evidence of another target keeps
// alive.
TEST_F(Quarantine, EachPieceOfEvidenceExpiresByItself) {
  crash(1);
  Time.advance(minutes(9));
  crash(2, 1000);
  Time.advance(seconds(1));
  EXPECT_EQ(crash(2), CrashResult::Counted);
  Time.advance(minutes(2));
  EXPECT_EQ(crash(3), CrashResult::Counted);
  EXPECT_TRUE(runs());
}

// Guards against a request that is overlooked because others were under way on
// the target that it broke.
TEST_F(Quarantine, AllRequestsOfOneCrashCount) {
  for (std::uint64_t Other = 1; Other <= 5; ++Other)
    crash(1, Other);
  Time.advance(milliseconds(5));
  crash(1);
  Time.advance(seconds(1));
  EXPECT_EQ(crash(2), CrashResult::Quarantined);
  // A target is steady again after a while.
  Time.advance(seconds(10));
  crash(1, 77);
  EXPECT_EQ(crash(2, 77), CrashResult::Quarantined);
}

TEST_F(Quarantine, RetryWaitsForTheEvidenceOfPeers) {
  crash(1);
  TimePoint CrashedAt = Time.now();
  CrashRetryDecision Decision =
      decideCrashRetry(State, Request, CrashedAt, Time.now());
  EXPECT_EQ(Decision.Kind, CrashRetryKind::Wait);
  Time.advance(Decision.RecheckAt - Time.now());
  EXPECT_EQ(decideCrashRetry(State, Request, CrashedAt, Time.now()).Kind,
            CrashRetryKind::Retry);
  crash(2);
  EXPECT_EQ(decideCrashRetry(State, Request, CrashedAt, Time.now()).Kind,
            CrashRetryKind::Refuse);
}

// Guards against a restarted host that runs a request which all others refuse.
TEST_F(Quarantine, NewHostRefusesAfterItWasTold) {
  crash(1);
  crash(2);
  crash(3, Request + 1);
  QuarantineState NewHost;
  for (const CrashSnapshotEntry &Known : crashSnapshot(State, 10, Time.now()))
    recordCrash(NewHost, Known.Fingerprint, Known.Target, Time.now());
  EXPECT_FALSE(mayDispatch(NewHost, Request, Time.now()));
  EXPECT_TRUE(mayDispatch(NewHost, Request + 1, Time.now()));
  EXPECT_TRUE(hasCrashEvidence(NewHost, Request + 1));
  EXPECT_FALSE(hasCrashEvidence(NewHost, Request + 2));
  Time.advance(minutes(11));
  EXPECT_TRUE(crashSnapshot(State, 10, Time.now()).empty());
}

TEST_F(Quarantine, OnlyBadGatewayIsACrashStatus) {
  for (unsigned Status : {200U, 404U, 500U, 503U, 504U})
    EXPECT_FALSE(isCrashStatus(Status));
  EXPECT_TRUE(isCrashStatus(502));
}

// Guards against memory without bound, a quarantine without end, and state that
// an answer does not clear, under any sequence of events.
RC_GTEST_PROP(QuarantineProperty, MemoryAndTimeAreBounded, ()) {
  QuarantineState State;
  State.Limits.RequestsMaximum = 8;
  State.Limits.BrokenTargetsMaximum = 8;
  ManualClock Time;
  auto Events = *rc::gen::container<std::vector<std::uint32_t>>(
      400, rc::gen::arbitrary<std::uint32_t>());
  for (std::uint32_t Event : Events) {
    std::uint64_t Fingerprint = Event % 20;
    Time.advance(
        milliseconds((Event >> 8) % ((Event >> 30) == 0 ? 30'000 : 500)));
    if ((Event >> 24) % 4 == 0) {
      recordAnswer(State, Fingerprint);
      RC_ASSERT(mayDispatch(State, Fingerprint, Time.now()));
    } else {
      recordCrash(State, Fingerprint, target((Event >> 16) % 30), Time.now());
    }
    RC_ASSERT(State.Requests.size() <= 8U);
    RC_ASSERT(State.BrokenTargets.size() <= 8U);
    RC_ASSERT(State.Order.size() <= 17U);
    for (std::uint64_t Any = 0; Any < 20; ++Any)
      RC_ASSERT(mayDispatch(State, Any, Time.now() + minutes(10)));
  }
}

} // namespace
} // namespace comfreyrill
