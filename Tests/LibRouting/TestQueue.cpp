#include "Fixture.h"

#include <LibRouting/FairShare.h>

namespace comfreyrill {
namespace {

class QueueTest : public RoutingTest {
protected:
  Admission join(std::uint64_t WaiterId,
                 Duration Left = std::chrono::seconds(5)) {
    recordCall(State, Time.now());
    return admitToQueue(State, WaiterId, Time.now() + Left, Time.now());
  }
  void finishEvery(Duration Interval) {
    for (int Answer = 0; Answer < 200; ++Answer)
      attempt(0, AttemptEnd::Answered, Interval);
  }
};

// Guards against a queue that grows without bound.
TEST_F(QueueTest, LengthIsBounded) {
  Config.QueueLength = 2;
  configure(1);
  EXPECT_EQ(join(1), Admission::Admitted);
  EXPECT_EQ(join(2), Admission::Admitted);
  EXPECT_EQ(join(3), Admission::QueueFull);
  EXPECT_EQ(headOfQueue(State.Queue), 1U);
  removeFromQueue(State.Queue, 1);
  EXPECT_EQ(headOfQueue(State.Queue), 2U);
}

// Guards against calls that wait in vain until their deadline.
TEST_F(QueueTest, DeadlineIsInView) {
  configure(1);
  finishEvery(std::chrono::milliseconds(100));
  EXPECT_EQ(join(1, std::chrono::milliseconds(150)),
            Admission::DeadlineTooClose);
  EXPECT_EQ(join(2, std::chrono::milliseconds(250)), Admission::Admitted);
  EXPECT_EQ(join(3, std::chrono::milliseconds(250)),
            Admission::DeadlineTooClose);
  // With four calls in flight one ends every 25 ms.
  for (int Call = 0; Call < 4; ++Call)
    recordAttemptStart(State, 0, Time.now());
  EXPECT_EQ(join(4, std::chrono::milliseconds(250)), Admission::Admitted);
}

// Guards against refusing a call because the host was quiet before.
TEST_F(QueueTest, QuietTimeDoesNotLengthenTheWait) {
  configure(1);
  finishEvery(std::chrono::milliseconds(20));
  Time.advance(std::chrono::hours(1));
  attempt(0, AttemptEnd::Answered);
  EXPECT_EQ(join(1, std::chrono::seconds(1)), Admission::Admitted);
}

// Guards against dispatching a call that cannot be answered in time any more.
TEST_F(QueueTest, LateCallsAreTakenOut) {
  configure(1);
  EXPECT_EQ(join(1, std::chrono::milliseconds(100)), Admission::Admitted);
  EXPECT_EQ(join(2), Admission::Admitted);
  Time.advance(std::chrono::milliseconds(90));
  const auto Late =
      takeExpired(State.Queue, std::chrono::milliseconds(20), Time.now());
  EXPECT_EQ(Late, std::vector<std::uint64_t>{1});
  EXPECT_EQ(headOfQueue(State.Queue), 2U);
}

// Guards against a standing queue under overload and against treating a short
// burst as overload.
TEST_F(QueueTest, OverloadRefusesEarly) {
  Config.QueueLength = 1000;
  configure(1);
  finishEvery(std::chrono::milliseconds(20));
  for (int Call = 0; Call < 1000; ++Call)
    recordCall(State, Time.now());
  for (std::uint64_t WaiterId = 0; WaiterId < 5; ++WaiterId)
    EXPECT_EQ(join(WaiterId), Admission::Admitted);
  Admission Last = Admission::Admitted;
  for (std::uint64_t WaiterId = 5; WaiterId < 100; ++WaiterId)
    Last = join(WaiterId);
  EXPECT_EQ(Last, Admission::Overloaded);
  Time.advance(std::chrono::milliseconds(20));
  EXPECT_GE(removeExpiredCalls(State, Time.now()).size(), 5U);
  EXPECT_FALSE(headOfQueue(State.Queue));
}

// Guards against one service taking a host's places from all others, and
// against places that stay empty while others are idle.
TEST(FairShare, BusyHostSharesByWeight) {
  HostUsage Usage;
  Usage.CallsMaximum = 100;
  const ServiceName Loud("loud");
  const ServiceName Quiet("quiet");
  setServiceWeight(Usage, Loud, 3);
  setServiceWeight(Usage, Quiet, 1);
  int LoudCalls = 0;
  while (tryAdmitCall(Usage, Loud))
    ++LoudCalls;
  EXPECT_EQ(LoudCalls, 100);
  for (int Call = 0; Call < 30; ++Call)
    releaseCall(Usage, Loud);
  int QuietCalls = 0;
  while (tryAdmitCall(Usage, Quiet))
    ++QuietCalls;
  EXPECT_EQ(QuietCalls, 25);
  EXPECT_TRUE(tryAdmitCall(Usage, Loud));
}

TEST(FairShare, ServiceAboveItsShareIsRefused) {
  HostUsage Usage;
  Usage.CallsMaximum = 100;
  const ServiceName Loud("loud");
  const ServiceName Quiet("quiet");
  setServiceWeight(Usage, Loud, 1);
  setServiceWeight(Usage, Quiet, 1);
  ASSERT_TRUE(tryAdmitCall(Usage, Quiet));
  int LoudCalls = 0;
  while (tryAdmitCall(Usage, Loud))
    ++LoudCalls;
  EXPECT_EQ(LoudCalls, 50);
  EXPECT_TRUE(tryAdmitCall(Usage, Quiet));
}

} // namespace
} // namespace comfreyrill
