#include <LibOnce/Relay.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

SealReply finished(CallOutcome Outcome, std::optional<std::string> Answer) {
  return {SealVerdict::Finished,
          std::make_shared<const StoredOutcome>(
              StoredOutcome{Outcome, "stored", std::move(Answer), 5})};
}

// Guards against the outcome "not run" without a seal or a stored outcome of
// the witness.
TEST(Relay, OnlyTheWitnessProvesNotRun) {
  struct Case {
    SealVerdict Verdict;
    CallOutcome Reported;
  };
  for (Case Expected :
       {Case{SealVerdict::Sealed, CallOutcome::NotRun},
        Case{SealVerdict::MayHaveRun, CallOutcome::Unknown},
        Case{SealVerdict::WrongIncarnation, CallOutcome::Unknown},
        Case{SealVerdict::Expired, CallOutcome::Unknown},
        // The reply contains no stored outcome.
        Case{SealVerdict::Finished, CallOutcome::Unknown},
        // A verdict of a newer protocol version.
        Case{SealVerdict{99}, CallOutcome::Unknown}}) {
    SealReply Reply{Expected.Verdict, nullptr};
    RelayDecision Decision = decideAfterWitness(&Reply, 5);
    EXPECT_EQ(Decision.Outcome, Expected.Reported);
    EXPECT_EQ(Decision.NeedsNextKey, Expected.Reported == CallOutcome::NotRun);
  }
  EXPECT_EQ(decideAfterWitness(nullptr, 5).Outcome, CallOutcome::Unknown);
}

TEST(Relay, StoredOutcomesAreReturned) {
  SealReply Reply = finished(CallOutcome::Answer, "body");
  RelayDecision Decision = decideAfterWitness(&Reply, 5);
  EXPECT_EQ(Decision.Outcome, CallOutcome::Answer);
  EXPECT_EQ(Decision.Stored->Answer, "body");
  Reply = finished(CallOutcome::NotRun, std::nullopt);
  EXPECT_EQ(decideAfterWitness(&Reply, 5).Outcome, CallOutcome::NotRun);
  EXPECT_TRUE(decideAfterWitness(&Reply, 5).NeedsNextKey);
  Reply = finished(CallOutcome::Unknown, std::nullopt);
  EXPECT_EQ(decideAfterWitness(&Reply, 5).Outcome, CallOutcome::Unknown);
}

// Guards against the answer of another caller when two requests use one key,
// and against an empty answer when the peer sent none.
TEST(Relay, AnswersOfOtherRequestsAreNotReturned) {
  SealReply Reply = finished(CallOutcome::Answer, "body");
  RelayDecision Decision = decideAfterWitness(&Reply, 6);
  EXPECT_EQ(Decision.Outcome, CallOutcome::NotRun);
  EXPECT_TRUE(Decision.Conflict);
  EXPECT_EQ(Decision.Stored, nullptr);
  Reply = finished(CallOutcome::Answer, std::nullopt);
  EXPECT_EQ(decideAfterWitness(&Reply, 5).Outcome, CallOutcome::Unknown);
}

// Guards against waiting for a witness when the key has none.
TEST(Relay, KeyWithoutWitnessIsUnknownOnceItsIssuerIsGone) {
  IdempotencyKey Key;
  for (IssuerResult Result :
       {IssuerResult::Unreachable, IssuerResult::OtherIncarnation,
        IssuerResult::TimedOut}) {
    EXPECT_EQ(decideAfterIssuer(Key, Result), RelayStep::ReportUnknown);
    IdempotencyKey KeyWithWitness;
    KeyWithWitness.Witness = HostProcess{};
    EXPECT_EQ(decideAfterIssuer(KeyWithWitness, Result), RelayStep::AskWitness);
  }
  EXPECT_EQ(decideAfterIssuer(Key, IssuerResult::Answered),
            RelayStep::ReturnIssuerResult);
}

} // namespace
} // namespace comfreyrill
