#include <LibOnce/Relay.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

SealReply finished(CallOutcome Outcome, std::optional<std::string> Answer) {
  return {SealVerdict::Finished,
          std::make_shared<const StoredOutcome>(
              StoredOutcome{Outcome, "stored", std::move(Answer), 5})};
}

// Guards against "not run" from anything but a seal or a stored outcome.
TEST(Relay, OnlyTheWitnessProvesNotRun) {
  struct Case {
    SealVerdict Verdict;
    CallOutcome Told;
  };
  for (Case Expected :
       {Case{SealVerdict::Sealed, CallOutcome::NotRun},
        Case{SealVerdict::MayHaveRun, CallOutcome::Unknown},
        Case{SealVerdict::WrongIncarnation, CallOutcome::Unknown},
        Case{SealVerdict::Expired, CallOutcome::Unknown},
        // No answer came with it.
        Case{SealVerdict::Finished, CallOutcome::Unknown},
        // A verdict of a later version.
        Case{SealVerdict{99}, CallOutcome::Unknown}}) {
    SealReply Reply{Expected.Verdict, nullptr};
    RelayDecision Decision = decideAfterWitness(&Reply, 5);
    EXPECT_EQ(Decision.Outcome, Expected.Told);
    EXPECT_EQ(Decision.NeedsNextKey, Expected.Told == CallOutcome::NotRun);
  }
  EXPECT_EQ(decideAfterWitness(nullptr, 5).Outcome, CallOutcome::Unknown);
}

TEST(Relay, StoredOutcomesArePassedOn) {
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

// Guards against another caller's answer for a key that is used twice, and
// against an empty answer when a peer sent none.
TEST(Relay, AnswersOfOtherRequestsAreNotPassedOn) {
  SealReply Reply = finished(CallOutcome::Answer, "body");
  RelayDecision Decision = decideAfterWitness(&Reply, 6);
  EXPECT_EQ(Decision.Outcome, CallOutcome::NotRun);
  EXPECT_TRUE(Decision.Conflict);
  EXPECT_EQ(Decision.Stored, nullptr);
  Reply = finished(CallOutcome::Answer, std::nullopt);
  EXPECT_EQ(decideAfterWitness(&Reply, 5).Outcome, CallOutcome::Unknown);
}

// Guards against a wait for a witness that the key does not have.
TEST(Relay, KeyWithoutWitnessIsUnknownOnceItsIssuerIsGone) {
  IdempotencyKey Key;
  for (IssuerResult Result :
       {IssuerResult::Unreachable, IssuerResult::OtherIncarnation,
        IssuerResult::TimedOut}) {
    EXPECT_EQ(decideAfterIssuer(Key, Result), RelayStep::TellUnknown);
    IdempotencyKey Witnessed;
    Witnessed.Witness = HostProcess{};
    EXPECT_EQ(decideAfterIssuer(Witnessed, Result), RelayStep::AskWitness);
  }
  EXPECT_EQ(decideAfterIssuer(Key, IssuerResult::Answered), RelayStep::PassOn);
}

} // namespace
} // namespace comfreyrill
