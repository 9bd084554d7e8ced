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
  bool isPermitted(std::uint64_t Fingerprint = Request) {
    return mayDispatch(State, Fingerprint, Time.now());
  }

  QuarantineState State;
  ManualClock Time;
};

// Guards against a request that crashes one target after another, and against a
// refusal after a single crash.
TEST_F(Quarantine, RefusesAfterTwoDistinctTargets) {
  EXPECT_EQ(crash(1), CrashResult::Counted);
  EXPECT_EQ(crash(1), CrashResult::Known);
  EXPECT_TRUE(isPermitted());
  EXPECT_EQ(crash(2), CrashResult::Quarantined);
  EXPECT_FALSE(isPermitted());
  EXPECT_TRUE(isPermitted(Request + 1));
  EXPECT_EQ(crash(3), CrashResult::Known);
}

TEST_F(Quarantine, EvidenceCountsForTenMinutes) {
  crash(1);
  Time.advance(minutes(10));
  EXPECT_EQ(crash(2), CrashResult::Counted);
  EXPECT_TRUE(isPermitted());
}

// Guards against a quarantine that ends early because its first evidence is
// old, and against a quarantine that never ends.
TEST_F(Quarantine, EndsTenMinutesAfterTheLastEvidence) {
  crash(1);
  Time.advance(minutes(9));
  crash(2);
  Time.advance(minutes(1));
  // A copy of the request was in flight.
  crash(3);
  Time.advance(minutes(10) - std::chrono::nanoseconds(1));
  EXPECT_FALSE(isPermitted());
  Time.advance(std::chrono::nanoseconds(1));
  EXPECT_TRUE(isPermitted());
  EXPECT_EQ(crash(1), CrashResult::Counted);
}

// Guards against a frequent lookup that stays refused because it was in flight
// at two targets that crashed for another reason.
TEST_F(Quarantine, AnswerClearsEvidenceAndLiftsTheQuarantine) {
  EXPECT_FALSE(recordAnswer(State, Request));
  crash(1);
  EXPECT_TRUE(recordAnswer(State, Request));
  crash(2);
  EXPECT_TRUE(isPermitted());
  crash(3);
  EXPECT_FALSE(isPermitted());
  // A third copy was in flight at another target and is answered now.
  EXPECT_TRUE(recordAnswer(State, Request));
  EXPECT_TRUE(isPermitted());
  EXPECT_FALSE(recordAnswer(State, Request));
}

// Guards against two unstable targets that put many lookups into quarantine,
// each by crashing on the lookup and on its retry.
TEST_F(Quarantine, UnstableTargetsDoNotQuarantineRequests) {
  crash(1, 1);
  crash(2, 1);
  for (std::uint64_t Lookup = 100; Lookup < 200; ++Lookup) {
    Time.advance(milliseconds(200));
    crash(1, Lookup);
    crash(2, Lookup);
    EXPECT_TRUE(isPermitted(Lookup));
  }
}

// Guards against a request that is never quarantined because the targets that
// it crashes are unstable.
TEST_F(Quarantine, FourUnstableTargetsQuarantine) {
  for (std::size_t Target = 1; Target <= 4; ++Target)
    crash(Target, 1000 + Target);
  Time.advance(seconds(1));
  for (std::size_t Target = 1; Target <= 3; ++Target)
    crash(Target);
  EXPECT_TRUE(isPermitted());
  EXPECT_EQ(crash(4), CrashResult::Quarantined);
  EXPECT_FALSE(isPermitted());
}

// Guards against newer evidence from another target extending the lifetime of
// old evidence.
TEST_F(Quarantine, EachPieceOfEvidenceExpiresByItself) {
  crash(1);
  Time.advance(minutes(9));
  crash(2, 1000);
  Time.advance(seconds(1));
  EXPECT_EQ(crash(2), CrashResult::Counted);
  Time.advance(minutes(2));
  EXPECT_EQ(crash(3), CrashResult::Counted);
  EXPECT_TRUE(isPermitted());
}

// Guards against missing a request because other requests were in flight at the
// target that it crashed.
TEST_F(Quarantine, AllRequestsOfOneCrashBurstCount) {
  for (std::uint64_t Other = 1; Other <= 5; ++Other)
    crash(1, Other);
  Time.advance(milliseconds(5));
  crash(1);
  Time.advance(seconds(1));
  EXPECT_EQ(crash(2), CrashResult::Quarantined);
  // The targets are stable again after 10 s without a crash.
  Time.advance(seconds(10));
  crash(1, 77);
  EXPECT_EQ(crash(2, 77), CrashResult::Quarantined);
}

TEST_F(Quarantine, RetryWaitsForEvidenceOfPeers) {
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

// Guards against a restarted host that dispatches a request which all other
// hosts refuse.
TEST_F(Quarantine, NewHostRefusesAfterCrashSnapshot) {
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

// Guards against unbounded memory, a quarantine that never ends, and state that
// an answer does not clear, for any sequence of events.
RC_GTEST_PROP(QuarantineProperty, MemoryAndTimeAreBounded, ()) {
  QuarantineState State;
  State.Limits.RequestsMaximum = 8;
  State.Limits.CrashedTargetsMaximum = 8;
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
    RC_ASSERT(State.CrashedTargets.size() <= 8U);
    RC_ASSERT(State.ExpiryOrder.size() <= 17U);
    for (std::uint64_t Any = 0; Any < 20; ++Any)
      RC_ASSERT(mayDispatch(State, Any, Time.now() + minutes(10)));
  }
}

} // namespace
} // namespace comfreyrill
