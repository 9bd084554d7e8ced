#include <LibDomainChoice/NeighborChoice.h>
#include <LibGateway/Admission.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr double BytePrice = 4.3e-6;

LeavingRequest lookup() { return {5'300, 0ms, 250ms, 90ms}; }
LeavingRequest upload() { return {65'000, 0ms, 1500ms, 110ms}; }

ProbedCandidate probed(bool IsLocal, std::uint32_t InFlight, double Slowdown) {
  ProbedCandidate Made;
  Made.Target.IsInLocalDomain = IsLocal;
  Made.Load.InFlight = InFlight;
  Made.Load.Slots = 2;
  Made.Load.Slowdown = Slowdown;
  return Made;
}

// Guards against requests that leave a calm domain after one round of probes,
// and against ones that are held back when there is nothing left to probe.
TEST(NeighborChoice, OwnDomainIsSearchedFirst) {
  const auto MayLeave = [](double Utilization, std::size_t Probed,
                           std::size_t Usable, Duration Waited = 0ms) {
    LeavingRequest Request = lookup();
    Request.Waited = Waited;
    return factorsForNeighbors(Request, {Utilization, Probed, Usable},
                               BytePrice)
        .has_value();
  };
  EXPECT_FALSE(MayLeave(0.3, 3, 40));
  EXPECT_TRUE(MayLeave(0.3, 8, 40));
  EXPECT_TRUE(MayLeave(0.3, 2, 2));
  EXPECT_TRUE(MayLeave(0.6, 3, 40));
  EXPECT_FALSE(MayLeave(0.6, 0, 40));
  EXPECT_TRUE(MayLeave(0.3, 1, 40, SelectionRetryInterval));
}

// Guards against requests that leave for less than their bytes and the delay
// cost, and against a factor below that for requests without a price.
TEST(NeighborChoice, FactorFollowsThePriceAndTheDelay) {
  const auto FactorsFor = [](const LeavingRequest &Request, Duration Delay) {
    return *factorsForNeighbors(Request, {0.6, 3, 40, Delay}, BytePrice);
  };
  EXPECT_EQ(FactorsFor(lookup(), 1400us).Selection, RemoteFactors().Selection);
  EXPECT_EQ(FactorsFor(lookup(), 1400us).Probe, RemoteFactors().Probe);
  // 0.28 of 1,500 ms for a request of 110 ms.
  EXPECT_NEAR(FactorsFor(upload(), 0ms).Selection, 4.81, 0.01);
  EXPECT_GT(FactorsFor(upload(), 0ms).Probe, 4);
  // 5.7 ms for the bytes and 70 ms for the way.
  EXPECT_NEAR(FactorsFor(lookup(), 35ms).Selection, 1.84, 0.01);
  LeavingRequest Unknown = lookup();
  Unknown.WorkTime = 0ms;
  EXPECT_FALSE(factorsForNeighbors(Unknown, {0.6, 3, 40}, BytePrice));
}

// Guards against the use of a target that a request of the other domain needs,
// and of one that is no better than the local one.
TEST(NeighborChoice, OnlyFreeTargetsOfUsualSpeedAreTaken) {
  const auto IsTaken = [&](const ProbedCandidate &Other, double AtHome) {
    return selectStaying({probed(true, 0, AtHome), Other}, {}) == 1U;
  };
  EXPECT_TRUE(IsTaken(probed(false, 0, 1), 4));
  EXPECT_TRUE(IsTaken(probed(false, 1, 1), 4));
  EXPECT_FALSE(IsTaken(probed(false, 1, 1), 1.5));
  EXPECT_FALSE(IsTaken(probed(false, 2, 1), 4));
  EXPECT_FALSE(IsTaken(probed(false, 0, 1.4), 4));
  ProbedCandidate Unusable = probed(false, 0, 1);
  Unusable.Target.IsCold = true;
  EXPECT_FALSE(IsTaken(Unusable, 4));
  Unusable = probed(false, 0, 1);
  Unusable.IsHealthy = false;
  EXPECT_FALSE(IsTaken(Unusable, 4));
  // Without a local target, a slow one is better than none.
  EXPECT_EQ(selectStaying({probed(false, 0, 1.4)}, {}), 0U);
  EXPECT_EQ(selectStaying({}, {}), std::nullopt);
}

} // namespace
} // namespace comfreyrill
