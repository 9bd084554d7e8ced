#include "SoakBook.h"

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

ArrivalRecord arrival(std::string Request, TimePoint At = Start) {
  return {std::move(Request), "t1", 0, At, true};
}

// Each guards against a soak that cannot fail.
TEST(SoakBook, DoubleRunIsFound) {
  SoakBook Book;
  Book.Calls = {call("a", 200), call("b", 200)};
  Book.Arrivals = {arrival("a"), arrival("b")};
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Arrivals.push_back(arrival("a"));
  EXPECT_EQ(findViolations(Book).size(), 1U);
}

TEST(SoakBook, FalseNotRunIsFound) {
  SoakBook Book;
  Book.Calls = {call("a", 503)};
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Arrivals = {arrival("a")};
  EXPECT_EQ(findViolations(Book).size(), 1U);
}

TEST(SoakBook, WrongAnswerIsFound) {
  SoakBook Book;
  Book.Calls = {call("a", 200)};
  Book.Calls.front().HasOwnBody = false;
  EXPECT_EQ(findViolations(Book).size(), 1U);
}

TEST(SoakBook, CutCallIsFoundUnlessItsHostWasDisturbed) {
  SoakBook Book;
  Book.Calls = {call("a", std::nullopt)};
  Book.Calls.front().IsCut = true;
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Arrivals = {arrival("a")};
  EXPECT_EQ(findViolations(Book).size(), 1U);
  Book.Disturbances = {{1, Start, Start}};
  EXPECT_EQ(findViolations(Book).size(), 1U);
  Book.Disturbances = {{std::nullopt, Start - 2s, Start - 2s}};
  EXPECT_TRUE(findViolations(Book).empty());
}

TEST(SoakBook, LateRequestToADrainingTargetIsFound) {
  SoakBook Book;
  Book.DrainedTargets = {{Start, "t1", 0}};
  Book.Arrivals = {arrival("a", Start + 1900ms)};
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Arrivals = {arrival("a", Start + 2100ms)};
  EXPECT_EQ(findViolations(Book).size(), 1U);
}

TEST(SoakBook, LateAndRevertedConfigurationsAreFound) {
  SoakBook Book;
  Book.Configurations = {{Start - 3s, "", 4}};
  Book.Calls = {call("a", 404)};
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Calls.front().RouteVersion = 4;
  EXPECT_EQ(findViolations(Book).size(), 1U);
  Book.Configurations.clear();
  EXPECT_TRUE(findViolations(Book).empty());
  Book.Calls.push_back(call("b", 200));
  Book.Calls.back().RouteVersion = 4;
  Book.Calls.back().EndedAt = Start - 300ms;
  EXPECT_EQ(findViolations(Book).size(), 1U);
}

} // namespace
} // namespace comfreyrill::soak
