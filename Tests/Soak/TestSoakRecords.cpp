#include "SoakRecords.h"

#include <gtest/gtest.h>

namespace comfreyrill::soak {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};

CallRecord call(std::string Request, std::optional<unsigned> Status) {
  CallRecord Made;
  Made.Request = std::move(Request);
  Made.IsAtMostOnce = true;
  Made.SentAt = Start;
  Made.EndedAt = Start + 100ms;
  Made.Status = Status;
  Made.HasOwnBody = true;
  return Made;
}

// A call at a time after Start, as the only one of its request.
CallRecord callAt(std::string Request, TimePoint SentAt) {
  CallRecord Made = call(std::move(Request), 200);
  Made.SentAt = SentAt;
  Made.EndedAt = SentAt + 100ms;
  Made.Responder = TargetProcess{"t1"};
  return Made;
}

ArrivalRecord arrival(std::string Request, TimePoint At = Start) {
  return {std::move(Request), {"t1"}, 0, At, true};
}

// Each test guards against a soak run that does not report a violation.
TEST(SoakRecords, DoubleRunIsFound) {
  SoakRecords Records;
  Records.Calls = {call("a", 200), call("b", 200)};
  Records.Arrivals = {arrival("a"), arrival("b")};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals.push_back(arrival("a"));
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

TEST(SoakRecords, FalseNotRunIsFound) {
  SoakRecords Records;
  Records.Calls = {call("a", 503)};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals = {arrival("a")};
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

TEST(SoakRecords, RequestsBeyondALimitAreFound) {
  SoakRecords Records;
  Records.RequestLimits = {{{"t1"}, 1, Start, Start + 20s}};
  const auto Arrive = [&](Duration After, int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Records.Arrivals.push_back(
          arrival(std::to_string(Records.Arrivals.size()), Start + After));
  };
  Arrive(1s, 50);
  Arrive(4s, 6);
  Arrive(7900ms, 5);
  EXPECT_TRUE(findViolations(Records).empty());
  Arrive(7s, 1);
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Disturbances = {{0, Start + 2s, Start + 7s}};
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Restarts = {{0, Start + 2s}};
  EXPECT_TRUE(findViolations(Records).empty());
}

TEST(SoakRecords, WrongAnswerIsFound) {
  SoakRecords Records;
  Records.Calls = {call("a", 200)};
  Records.Calls.front().HasOwnBody = false;
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

TEST(SoakRecords, LostConnectionIsFoundUnlessItsHostWasDisturbed) {
  SoakRecords Records;
  Records.Calls = {call("a", std::nullopt)};
  Records.Calls.front().IsConnectionLost = true;
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals = {arrival("a")};
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Disturbances = {{1, Start, Start}};
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Disturbances = {{std::nullopt, Start - 2s, Start - 2s}};
  EXPECT_TRUE(findViolations(Records).empty());
}

TEST(SoakRecords, LateRequestToADrainingTargetIsFound) {
  SoakRecords Records;
  Records.DrainedTargets = {{Start, {"t1"}, 0}};
  Records.Arrivals = {arrival("a", Start + 1900ms)};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals = {arrival("a", Start + 2100ms)};
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Arrivals.front().Target.Number = 2;
  EXPECT_TRUE(findViolations(Records).empty());
}

TEST(SoakRecords, DrainThatADisturbedHostHasNotLearnedIsFound) {
  SoakRecords Records;
  Records.DrainedTargets = {{Start, {"t1"}, 0}};
  Records.Disturbances = {{std::nullopt, Start + 1s, Start + 2s}};
  Records.Arrivals = {arrival("a", Start + 6900ms)};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals = {arrival("a", Start + 7100ms)};
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

TEST(SoakRecords, DrainedTargetThatIsUsedAgainIsFound) {
  SoakRecords Records;
  Records.DrainedTargets = {{Start, {"t1"}, 0}};
  Records.Disturbances = {{std::nullopt, Start + 2500ms, Start + 3s}};
  Records.Calls = {call("a", 200)};
  Records.Calls.front().SentAt = Start + 1900ms;
  Records.Calls.front().EndedAt = Start + 3s;
  Records.Arrivals = {arrival("a", Start + 3s)};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Calls.front().SentAt = Start + 2800ms;
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Restarts = {{1, Start + 2600ms}};
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Restarts = {{0, Start + 2600ms}};
  EXPECT_TRUE(findViolations(Records).empty());
}

TEST(SoakRecords, RequestToALeavingTargetIsFound) {
  SoakRecords Records;
  Records.Disturbances = {{std::nullopt, Start, Start + 10s}};
  Records.Calls = {callAt("a", Start), callAt("b", Start + 2s)};
  Records.Arrivals = {arrival("a"), arrival("b", Start + 2s)};
  Records.Arrivals.front().IsLeaving = true;
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Calls.back().SentAt = Start + 2200ms;
  EXPECT_EQ(findViolations(Records).size(), 1U);

  SoakRecords Excused = Records;
  Excused.Calls.front().Responder.reset();
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Arrivals.front().IsLeaving = false;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Arrivals.back().IsMisdirected = true;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Arrivals.back().Target.Number = 2;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Calls.back().Lifetime = 2;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Freezes = {{1, Start + 500ms, Start + 1s}};
  EXPECT_EQ(findViolations(Excused).size(), 1U);
  Excused.Freezes = {{0, Start + 500ms, Start + 1s}};
  EXPECT_TRUE(findViolations(Excused).empty());
}

TEST(SoakRecords, RequestsDuringAPauseAreFound) {
  SoakRecords Records;
  for (const auto &[Request, At] :
       {std::pair{"a", Start}, std::pair{"b", Start + 400ms},
        std::pair{"c", Start + 600ms}, std::pair{"d", Start + 2s},
        std::pair{"e", Start + 3100ms}}) {
    Records.Calls.push_back(callAt(Request, At));
    Records.Arrivals.push_back(arrival(Request, At));
  }
  Records.Arrivals.front().HasRun = false;
  Records.Arrivals.front().RetryAfter = 3s;
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals.back().At = Start + 2900ms;
  EXPECT_EQ(findViolations(Records).size(), 1U);

  SoakRecords Excused = Records;
  Excused.Arrivals.front().Target.Number = 2;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Calls.front().Lifetime = 1;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Freezes = {{1, Start + 1s, Start + 2s}};
  EXPECT_EQ(findViolations(Excused).size(), 1U);
  Excused.Freezes = {{0, Start + 1s, Start + 2s}};
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.TargetLinkFaults = {{"t2", Start - 1s, Start + 100ms}};
  EXPECT_EQ(findViolations(Excused).size(), 1U);
  Excused.TargetLinkFaults = {{"t1", Start - 1s, Start + 100ms}};
  EXPECT_TRUE(findViolations(Excused).empty());
}

TEST(SoakRecords, ProbesDuringAPauseAreFound) {
  SoakRecords Records;
  Records.Calls = {callAt("a", Start - 1s)};
  Records.Arrivals = {arrival("a", Start - 1s)};
  Records.Arrivals.front().Connection = 7;
  Records.Probes = {{{"t1"}, 7, Start, 2s},
                    {{"t1"}, 7, Start + 600ms},
                    {{"t1"}, 7, Start + 700ms},
                    {{"t1"}, 7, Start + 2100ms}};
  EXPECT_TRUE(findViolations(Records).empty());
  EXPECT_EQ(countAttributedProbes(Records), 4U);
  Records.Probes.back().At = Start + 1900ms;
  EXPECT_EQ(findViolations(Records).size(), 1U);

  SoakRecords Excused = Records;
  Excused.Probes.front().Target.Number = 2;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Probes.back().Connection = 8;
  EXPECT_TRUE(findViolations(Excused).empty());
  EXPECT_EQ(countAttributedProbes(Excused), 3U);
}

TEST(SoakRecords, ReadyProcessThatAHostDoesNotUseIsFound) {
  SoakRecords Records;
  Records.ReadyTargets = {{{"t1", 2}, {0}, Start, Start + 10s}};
  for (int Count = 0; Count < 99; ++Count)
    Records.Arrivals.push_back(arrival("a", Start + 4s));
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Arrivals.push_back(arrival("a", Start + 9s));
  EXPECT_EQ(findViolations(Records).size(), 1U);

  SoakRecords Excused = Records;
  Excused.ReadyTargets.front().Until = Start + 6900ms;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.ReadyTargets.front().NearHosts = {1};
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Disturbances = {{0, Start, Start + 4s}};
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.TargetLinkFaults = {{"t1", Start, Start + 4s}};
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused = Records;
  Excused.Arrivals.back().Target.Number = 2;
  EXPECT_TRUE(findViolations(Excused).empty());
  Excused.Arrivals.back().Host = 1;
  Excused.Arrivals.push_back(arrival("a", Start + 9s));
  EXPECT_EQ(findViolations(Excused).size(), 1U);
  Excused.Arrivals[99].RetryAfter = 1s;
  EXPECT_EQ(findViolations(Excused).size(), 0U);
}

TEST(SoakRecords, MissingRouteOfTheFirstConfigurationIsFound) {
  SoakRecords Records;
  Records.Disturbances = {{std::nullopt, Start, Start}};
  Records.Calls = {call("a", 503)};
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Calls = {call("a", 404)};
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

TEST(SoakRecords, LateAndRevertedConfigurationsAreFound) {
  SoakRecords Records;
  Records.Configurations = {{Start - 3s, {}, 4}, {Start - 1s, {}, 5}};
  Records.Calls = {call("a", 404)};
  Records.Calls.front().RouteVersion = 5;
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Calls.front().RouteVersion = 4;
  EXPECT_EQ(findViolations(Records).size(), 1U);
  Records.Configurations.clear();
  EXPECT_TRUE(findViolations(Records).empty());
  Records.Calls.push_back(call("b", 200));
  Records.Calls.back().RouteVersion = 4;
  Records.Calls.back().EndedAt = Start - 300ms;
  EXPECT_EQ(findViolations(Records).size(), 1U);
}

} // namespace
} // namespace comfreyrill::soak
