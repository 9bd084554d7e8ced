#include <LibDomainChoice/DomainChoice.h>

#include <functional>
#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

/// A domain of 40 targets with two slots each.
DomainCondition condition(const char *Name, double Utilization) {
  DomainCondition Made;
  Made.Domain = FailureDomain(Name);
  Made.Load = {40, 40, 80, static_cast<std::uint32_t>(80 * Utilization), 1};
  Made.Age = 100ms;
  Made.Delay = 1400us;
  return Made;
}

/// Updates a decision with the same input several times.
struct Repeated {
  explicit Repeated(double OwnUtilization) {
    Input.Own = condition("own", OwnUtilization);
    Input.Own.Delay = 0ms;
    Input.Others = {condition("near", 0.5), condition("far", 0.5)};
    Input.Received = 25;
    Input.InFlight = 10;
    Input.WorkTime = 100ms;
  }

  double update(int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      TimeSource.advance(DomainChoiceInterval);
      updateDomainChoice(State, Input, TimeSource.now());
    }
    return leavingShare(State);
  }

  double shareTo(const char *Name) const {
    for (const DomainShare &Entry : State.Shares)
      if (Entry.Domain == FailureDomain(Name))
        return Entry.Share;
    return 0;
  }

  ManualClock TimeSource;
  DomainChoiceInput Input;
  DomainChoiceState State;
};

// Guards against traffic between domains at loads that the own targets can
// take.
TEST(DomainChoice, NothingLeavesBelowTheOwnLimit) {
  Repeated Calm(0.94);
  EXPECT_EQ(Calm.update(20), 0);
}

// Guards against a herd: all hosts of a domain see the same loads.
TEST(DomainChoice, ShareRisesInSteps) {
  Repeated Pressed(1);
  Pressed.Input.Refused = 10;
  double Last = 0;
  for (int Count = 0; Count < 4; ++Count) {
    const double Share = Pressed.update(1);
    EXPECT_LE(Share, Last + 0.2001);
    Last = Share;
  }
  EXPECT_GT(Last, 0.2);
}

// Guards against a domain that alternates between sending and not sending when
// its utilization is just around a threshold.
TEST(DomainChoice, SendingEndsBelowTheThresholdWhereItBegins) {
  Repeated Pressed(1);
  Pressed.Input.Refused = 5;
  EXPECT_GT(Pressed.update(4), 0.1);
  Pressed.Input.Refused = 0;
  Pressed.Input.Own = condition("own", 0.93);
  EXPECT_GT(Pressed.update(4), 0.1);
  Pressed.Input.Own = condition("own", 0.5);
  EXPECT_EQ(Pressed.update(12), 0);
}

// Guards against one rejection of a host with few requests that makes it send.
TEST(DomainChoice, OneRejectionIsNoPressure) {
  Repeated Calm(0.7);
  Calm.Input.Received = 2;
  EXPECT_EQ(Calm.update(4), 0);
  Calm.Input.Refused = 1;
  EXPECT_EQ(Calm.update(1), 0);
}

// Guards against requests that are sent to a neighbor which is no better off,
// evacuated, cold, silent, or not heard of for more than a second.
TEST(DomainChoice, UnfitNeighborsReceiveNothing) {
  const auto Share = [](const std::function<void(DomainCondition &)> &Change) {
    Repeated Pressed(1);
    Pressed.Input.Refused = 5;
    Change(Pressed.Input.Others[0]);
    Pressed.update(8);
    EXPECT_GT(Pressed.shareTo("far"), 0.02);
    return Pressed.shareTo("near");
  };
  EXPECT_GT(Share([](DomainCondition &) {}), 0.02);
  EXPECT_EQ(Share([](DomainCondition &Near) { Near.Load.BusySlots = 78; }), 0);
  EXPECT_EQ(Share([](DomainCondition &Near) { Near.IsEvacuated = true; }), 0);
  EXPECT_EQ(Share([](DomainCondition &Near) { Near.IsSilent = true; }), 0);
  EXPECT_EQ(Share([](DomainCondition &Near) { Near.Load = {}; }), 0);
  EXPECT_EQ(Share([](DomainCondition &Near) { Near.Age = 1100ms; }), 0);
}

// Guards against requests that go on to a neighbor which is evacuated or falls
// silent while it receives them.
TEST(DomainChoice, SendingToAnUnfitNeighborEndsAtOnce) {
  for (const bool IsEvacuated : {false, true}) {
    Repeated Pressed(1);
    Pressed.Input.Refused = 5;
    Pressed.update(8);
    EXPECT_GT(Pressed.shareTo("near"), 0.02);
    Pressed.Input.Others[0].IsEvacuated = IsEvacuated;
    Pressed.Input.Others[0].IsSilent = !IsEvacuated;
    Pressed.update(1);
    EXPECT_EQ(Pressed.shareTo("near"), 0);
    EXPECT_GT(Pressed.shareTo("far"), 0.02);
  }
}

// Guards against a neighbor with slow targets that gets as many requests as one
// with targets of the usual speed.
TEST(DomainChoice, SlowNeighborTakesLess) {
  Repeated Pressed(1);
  Pressed.Input.Refused = 20;
  Pressed.Input.Others[0].Load.Slowdown = 4;
  Pressed.update(2);
  EXPECT_LT(Pressed.shareTo("near"), 0.5 * Pressed.shareTo("far"));
}

// Guards against a domain without usable targets that sends only after a ramp,
// or not at all because nothing is known of its neighbors.
TEST(DomainChoice, DomainWithoutTargetsSendsAtOnce) {
  Repeated Lost(0.5);
  Lost.update(8);
  Lost.Input.Own.Load = {};
  EXPECT_GT(Lost.update(1), 0.5);
  Repeated New(0);
  New.Input.Own.Load = {};
  EXPECT_DOUBLE_EQ(New.update(1), 1);
  for (DomainCondition &Other : New.Input.Others)
    Other.Load = {40, 0, 0, 0, 1};
  EXPECT_DOUBLE_EQ(New.update(1), 1);
  EXPECT_DOUBLE_EQ(New.shareTo("near"), 0.5);
  Repeated Evacuated(0.5);
  Evacuated.Input.Own.IsEvacuated = true;
  EXPECT_DOUBLE_EQ(Evacuated.update(1), 1);
}

// Guards against an evacuated domain that is the last resort of one without
// targets.
TEST(DomainChoice, EvacuatedDomainIsNoLastResort) {
  Repeated Lost(0);
  Lost.Input.Own.Load = {};
  for (DomainCondition &Other : Lost.Input.Others)
    Other.IsEvacuated = true;
  EXPECT_EQ(Lost.update(4), 0);
}

// Guards against hosts that keep the last share when the loads of their own
// targets are no longer known.
TEST(DomainChoice, ShareEndsWithoutKnownOwnLoad) {
  Repeated Pressed(1);
  Pressed.Input.Refused = 5;
  EXPECT_GT(Pressed.update(8), 0.1);
  Pressed.Input.Own.Load = {40, 0, 0, 0, 1};
  EXPECT_EQ(Pressed.update(6), 0);
}

} // namespace
} // namespace comfreyrill
