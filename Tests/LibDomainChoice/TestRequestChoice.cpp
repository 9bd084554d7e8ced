#include <LibDomainChoice/RequestChoice.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr double BytePrice = 2e-6;

DomainChoiceState sending(double Share) {
  DomainChoiceState Made;
  Made.Shares = {{FailureDomain("near"), Share, 103ms}};
  Made.OwnExpectedTime = 100ms;
  return Made;
}

LeavingRequest request(double Bytes, Duration LatencyObjective = 250ms) {
  return {Bytes, 0ms, LatencyObjective};
}

/// Share of the requests of each kind that leave when both kinds alternate.
struct Shares {
  double First = 0;
  double Second = 0;
};

Shares sharesThatLeave(const DomainChoiceState &State,
                       const LeavingRequest &First,
                       const LeavingRequest &Second) {
  constexpr int Rounds = 2000;
  RecentCosts Recent;
  Random Generator(20261204);
  Shares Left;
  for (int Round = 0; Round < Rounds; ++Round) {
    if (chooseForRequest(State, Recent, First, BytePrice, Generator)
            .Destination)
      Left.First += 1.0 / Rounds;
    if (chooseForRequest(State, Recent, Second, BytePrice, Generator)
            .Destination)
      Left.Second += 1.0 / Rounds;
  }
  return Left;
}

// Guards against requests of the same size that all leave or all stay.
TEST(RequestChoice, EqualRequestsLeaveByTheShare) {
  const Shares Left =
      sharesThatLeave(sending(0.3), request(2000), request(2000));
  EXPECT_NEAR(Left.First, 0.3, 0.04);
  EXPECT_NEAR(Left.Second, 0.3, 0.04);
}

// Guards against uploads that leave before lookups, and against uploads that
// never leave although more requests must than there are lookups.
TEST(RequestChoice, SmallRequestsLeaveFirst) {
  const Shares Few =
      sharesThatLeave(sending(0.4), request(2000), request(60'000));
  EXPECT_NEAR(Few.First, 0.8, 0.05);
  EXPECT_LT(Few.Second, 0.01);
  const Shares Many =
      sharesThatLeave(sending(0.8), request(2000), request(60'000));
  EXPECT_GT(Many.First, 0.97);
  EXPECT_NEAR(Many.Second, 0.6, 0.05);
}

// Guards against requests that miss their latency objective in the own domain
// while others, which do not, leave in their place.
TEST(RequestChoice, RequestsThatWouldBeLateLeaveFirst) {
  DomainChoiceState State = sending(0.5);
  State.OwnExpectedTime = 220ms;
  const Shares Left =
      sharesThatLeave(State, request(2000, 1500ms), request(20'000, 200ms));
  EXPECT_LT(Left.First, 0.05);
  EXPECT_GT(Left.Second, 0.95);
}

// Guards against a request that is sent away only to be late there.
TEST(RequestChoice, RequestStaysWhenItWouldBeLateOnlyThere) {
  DomainChoiceState State = sending(1);
  State.Shares[0].ExpectedTime = 300ms;
  EXPECT_EQ(sharesThatLeave(State, request(2000), request(2000)).First, 0);
}

// Guards against traffic that costs more than the request is worth, and against
// a rejection of such a request where no own target is left.
TEST(RequestChoice, TooExpensiveRequestsStayUnlessTheDomainIsLost) {
  DomainChoiceState State = sending(1);
  EXPECT_EQ(sharesThatLeave(State, request(600'000), request(600'000)).First,
            0);
  State.IsOwnLost = true;
  EXPECT_NEAR(sharesThatLeave(State, request(600'000), request(600'000)).First,
              1, 1e-9);
}

// Guards against a factor that does not grow with the bytes, and against
// handicapping remote targets where there are no others.
TEST(RequestChoice, FactorsFollowThePrice) {
  RecentCosts Recent;
  Random Generator(20261204);
  DomainChoiceState State = sending(1);
  const auto Factors = [&](double Bytes) {
    return chooseForRequest(State, Recent, request(Bytes), BytePrice, Generator)
        .Factors;
  };
  EXPECT_NEAR(Factors(2000).Selection, 1.004, 1e-9);
  EXPECT_NEAR(Factors(60'000).Selection, 1.12, 1e-9);
  EXPECT_LT(Factors(2000).Probe, 1);
  State.IsOwnLost = true;
  EXPECT_EQ(Factors(60'000).Selection, 1);
  EXPECT_EQ(Factors(60'000).Probe, 1);
  State = {};
  EXPECT_GE(Factors(2000).Selection, 4);
  EXPECT_GE(Factors(2000).Probe, 4);
}

// Guards against sending all requests to one of two neighbors.
TEST(RequestChoice, DestinationsAreDrawnByTheirShares) {
  DomainChoiceState State = sending(0.2);
  State.Shares.push_back({FailureDomain("far"), 0.6, 103ms});
  RecentCosts Recent;
  Random Generator(20261204);
  int Near = 0;
  int Far = 0;
  for (int Round = 0; Round < 2000; ++Round) {
    const auto Choice =
        chooseForRequest(State, Recent, request(2000), BytePrice, Generator);
    if (Choice.Destination)
      ++(*Choice.Destination == FailureDomain("near") ? Near : Far);
  }
  EXPECT_NEAR(Near / 2000.0, 0.2, 0.03);
  EXPECT_NEAR(Far / 2000.0, 0.6, 0.03);
}

} // namespace
} // namespace comfreyrill
