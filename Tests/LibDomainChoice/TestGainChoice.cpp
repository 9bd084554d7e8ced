#include <LibDomainChoice/GainChoice.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr double BytePrice = 4.3e-6;

ProbedCandidate probed(bool IsLocal, std::uint32_t InFlight, double Slowdown) {
  ProbedCandidate Made;
  Made.Target.IsInLocalDomain = IsLocal;
  Made.Load.InFlight = InFlight;
  Made.Load.Slots = 2;
  Made.Load.Slowdown = Slowdown;
  return Made;
}

GainRequest lookup() { return {5'300, 0ms, 250ms, 90ms}; }
GainRequest upload() { return {65'000, 0ms, 1500ms, 110ms}; }

DomainCondition neighbor() {
  DomainCondition Made;
  Made.Domain = FailureDomain("east");
  Made.Load = {10, 10, 20, 6, 1, false};
  Made.Age = 300ms;
  Made.Delay = 1400us;
  return Made;
}

DomainChoiceInput inputWith(const DomainCondition &Other,
                            std::uint32_t OwnBusy = 14) {
  DomainChoiceInput Made;
  Made.Own.Load = {10, 10, 20, OwnBusy, 1, false};
  Made.Others = {Other};
  return Made;
}

std::size_t countFor(const DomainCondition &Other) {
  return gainDestinations(inputWith(Other), TimePoint{} + 10s).size();
}

// Guards against requests that are sent to a domain which cannot take them, or
// of which nothing recent is known.
TEST(GainChoice, UnusableDomainsAreNoDestinations) {
  EXPECT_EQ(countFor(neighbor()), 1U);
  EXPECT_TRUE(gainDestinations(inputWith(neighbor(), 7), TimePoint{}).empty());
  DomainCondition Other = neighbor();
  Other.Load.IsPressed = true;
  EXPECT_EQ(countFor(Other), 0U);
  Other = neighbor();
  Other.Load.BusySlots = 8;
  EXPECT_EQ(countFor(Other), 0U);
  Other = neighbor();
  Other.Load.KnownTargets = 0;
  EXPECT_EQ(countFor(Other), 0U);
  Other = neighbor();
  Other.Age = 1001ms;
  EXPECT_EQ(countFor(Other), 0U);
  Other = neighbor();
  Other.IsEvacuated = true;
  EXPECT_EQ(countFor(Other), 0U);
  Other = neighbor();
  Other.IsSilent = true;
  EXPECT_EQ(countFor(Other), 0U);
}

// Guards against requests that leave without need or for less than their bytes
// cost, and against late ones that stay.
TEST(GainChoice, OnlyTheGainAboveThePriceOfTheBytesOpensAnotherDomain) {
  const TimePoint Now = TimePoint{} + 10s;
  const auto Destinations = gainDestinations(inputWith(neighbor()), Now);
  Random Generator{1};
  const auto MayLeave = [&](const GainRequest &Request,
                            const std::vector<ProbedCandidate> &Probed,
                            TimePoint At) {
    return chooseByGain(Destinations, Request, Probed, BytePrice, At, Generator)
        .has_value();
  };
  EXPECT_FALSE(MayLeave(lookup(), {}, Now));
  EXPECT_FALSE(MayLeave(lookup(), {probed(true, 0, 1)}, Now));
  EXPECT_TRUE(MayLeave(lookup(), {probed(true, 0, 4)}, Now));
  EXPECT_FALSE(MayLeave(lookup(), {probed(true, 0, 4)}, Now + 701ms));
  // 330 ms of 1,500 ms are worth less than 65 kB.
  EXPECT_FALSE(MayLeave(upload(), {probed(true, 0, 4)}, Now));
  GainRequest Waiting = upload();
  Waiting.Waited = 1200ms;
  EXPECT_TRUE(MayLeave(Waiting, {probed(true, 0, 4)}, Now));
}

// Guards against the use of a target that a request of the other domain needs,
// and of one that is no better than the local one.
TEST(GainChoice, OnlyFreeTargetsOfUsualSpeedAreTaken) {
  GainDestination East;
  East.Delay = 1400us;
  const auto IsTaken = [&](const ProbedCandidate &Other, double AtHome) {
    return selectByGain({probed(true, 0, AtHome), Other}, lookup(), East,
                        BytePrice, {8, 8}) == 1U;
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
}

// Guards against probes in vain in other domains while all are short of slots,
// and against a limit that holds although they find targets.
TEST(GainChoice, ProbesInVainAreLimited) {
  Random Generator{1};
  for (const bool IsFound : {false, true}) {
    std::vector<TargetCandidate> Candidates(20);
    for (std::size_t Index = 0; Index < 10; ++Index)
      Candidates[Index].IsInLocalDomain = true;
    GainCredit Credit;
    int Others = 0;
    for (int Round = 0; Round < 100; ++Round) {
      for (const TargetCandidate &Chosen :
           selectProbesByGain(Candidates, 5, Credit, Generator, {8, 8}))
        Others += Chosen.IsInLocalDomain ? 0 : 1;
      if (IsFound)
        recordTaken(Credit);
    }
    if (IsFound)
      EXPECT_EQ(Others, 200);
    else
      EXPECT_LT(Others, 0.1 * 500);
  }
}

} // namespace
} // namespace comfreyrill
