#include "ProtocolChecker.h"

#include <LibCore/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace comfreyrill::testing {
namespace {

// The default exhausts all but the two largest sets of events. A state costs
// seven times as much under the address sanitizer, so that less is explored
// there. COMFREYRILL_CHECKER_STATES changes the limit.
std::size_t statesMaximum() {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::size_t Default = 10'000;
#else
  constexpr std::size_t Default = 150'000;
#endif
  const char *Text = std::getenv("COMFREYRILL_CHECKER_STATES");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

void expectNoViolation(const ModelParameters &Parameters,
                       std::size_t StatesMaximum = statesMaximum()) {
  CheckResult Result = checkProtocol(Parameters, StatesMaximum);
  std::cout << summary(Result) << '\n';
  EXPECT_TRUE(Result.Violation.empty()) << summary(Result);
  // An exploration in which nothing is told proves nothing.
  EXPECT_GT(Result.ToldAnswer, 0U);
  EXPECT_GT(Result.ToldNotRun, 0U);
}

void expectViolation(const ModelParameters &Parameters) {
  CheckResult Result = checkProtocol(Parameters, 200'000);
  EXPECT_FALSE(Result.Violation.empty()) << summary(Result);
  std::cout << summary(Result) << '\n';
}

// Each test guards against two runs of a key, a false "not run" and an answer
// of another request, under the events that its parameters allow.

TEST(Protocol, HoldsWhenIssuerRestarts) {
  expectNoViolation({.Refusals = 1, .IssuerRestarts = 1, .Retries = 1});
}

TEST(Protocol, HoldsWhenIssuerAndWitnessRestart) {
  expectNoViolation({.IssuerRestarts = 1, .WitnessRestarts = 1});
}

TEST(Protocol, HoldsWhenMessagesAreDoubled) {
  expectNoViolation({.IssuerRestarts = 1, .Duplicates = 1});
}

TEST(Protocol, HoldsWhenCallerSendsThreeTimes) {
  expectNoViolation({.Sends = 3, .IssuerRestarts = 1});
}

TEST(Protocol, HoldsWhenClocksDifferAndRecordsAge) {
  expectNoViolation({.IssuerClockSteps = 2, .WitnessClockSteps = 1});
}

TEST(Protocol, HoldsWhenRecordsOverflow) {
  expectNoViolation({.Keys = 2, .RecordsMaximum = 1});
}

TEST(Protocol, HoldsWhenRecordsOverflowAfterThreeSends) {
  expectNoViolation({.Keys = 2, .RecordsMaximum = 1, .Sends = 3});
}

TEST(Protocol, HoldsWhenTwoRequestsUseOneKey) {
  expectNoViolation({.Fingerprints = 2, .IssuerRestarts = 1});
}

TEST(Protocol, HoldsWithoutWitness) {
  expectNoViolation({.HasWitness = false,
                     .Sends = 3,
                     .Refusals = 1,
                     .IssuerRestarts = 1,
                     .Retries = 1,
                     .IssuerClockSteps = 2});
}

TEST(Protocol, HoldsWhenEverythingHappens) {
  // The first answers lie six steps deep, behind 15,000 states and more.
  constexpr std::size_t AtLeast = 30'000;
  expectNoViolation({.Refusals = 1,
                     .IssuerRestarts = 1,
                     .WitnessRestarts = 1,
                     .Duplicates = 1,
                     .Retries = 1,
                     .IssuerClockSteps = 2,
                     .WitnessClockSteps = 1},
                    std::max(statesMaximum(), AtLeast));
}

// The tests below put one fault each into the protocol. They guard against a
// checker that passes a protocol without the mechanism.

TEST(ProtocolMutation, SealThatIsNotRecordedIsFound) {
  expectViolation({.Faults = {.SealWithoutRecord = true}});
}

TEST(ProtocolMutation, RunWithoutGrantOfTheWitnessIsFound) {
  expectViolation({.Faults = {.SkipWitness = true}});
}

TEST(ProtocolMutation, LateGrantThatIsAcceptedIsFound) {
  expectViolation({.Faults = {.AcceptLateGrants = true}});
}

TEST(ProtocolMutation, IgnoredMarkOfRunCallsAtIssuerIsFound) {
  expectViolation(
      {.IssuerClockSteps = 2, .Faults = {.IgnoreIssuerRanMark = true}});
}

TEST(ProtocolMutation, IgnoredMarkOfSealedCallsAtIssuerIsFound) {
  expectViolation({.Keys = 2,
                   .RecordsMaximum = 1,
                   .Sends = 3,
                   .Refusals = 2,
                   .Faults = {.IgnoreIssuerSealedMark = true}});
}

TEST(ProtocolMutation, IgnoredMarkOfGrantsAtWitnessIsFound) {
  expectViolation(
      {.WitnessClockSteps = 1, .Faults = {.IgnoreWitnessGrantedMark = true}});
}

TEST(ProtocolMutation, IgnoredMarkOfSealsAtWitnessIsFound) {
  expectViolation(
      {.WitnessClockSteps = 1, .Faults = {.IgnoreWitnessSealedMark = true}});
}

TEST(ProtocolMutation, RetryWithoutProofIsFound) {
  expectViolation({.Sends = 1, .Faults = {.RetryWithoutProof = true}});
}

TEST(ProtocolMutation, IssuerThatKeepsItsIncarnationIsFound) {
  expectViolation(
      {.IssuerRestarts = 1, .Faults = {.IssuerKeepsIncarnation = true}});
}

TEST(ProtocolMutation, WitnessThatKeepsItsIncarnationIsFound) {
  expectViolation(
      {.WitnessRestarts = 1, .Faults = {.WitnessKeepsIncarnation = true}});
}

TEST(ProtocolMutation, NotRunFromSilentWitnessIsFound) {
  expectViolation({.Faults = {.SilentWitnessMeansNotRun = true}});
}

TEST(ProtocolMutation, RefusalWithoutSealIsFound) {
  expectViolation({.Refusals = 1, .Faults = {.RefuseWithoutSeal = true}});
}

TEST(ProtocolMutation, IgnoredFingerprintIsFound) {
  expectViolation({.Fingerprints = 2, .Faults = {.IgnoreFingerprints = true}});
}

ModelParameters manyEvents() {
  return {.Keys = 3,
          .Fingerprints = 2,
          .Sends = 12,
          .Refusals = 2,
          .IssuerRestarts = 2,
          .WitnessRestarts = 2,
          .Duplicates = 6,
          .Retries = 3,
          .IssuerClockSteps = 2,
          .WitnessClockSteps = 3};
}

// Guards against faults that need more keys, callers and events at once than
// the exhaustive search reaches.
RC_GTEST_PROP(ProtocolProperty, RandomEventsBreakNoInvariant, ()) {
  ModelParameters Parameters = manyEvents();
  Parameters.RecordsMaximum = *rc::gen::inRange<std::size_t>(1, 4);
  Parameters.AnswerBytesMaximum = *rc::gen::element<std::size_t>(10, 250, 1024);
  ProtocolModel Model(Parameters);
  World Current = Model.initial();
  auto Choices = *rc::gen::container<std::vector<std::uint16_t>>(
      300, rc::gen::arbitrary<std::uint16_t>());
  for (std::uint16_t Choice : Choices) {
    std::vector<Action> Actions = Model.enabled(Current);
    if (Actions.empty())
      break;
    Current = Model.apply(Current, Actions[Choice % Actions.size()]);
    RC_ASSERT(Model.violation(Current) == std::string());
  }
}

// Taken as often as any other action, these would end each walk before its
// calls get anywhere.
bool isRare(ActionKind Kind) {
  return Kind == ActionKind::RestartIssuer ||
         Kind == ActionKind::RestartWitness ||
         Kind == ActionKind::StepIssuerClock ||
         Kind == ActionKind::StepWitnessClock;
}

// Returns the first seed whose walk breaks an invariant, or the count of walks.
std::size_t firstBrokenWalk(const ModelParameters &Parameters,
                            std::size_t Walks) {
  ProtocolModel Model(Parameters);
  for (std::size_t Seed = 0; Seed < Walks; ++Seed) {
    Random Generator(Seed);
    World Current = Model.initial();
    for (int Step = 0; Step < 300; ++Step) {
      std::vector<Action> Actions = Model.enabled(Current);
      if (Actions.empty())
        break;
      Action Chosen = Actions[randomIndex(Generator, Actions.size())];
      if (isRare(Chosen.Kind) && randomIndex(Generator, 10) != 0)
        continue;
      Current = Model.apply(Current, Chosen);
      if (std::string Violation = Model.violation(Current);
          !Violation.empty()) {
        std::cout << "seed " << Seed << ": " << Violation << '\n';
        return Seed;
      }
    }
  }
  return Walks;
}

// Guards against the same, over many more walks.
TEST(ProtocolProperty, LongRandomWalksBreakNoInvariant) {
  std::size_t Walks = statesMaximum() / 30;
  for (std::size_t RecordsMaximum : {1, 2, 100}) {
    ModelParameters Parameters = manyEvents();
    Parameters.RecordsMaximum = RecordsMaximum;
    EXPECT_EQ(firstBrokenWalk(Parameters, Walks), Walks);
  }
}

// Guards against walks that are too short or too narrow to find a fault.
TEST(ProtocolProperty, RandomWalksFindTheMissingSeal) {
  ModelParameters Parameters = manyEvents();
  Parameters.Faults.SealWithoutRecord = true;
  EXPECT_LT(firstBrokenWalk(Parameters, 10'000), 10'000U);
}

} // namespace
} // namespace comfreyrill::testing
