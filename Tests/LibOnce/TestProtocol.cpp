#include "ProtocolChecker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <iostream>

namespace comfreyrill::testing {
namespace {

// A state costs seven times as much under the address sanitizer.
// COMFREYRILL_CHECKER_STATES raises the limit for an exhaustive run.
std::size_t statesMaximum() {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::size_t Default = 15'000;
#else
  constexpr std::size_t Default = 100'000;
#endif
  const char *Text = std::getenv("COMFREYRILL_CHECKER_STATES");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

void expectNoViolation(const ModelParameters &Parameters) {
  CheckResult Result = checkProtocol(Parameters, statesMaximum());
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

// Guards against faults that need more keys, callers and events at once than
// the exhaustive search reaches.
RC_GTEST_PROP(ProtocolProperty, RandomEventsBreakNoInvariant, ()) {
  ModelParameters Parameters;
  Parameters.Keys = 3;
  Parameters.Fingerprints = 2;
  Parameters.Sends = 12;
  Parameters.Refusals = 2;
  Parameters.IssuerClockSteps = 2;
  Parameters.WitnessClockSteps = 3;
  Parameters.IssuerRestarts = 2;
  Parameters.WitnessRestarts = 2;
  Parameters.Duplicates = 6;
  Parameters.Retries = 3;
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

} // namespace
} // namespace comfreyrill::testing
