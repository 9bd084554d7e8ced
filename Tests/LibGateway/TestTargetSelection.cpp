#include <LibGateway/TargetSelection.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

TargetCandidate candidate(std::string Id, bool IsInLocalDomain = true) {
  TargetCandidate Made;
  Made.Id = TargetId(std::move(Id));
  Made.IsInLocalDomain = IsInLocalDomain;
  return Made;
}

LoadReport load(std::uint32_t InFlight, std::uint32_t Slots,
                double Slowdown = 1) {
  LoadReport Made;
  Made.InFlight = InFlight;
  Made.Slots = Slots;
  Made.Slowdown = Slowdown;
  return Made;
}

std::string chosen(const std::vector<ProbedCandidate> &Probed) {
  const auto Index = selectTarget(Probed);
  return Index ? Probed[*Index].Target.Id.Value : "";
}

// Guards against selecting a target that has just become slow because it
// reports few in-flight requests.
TEST(TargetSelection, FastTargetIsPreferredToAnIdleSlowOne) {
  EXPECT_EQ(chosen({{candidate("slow"), load(0, 6, 4), true},
                    {candidate("fast"), load(3, 6), true}}),
            "fast");
}

// Guards against congestion: requests take longer when nearly all slots of a
// target are busy.
TEST(TargetSelection, UncongestedTargetIsPreferred) {
  EXPECT_EQ(chosen({{candidate("crowded"), load(4, 6), true},
                    {candidate("free"), load(3, 6), true}}),
            "free");
}

// Guards against traffic between failure domains without a benefit.
TEST(TargetSelection, RemoteTargetIsUsedOnlyWhenClearlyFaster) {
  EXPECT_EQ(chosen({{candidate("far", false), load(0, 6), true},
                    {candidate("near"), load(0, 6, 1.2), true}}),
            "near");
  EXPECT_EQ(chosen({{candidate("far", false), load(0, 6), true},
                    {candidate("near"), load(0, 6, 2), true}}),
            "far");
}

// Guards against a host that opens a connection to each target and uses it
// about once, and against one that keeps to its connections while their targets
// are busy.
TEST(TargetSelection, TargetsWithAnIdleConnectionAreProbedFirst) {
  Random Generator(5);
  const auto NewConnections = [&](const LoadReport &Connected) {
    std::vector<TargetCandidate> Candidates;
    for (int Index = 0; Index < 40; ++Index) {
      Candidates.push_back(candidate("t" + std::to_string(Index)));
      Candidates.back().HasIdleConnection = Index < 8;
      if (Index < 8)
        Candidates.back().LastLoad = Connected;
    }
    std::size_t Count = 0;
    for (int Round = 0; Round < 100; ++Round)
      for (const TargetCandidate &Selected :
           selectProbeCandidates(Candidates, 3, Generator))
        Count += Selected.HasIdleConnection ? 0 : 1;
    return Count;
  };
  EXPECT_LT(NewConnections(load(0, 2)), 90U);
  EXPECT_GT(NewConnections(load(2, 2, 2)), 240U);
}

// Guards against targets that join a calm fleet and are never probed.
TEST(TargetSelection, TargetsThatHaveJoinedLatelyAreProbed) {
  Random Generator(5);
  std::vector<TargetCandidate> Candidates;
  for (int Index = 0; Index < 10; ++Index) {
    Candidates.push_back(candidate("t" + std::to_string(Index)));
    Candidates.back().HasIdleConnection = Index < 5;
    Candidates.back().HasJoinedLately = Index >= 5;
  }
  std::size_t Joined = 0;
  for (int Round = 0; Round < 100; ++Round)
    for (const TargetCandidate &Selected :
         selectProbeCandidates(Candidates, 2, Generator))
      Joined += Selected.HasJoinedLately ? 1 : 0;
  EXPECT_GT(Joined, 70U);
  EXPECT_LT(Joined, 130U);
}

// Guards against a factor that is ignored: a request that is to leave its
// failure domain would stay, and one that is to stay would leave.
TEST(TargetSelection, FactorsOfTheCallerReplaceTheDefaults) {
  const TargetCandidate Local = candidate("local");
  const TargetCandidate Remote = candidate("remote", false);
  const std::vector<ProbedCandidate> Probed{{Local, load(1, 6, 1.1), true},
                                            {Remote, load(1, 6), true}};
  EXPECT_EQ(selectTarget(Probed), 0U);
  EXPECT_EQ(selectTarget(Probed, {1, 1}), 1U);
  EXPECT_EQ(selectTarget(Probed, {2, 1}), 0U);
  Random Generator(20261204);
  EXPECT_EQ(
      selectProbeCandidates({Local, Remote}, 1, Generator, {1, 4}).front().Id,
      Local.Id);
  EXPECT_EQ(selectProbeCandidates({Local, Remote}, 1, Generator, {1, 0.25})
                .front()
                .Id,
            Remote.Id);
}

// Guards against a new connection for nearly every probe in a fleet with
// hundreds of targets, and against a subset that is kept while it is busy.
TEST(TargetSelection, LocalTargetsOutsideTheSubsetAreProbedWhenItIsBusy) {
  Random Generator(3);
  const auto ProbedOutside = [&](const LoadReport &SubsetLoad) {
    std::vector<TargetCandidate> Candidates;
    for (int Index = 0; Index < 100; ++Index) {
      Candidates.push_back(candidate("t" + std::to_string(Index)));
      Candidates.back().IsInPreferredSubset = Index < 20;
      if (Index < 20)
        Candidates.back().LastLoad = SubsetLoad;
    }
    std::size_t Outside = 0;
    for (int Round = 0; Round < 100; ++Round)
      for (const TargetCandidate &Selected :
           selectProbeCandidates(Candidates, 3, Generator))
        Outside += Selected.IsInPreferredSubset ? 0 : 1;
    return Outside;
  };
  EXPECT_EQ(ProbedOutside(load(1, 6)), 0U);
  EXPECT_EQ(ProbedOutside(load(6, 6, 4)), 300U);
}

// Guards against rejecting all requests of a service because its targets
// report themselves as unhealthy although they work.
TEST(TargetSelection, UnhealthyAndSuspectTargetsAreTheLastResort) {
  TargetCandidate Suspect = candidate("doubtful");
  Suspect.IsSuspect = true;
  EXPECT_EQ(chosen({{candidate("ill"), load(0, 6), false},
                    {Suspect, load(0, 6), true},
                    {candidate("well"), load(5, 6, 3), true}}),
            "well");
  EXPECT_EQ(chosen({{candidate("ill"), load(0, 6), false}}), "ill");
  EXPECT_EQ(chosen({}), "");
}

TEST(TargetSelection, UsefulSlotsGiveTheHighestThroughput) {
  EXPECT_EQ(usefulSlots(6), 4U);
  EXPECT_EQ(usefulSlots(2), 2U);
  EXPECT_EQ(usefulSlots(1), 1U);
  EXPECT_EQ(usefulSlots(0), 1U);
  EXPECT_FALSE(hasFreeSlot(load(4, 6)));
  EXPECT_TRUE(hasFreeSlot(load(3, 6)));
  EXPECT_TRUE(hasFreeSlot(load(1, 2)));
}

// Guards against probing targets that were reported busy a moment ago.
TEST(TargetSelection, IdleTargetsAreProbedFirst) {
  std::vector<TargetCandidate> Candidates;
  for (int Index = 0; Index < 10; ++Index) {
    Candidates.push_back(candidate(std::to_string(Index)));
    Candidates.back().LastLoad = Index == 7 ? load(0, 6) : load(6, 6, 4);
    Candidates.back().LoadAge = 10ms;
  }
  Random Generator(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    const auto Probes = selectProbeCandidates(Candidates, 2, Generator);
    ASSERT_EQ(Probes.size(), 2U);
    EXPECT_EQ(Probes.front().Id, TargetId("7"));
  }
}

// Guards against never probing a target again after one report of high load.
TEST(TargetSelection, OldLoadReportsLoseTheirWeight) {
  TargetCandidate Old = candidate("old");
  Old.LastLoad = load(6, 6, 4);
  Old.LoadAge = 5s;
  TargetCandidate Busy = candidate("busy");
  Busy.LastLoad = load(6, 6, 4);
  Busy.LoadAge = 10ms;
  Random Generator(20261204);
  EXPECT_EQ(selectProbeCandidates({Busy, Old}, 1, Generator).front().Id,
            TargetId("old"));
}

TEST(TargetSelection, ProbesAreLimitedByCountAndCandidates) {
  Random Generator(1);
  EXPECT_EQ(selectProbeCandidates({candidate("a")}, 5, Generator).size(), 1U);
  EXPECT_TRUE(selectProbeCandidates({}, 5, Generator).empty());
  EXPECT_TRUE(selectProbeCandidates({candidate("a")}, 0, Generator).empty());
}

} // namespace
} // namespace comfreyrill
