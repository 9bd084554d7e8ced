#include "ProtocolChecker.h"

#include <LibCore/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace comfreyrill::testing {
namespace {

// With the default limit, the search is exhaustive for all but the two largest
// sets of events. A state takes seven times as long under the address
// sanitizer, so the limit is lower there. COMFREYRILL_CHECKER_STATES changes
// the limit.
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
  // A search that reaches no reported answer or no reported "not run" would
  // prove nothing.
  EXPECT_GT(Result.ReportedAnswer, 0U);
  EXPECT_GT(Result.ReportedNotRun, 0U);
}

void expectViolation(const ModelParameters &Parameters) {
  CheckResult Result = checkProtocol(Parameters, 200'000);
  EXPECT_FALSE(Result.Violation.empty()) << summary(Result);
  std::cout << summary(Result) << '\n';
}

// Each of these tests guards against two runs under one key, a false "not run"
// and the answer of another request, with the events that its parameters allow.

TEST(Protocol, HoldsWhenIssuerRestarts) {
  expectNoViolation({.Refusals = 1, .IssuerRestarts = 1, .Retries = 1});
}

TEST(Protocol, HoldsWhenIssuerAndWitnessRestart) {
  expectNoViolation({.IssuerRestarts = 1, .WitnessRestarts = 1});
}

TEST(Protocol, HoldsWhenMessagesAreDuplicated) {
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

TEST(Protocol, HoldsWithAllKindsOfEvents) {
  // The first answers are at depth 6, after 15,000 states or more.
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

// Each of the tests below injects one fault into the protocol. They guard
// against a checker that accepts a protocol without the corresponding
// mechanism.

TEST(ProtocolMutation, SealThatIsNotRecordedIsFound) {
  expectViolation({.Faults = {.SealWithoutRecord = true}});
}

TEST(ProtocolMutation, RunWithoutGrantOfTheWitnessIsFound) {
  expectViolation({.Faults = {.SkipWitness = true}});
}

TEST(ProtocolMutation, LateGrantThatIsAcceptedIsFound) {
  expectViolation({.Faults = {.AcceptLateGrants = true}});
}

TEST(ProtocolMutation, IgnoredRanWatermarkOfIssuerIsFound) {
  expectViolation(
      {.IssuerClockSteps = 2, .Faults = {.IgnoreIssuerRanWatermark = true}});
}

TEST(ProtocolMutation, IgnoredSealedWatermarkOfIssuerIsFound) {
  expectViolation({.Keys = 2,
                   .RecordsMaximum = 1,
                   .Sends = 3,
                   .Refusals = 2,
                   .Faults = {.IgnoreIssuerSealedWatermark = true}});
}

TEST(ProtocolMutation, IgnoredGrantedWatermarkOfWitnessIsFound) {
  expectViolation({.WitnessClockSteps = 1,
                   .Faults = {.IgnoreWitnessGrantedWatermark = true}});
}

TEST(ProtocolMutation, IgnoredSealedWatermarkOfWitnessIsFound) {
  expectViolation({.WitnessClockSteps = 1,
                   .Faults = {.IgnoreWitnessSealedWatermark = true}});
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

// Guards against faults that need more keys, callers and events than the
// exhaustive search covers.
RC_GTEST_PROP(ProtocolProperty, RandomEventsBreakNoInvariant, ()) {
  ModelParameters Parameters = manyEvents();
  Parameters.RecordsMaximum = *rc::gen::inRange<std::size_t>(1, 4);
  Parameters.AnswerBytesMaximum = *rc::gen::element<std::size_t>(10, 250, 1024);
  ProtocolModel Model(Parameters);
  SystemState Current = Model.initialState();
  auto Choices = *rc::gen::container<std::vector<std::uint16_t>>(
      300, rc::gen::arbitrary<std::uint16_t>());
  for (std::uint16_t Choice : Choices) {
    std::vector<Action> Actions = Model.enabledActions(Current);
    if (Actions.empty())
      break;
    Current = Model.apply(Current, Actions[Choice % Actions.size()]);
    RC_ASSERT(Model.violation(Current) == std::string());
  }
}

// These actions interrupt calls. If they were as likely as other actions,
// hardly any call would finish in a random walk.
bool isRare(ActionKind Kind) {
  return Kind == ActionKind::RestartIssuer ||
         Kind == ActionKind::RestartWitness ||
         Kind == ActionKind::StepIssuerClock ||
         Kind == ActionKind::StepWitnessClock;
}

// Returns the first seed whose random walk violates an invariant, or the number
// of walks when none does.
std::size_t firstViolatingSeed(const ModelParameters &Parameters,
                               std::size_t Walks) {
  ProtocolModel Model(Parameters);
  for (std::size_t Seed = 0; Seed < Walks; ++Seed) {
    Random Generator(Seed);
    SystemState Current = Model.initialState();
    for (int Step = 0; Step < 300; ++Step) {
      std::vector<Action> Actions = Model.enabledActions(Current);
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

// Guards against the same faults as RandomEventsBreakNoInvariant, with many
// more walks.
TEST(ProtocolProperty, LongRandomWalksBreakNoInvariant) {
  std::size_t Walks = statesMaximum() / 30;
  for (std::size_t RecordsMaximum : {1, 2, 100}) {
    ModelParameters Parameters = manyEvents();
    Parameters.RecordsMaximum = RecordsMaximum;
    EXPECT_EQ(firstViolatingSeed(Parameters, Walks), Walks);
  }
}

// Guards against random walks that are too short or too uniform to find a
// fault.
TEST(ProtocolProperty, RandomWalksFindTheUnrecordedSeal) {
  ModelParameters Parameters = manyEvents();
  Parameters.Faults.SealWithoutRecord = true;
  EXPECT_LT(firstViolatingSeed(Parameters, 10'000), 10'000U);
}

} // namespace
} // namespace comfreyrill::testing
