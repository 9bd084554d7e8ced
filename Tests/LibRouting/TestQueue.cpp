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
  void finishAttemptsEvery(Duration Interval) {
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

// Guards against queueing calls that cannot be answered before their deadline.
TEST_F(QueueTest, CallsTooLateForTheirDeadlineAreRefused) {
  configure(1);
  finishAttemptsEvery(std::chrono::milliseconds(100));
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

// Guards against refusing a call because of a preceding time without traffic.
TEST_F(QueueTest, IdleTimeDoesNotIncreaseExpectedWait) {
  configure(1);
  finishAttemptsEvery(std::chrono::milliseconds(20));
  Time.advance(std::chrono::hours(1));
  attempt(0, AttemptEnd::Answered);
  EXPECT_EQ(join(1, std::chrono::seconds(1)), Admission::Admitted);
}

// Guards against dispatching a call that can no longer be answered before its
// deadline.
TEST_F(QueueTest, ExpiredCallsAreRemoved) {
  configure(1);
  EXPECT_EQ(join(1, std::chrono::milliseconds(100)), Admission::Admitted);
  EXPECT_EQ(join(2), Admission::Admitted);
  Time.advance(std::chrono::milliseconds(90));
  const auto Late =
      removeExpired(State.Queue, std::chrono::milliseconds(20), Time.now());
  EXPECT_EQ(Late, std::vector<std::uint64_t>{1});
  EXPECT_EQ(headOfQueue(State.Queue), 2U);
}

// Guards against a standing queue under overload, and against treating a short
// burst as overload.
TEST_F(QueueTest, OverloadRefusesEarly) {
  Config.QueueLength = 1000;
  configure(1);
  finishAttemptsEvery(std::chrono::milliseconds(20));
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

// Guards against one service using up the call limit of a host, and against
// leaving capacity unused while the other services are idle.
TEST(FairShare, BusyHostSharesByWeight) {
  HostUsage Usage;
  Usage.CallsMaximum = 100;
  const ServiceName BusyService("loud");
  const ServiceName OtherService("quiet");
  setServiceWeight(Usage, BusyService, 3);
  setServiceWeight(Usage, OtherService, 1);
  int BusyServiceCalls = 0;
  while (tryAdmitCall(Usage, BusyService))
    ++BusyServiceCalls;
  EXPECT_EQ(BusyServiceCalls, 100);
  for (int Call = 0; Call < 30; ++Call)
    releaseCall(Usage, BusyService);
  int OtherServiceCalls = 0;
  while (tryAdmitCall(Usage, OtherService))
    ++OtherServiceCalls;
  EXPECT_EQ(OtherServiceCalls, 25);
  EXPECT_TRUE(tryAdmitCall(Usage, BusyService));
}

TEST(FairShare, ServiceAboveItsShareIsRefused) {
  HostUsage Usage;
  Usage.CallsMaximum = 100;
  const ServiceName BusyService("loud");
  const ServiceName OtherService("quiet");
  setServiceWeight(Usage, BusyService, 1);
  setServiceWeight(Usage, OtherService, 1);
  ASSERT_TRUE(tryAdmitCall(Usage, OtherService));
  int BusyServiceCalls = 0;
  while (tryAdmitCall(Usage, BusyService))
    ++BusyServiceCalls;
  EXPECT_EQ(BusyServiceCalls, 50);
  EXPECT_TRUE(tryAdmitCall(Usage, OtherService));
}

} // namespace
} // namespace comfreyrill
