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

// Guards against a target that has just turned slow and looks idle.
TEST(TargetSelection, FastTargetIsPreferredToAnIdleSlowOne) {
  EXPECT_EQ(chosen({{candidate("slow"), load(0, 6, 4), true},
                    {candidate("fast"), load(3, 6), true}}),
            "fast");
}

// Guards against crowding: work takes longer when nearly all slots are busy.
TEST(TargetSelection, UncrowdedTargetIsPreferred) {
  EXPECT_EQ(chosen({{candidate("crowded"), load(4, 6), true},
                    {candidate("free"), load(3, 6), true}}),
            "free");
}

// Guards against bytes between failure domains that buy nothing.
TEST(TargetSelection, FarTargetIsUsedOnlyWhenClearlyBetter) {
  EXPECT_EQ(chosen({{candidate("far", false), load(0, 6), true},
                    {candidate("near"), load(0, 6, 1.2), true}}),
            "near");
  EXPECT_EQ(chosen({{candidate("far", false), load(0, 6), true},
                    {candidate("near"), load(0, 6, 2), true}}),
            "far");
}

// Guards against a service that is refused because its targets call themselves
// unhealthy without being so.
TEST(TargetSelection, UnhealthyAndSuspectTargetsAreTheLastResort) {
  TargetCandidate Doubtful = candidate("doubtful");
  Doubtful.IsSuspect = true;
  EXPECT_EQ(chosen({{candidate("ill"), load(0, 6), false},
                    {Doubtful, load(0, 6), true},
                    {candidate("well"), load(5, 6, 3), true}}),
            "well");
  EXPECT_EQ(chosen({{candidate("ill"), load(0, 6), false}}), "ill");
  EXPECT_EQ(chosen({}), "");
}

TEST(TargetSelection, UsefulSlotsFinishTheMostWork) {
  EXPECT_EQ(usefulSlots(6), 4U);
  EXPECT_EQ(usefulSlots(2), 2U);
  EXPECT_EQ(usefulSlots(1), 1U);
  EXPECT_EQ(usefulSlots(0), 1U);
  EXPECT_FALSE(hasFreeSlot(load(4, 6)));
  EXPECT_TRUE(hasFreeSlot(load(3, 6)));
  EXPECT_TRUE(hasFreeSlot(load(1, 2)));
}

// Guards against probes that are spent on targets which were just seen busy.
TEST(TargetSelection, ProbesGoToTargetsLastSeenIdle) {
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

// Guards against a target that is never looked at again after a bad report.
TEST(TargetSelection, OldReportsAreForgotten) {
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

TEST(TargetSelection, ProbesAreNoMoreThanTheCandidates) {
  Random Generator(1);
  EXPECT_EQ(selectProbeCandidates({candidate("a")}, 5, Generator).size(), 1U);
  EXPECT_TRUE(selectProbeCandidates({}, 5, Generator).empty());
  EXPECT_TRUE(selectProbeCandidates({candidate("a")}, 0, Generator).empty());
}

} // namespace
} // namespace comfreyrill
