#include <LibPlaces/ColdShare.h>
#include <LibPlaces/TargetShares.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

const TargetId Target("i-7");
const FailureDomain West("west");
constexpr double Rate = 6;

HostId host(std::size_t Index) {
  return HostId("edge-" + std::to_string(Index));
}

/// The view of one of so many hosts, which are all live.
DomainHosts hosts(std::size_t Self, std::size_t Count) {
  DomainHosts Made;
  Made.Self = host(Self);
  Made.Domain = West;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Index != Self)
      Made.Others.push_back({host(Index), true});
  return Made;
}

class ColdTargetsTest : public testing::Test {
protected:
  /// Lets the time pass as on a host that runs.
  void run(Duration Time, const DomainHosts &Hosts) {
    for (Duration Passed{0}; Passed < Time; Passed += 50ms) {
      Now += 50ms;
      updateHosts(Table, Hosts, Now);
    }
  }

  ShareVerdict judge() { return judgeShare(Table, Target, West, Rate, Now); }

  /// Sends as many requests at once as the limit admits.
  int send() {
    int Sent = 0;
    for (; judge().IsAdmitted; ++Sent)
      recordRequest(Table, Target, Now);
    return Sent;
  }

  TargetShareTable Table{coldShare};
  TimePoint Now{1h};
};

// Guards against shares that leave part of the budget unused or exceed it, and
// against hosts that each have a small part of a request per second.
TEST(ColdShare, FewHostsShareTheBudget) {
  for (const double PerSecond : {0.2, 1.0, 2.5, 6.0, 7.0, 20.0, 200.0})
    for (const std::size_t Count : {1U, 2U, 5U, 40U}) {
      std::uint32_t Sum = 0;
      std::size_t Assigned = 0;
      for (std::size_t Index = 0; Index < Count; ++Index) {
        const HostShare Share =
            coldShare(hosts(Index, Count), Target, PerSecond);
        Sum += Share.Requests;
        Assigned += Share.Requests > 0 ? 1 : 0;
        EXPECT_EQ(Share.Window, PerSecond < 1 && Share.Requests > 0 ? 5s : 1s);
      }
      EXPECT_EQ(Sum, std::max(1U, static_cast<std::uint32_t>(PerSecond)))
          << PerSecond << " " << Count;
      EXPECT_LE(Assigned, std::max(1.0, PerSecond / 2));
    }
}

// Guards against one host that is assigned to most cold targets.
TEST(ColdShare, TargetsAreSpreadOverTheHosts) {
  std::map<std::size_t, int> Assignments;
  for (std::size_t Index = 0; Index < 10; ++Index)
    for (int Number = 0; Number < 100; ++Number)
      Assignments[Index] +=
          coldShare(hosts(Index, 10), TargetId("i-" + std::to_string(Number)),
                    Rate)
                      .Requests > 0
              ? 1
              : 0;
  for (const auto &[Index, Count] : Assignments) {
    EXPECT_GT(Count, 10) << Index;
    EXPECT_LT(Count, 60) << Index;
  }
}

// Guards against a budget that stays unused after the assigned hosts have
// failed.
TEST(ColdShare, OtherHostsTakeOverFromLostOnes) {
  std::uint32_t Sum = 0;
  std::size_t Lost = 0;
  while (coldShare(hosts(Lost, 10), Target, Rate).Requests == 0)
    ++Lost;
  for (std::size_t Index = 0; Index < 10; ++Index) {
    DomainHosts View = hosts(Index, 10);
    for (DomainHost &Other : View.Others)
      Other.IsLive = Other.Host != host(Lost);
    if (Index != Lost)
      Sum += coldShare(View, Target, Rate).Requests;
  }
  EXPECT_EQ(Sum, 6U);
}

// Guards against hosts that each take the whole budget because they see no
// other host live, or hear from none.
TEST(ColdShare, CutOffHostsDoNotTakeOverTheBudget) {
  std::uint32_t Sum = 0;
  for (std::size_t Index = 0; Index < 40; ++Index) {
    DomainHosts View = hosts(Index, 40);
    for (DomainHost &Other : View.Others)
      Other.IsLive = false;
    Sum += coldShare(View, Target, Rate).Requests;
    View.IsIsolated = true;
    EXPECT_EQ(coldShare(View, Target, Rate).Requests, 0U);
  }
  EXPECT_LE(Sum, 12U);
}

// Guards against a burst in a second that begins within the previous one.
TEST_F(ColdTargetsTest, ShareHoldsInAnyWindow) {
  const DomainHosts Alone = hosts(0, 1);
  run(3s, Alone);
  EXPECT_EQ(send(), 6);
  EXPECT_EQ(judge().RoomAt, Now + 1s);
  run(950ms, Alone);
  EXPECT_EQ(send(), 0);
  run(50ms, Alone);
  EXPECT_EQ(send(), 6);
}

// Guards against requests to a target that has just become cold, on top of
// those that it has received while it was warm.
TEST_F(ColdTargetsTest, RequestsBeforeTheTargetBecameColdCount) {
  const DomainHosts Alone = hosts(0, 1);
  run(3s, Alone);
  for (int Count = 0; Count < 9; ++Count)
    recordRequest(Table, Target, Now);
  run(200ms, Alone);
  EXPECT_EQ(send(), 0);
  run(800ms, Alone);
  EXPECT_EQ(send(), 6);
}

// Guards against the share of a host that has just started, while an earlier
// process of it or another host may have used it.
TEST_F(ColdTargetsTest, NewAssignmentWaits) {
  EXPECT_EQ(send(), 0);
  run(1950ms, hosts(0, 1));
  EXPECT_EQ(send(), 0);
  EXPECT_TRUE(judge().RoomAt.has_value());
  run(150ms, hosts(0, 1));
  EXPECT_EQ(send(), 6);
}

// Guards against a host that was frozen and uses a share which another host has
// taken over meanwhile.
TEST_F(ColdTargetsTest, HostThatWasFrozenWaits) {
  const DomainHosts Alone = hosts(0, 1);
  run(3s, Alone);
  Now += 4s;
  EXPECT_EQ(send(), 0);
  run(50ms, Alone);
  EXPECT_EQ(send(), 0);
  run(AssignmentDelay, Alone);
  EXPECT_EQ(send(), 6);
}

// Guards against a share that shrinks with each request that another process at
// the address of the target has turned away.
TEST_F(ColdTargetsTest, RequestsThatWereTurnedAwayDoNotCount) {
  run(3s, hosts(0, 1));
  EXPECT_EQ(send(), 6);
  withdrawRequest(Table, Target, Now);
  EXPECT_EQ(send(), 1);
}

// Guards against hosts of other failure domains that use the target, on top of
// those of its own domain.
TEST_F(ColdTargetsTest, OtherDomainsDoNotUseTheTarget) {
  run(3s, hosts(0, 1));
  EXPECT_FALSE(
      judgeShare(Table, Target, FailureDomain("east"), Rate, Now).IsAdmitted);
}

// Guards against a preview that differs from the verdict or records a use.
TEST_F(ColdTargetsTest, PreviewGivesTheVerdictAndRecordsNothing) {
  run(5s, hosts(0, 1));
  EXPECT_TRUE(previewShare(Table, Target, West, Rate, Now).IsAdmitted);
  EXPECT_TRUE(Table.Targets.empty());
  EXPECT_GT(send(), 0);
  const ShareVerdict Full = previewShare(Table, Target, West, Rate, Now);
  EXPECT_FALSE(Full.IsAdmitted);
  EXPECT_EQ(Full.RoomAt, judge().RoomAt);
}

} // namespace
} // namespace comfreyrill
