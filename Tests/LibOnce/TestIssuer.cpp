#include <LibOnce/Issuer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

constexpr std::uint64_t Fingerprint = 5;

class Issuer : public ::testing::Test {
protected:
  Issuer() {
    State.Self = {HostId("i"), HostIncarnation{1}};
    State.Secret = "secret";
  }

  IdempotencyKey newKey() {
    return issueKey(State, HostProcess{HostId("w"), HostIncarnation{2}},
                    Time.now());
  }
  BeginVerdict begin(const IdempotencyKey &Key,
                     std::uint64_t Print = Fingerprint) {
    return beginCall(State, Key, Print, Time.now()).Verdict;
  }
  SharedOutcome run(const IdempotencyKey &Key, std::string Answer) {
    EXPECT_EQ(begin(Key), BeginVerdict::AskWitness);
    EXPECT_EQ(
        recordGrantReply(State, Key, GrantVerdict::Granted, Time.now()).Step,
        GrantStep::Run);
    EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
    return finishCall(State, Key,
                      {CallOutcome::Answer, "answered", std::move(Answer), 0},
                      Time.now());
  }

  IssuerState State;
  ManualClock Time;
};

// Guards against a second run, or an unknown, of a call that nothing disturbed.
TEST_F(Issuer, SameKeyJoinsThenGetsTheStoredAnswer) {
  IdempotencyKey Key = newKey();
  EXPECT_EQ(begin(Key), BeginVerdict::AskWitness);
  EXPECT_EQ(begin(Key), BeginVerdict::Join);
  recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  EXPECT_EQ(begin(Key), BeginVerdict::Join);
  ASSERT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  EXPECT_EQ(begin(Key), BeginVerdict::Join);
  finishCall(State, Key, {CallOutcome::Answer, "answered", "body", 0},
             Time.now());
  BeginDecision Decision = beginCall(State, Key, Fingerprint, Time.now());
  ASSERT_EQ(Decision.Verdict, BeginVerdict::Replay);
  EXPECT_EQ(Decision.Stored->Answer, "body");
}

// Guards against the answer of another request, and against a request that
// changes the record of another.
TEST_F(Issuer, OtherFingerprintIsAConflictAndChangesNothing) {
  IdempotencyKey Key = newKey();
  begin(Key);
  EXPECT_EQ(begin(Key, Fingerprint + 1), BeginVerdict::Conflict);
  EXPECT_EQ(
      recordGrantReply(State, Key, GrantVerdict::Granted, Time.now()).Step,
      GrantStep::Run);
}

TEST_F(Issuer, ForgedKeysAndKeysOfOtherProcessesLeaveNoRecord) {
  IdempotencyKey Key = newKey();
  ++Key.Tag;
  EXPECT_EQ(begin(Key), BeginVerdict::Forged);
  Key = newKey();
  Key.Issuer.Incarnation.Value = 9;
  EXPECT_EQ(begin(Key), BeginVerdict::NotThisIncarnation);
  EXPECT_TRUE(State.Table.Records.empty());
}

// Guards against a process that runs a call after a pause of any length between
// its steps.
TEST_F(Issuer, NothingStartsAfterAPause) {
  IdempotencyKey Key = newKey();
  begin(Key);
  Time.advance(State.Limits.KeyLifetime);
  GrantDecision Decision =
      recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  ASSERT_EQ(Decision.Step, GrantStep::Settled);
  EXPECT_EQ(Decision.Stored->Outcome, CallOutcome::NotRun);
  Key = newKey();
  begin(Key);
  recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  TimePoint Deadline = Time.now() + std::chrono::seconds(5);
  Time.advance(std::chrono::seconds(6));
  EXPECT_FALSE(beginAttempt(State, Key, Deadline, Time.now()));
}

// Guards against two attempts at a time, and against a retry without proof.
TEST_F(Issuer, OneAttemptAtATime) {
  IdempotencyKey Key = newKey();
  begin(Key);
  EXPECT_FALSE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  EXPECT_FALSE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  recordAttemptNotRun(State, Key);
  EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  // Without proof the end of the call cannot be "not run".
  SharedOutcome Stored = finishCall(
      State, Key, {CallOutcome::NotRun, "shed", std::nullopt, 0}, Time.now());
  EXPECT_EQ(Stored->Outcome, CallOutcome::Unknown);
  EXPECT_FALSE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
}

TEST_F(Issuer, EachRefusalOfTheWitnessSealsTheKey) {
  for (GrantVerdict Verdict :
       {GrantVerdict::Sealed, GrantVerdict::WrongIncarnation,
        GrantVerdict::Expired, GrantVerdict::Conflict, GrantVerdict{99}}) {
    IdempotencyKey Key = newKey();
    begin(Key);
    GrantDecision Decision = recordGrantReply(State, Key, Verdict, Time.now());
    ASSERT_EQ(Decision.Step, GrantStep::Settled);
    EXPECT_EQ(Decision.Stored->Outcome, CallOutcome::NotRun);
    // A doubled or late grant changes nothing.
    EXPECT_EQ(
        recordGrantReply(State, Key, GrantVerdict::Granted, Time.now()).Step,
        GrantStep::Ignore);
    EXPECT_EQ(begin(Key), BeginVerdict::Replay);
  }
}

// Guards against a late copy that runs after the call was refused.
TEST_F(Issuer, RefusedCallNeverRuns) {
  IdempotencyKey Key = newKey();
  BeginDecision Refused =
      refuseCall(State, Key, Fingerprint, "leaving", Time.now());
  ASSERT_EQ(Refused.Verdict, BeginVerdict::Replay);
  EXPECT_EQ(Refused.Stored->Reason, "leaving");
  EXPECT_EQ(begin(Key), BeginVerdict::Replay);
  IdempotencyKey Running = newKey();
  begin(Running);
  EXPECT_EQ(
      refuseCall(State, Running, Fingerprint, "leaving", Time.now()).Verdict,
      BeginVerdict::Join);
}

// Guards against a clock that is set back after a key was called expired.
TEST_F(Issuer, ExpiredKeyStaysExpired) {
  IdempotencyKey Key = newKey();
  TimePoint Before = Time.now();
  EXPECT_EQ(beginCall(State, Key, Fingerprint, Key.Expiry).Verdict,
            BeginVerdict::Expired);
  EXPECT_EQ(beginCall(State, Key, Fingerprint, Before).Verdict,
            BeginVerdict::Expired);
}

// Guards against a dropped record that turns a call that ran into "not run",
// and against one that turns keys of sealed calls to unknown.
TEST_F(Issuer, DroppedRecordsAreAnsweredByTheirMark) {
  State.Limits.RecordsMaximum = 1;
  IdempotencyKey Sealed = newKey();
  Time.advance(std::chrono::seconds(1));
  IdempotencyKey Ran = newKey();
  Time.advance(std::chrono::seconds(1));
  IdempotencyKey Last = newKey();
  refuseCall(State, Sealed, Fingerprint, "leaving", Time.now());
  run(Ran, "body");
  EXPECT_EQ(begin(Sealed), BeginVerdict::NotRun);
  EXPECT_EQ(begin(Last), BeginVerdict::AskWitness);
  EXPECT_EQ(begin(Ran), BeginVerdict::Unknown);
}

// Guards against calls in flight whose outcome has no record to go to.
TEST_F(Issuer, CallsInFlightAreNeverDropped) {
  State.Limits.RecordsMaximum = 1;
  IdempotencyKey First = newKey();
  Time.advance(std::chrono::seconds(1));
  IdempotencyKey Second = newKey();
  EXPECT_EQ(begin(First), BeginVerdict::AskWitness);
  EXPECT_EQ(begin(Second), BeginVerdict::NotRun);
  recordGrantTimeout(State, First, Time.now());
  // Told not run, so it stays so when there is room again.
  EXPECT_EQ(begin(Second), BeginVerdict::NotRun);
}

TEST_F(Issuer, RecordsAreDroppedByAge) {
  IdempotencyKey Key = newKey();
  run(Key, "body");
  Time.advance(State.Limits.KeyLifetime + State.Limits.Retention -
               std::chrono::nanoseconds(1));
  EXPECT_EQ(begin(Key), BeginVerdict::Replay);
  Time.advance(std::chrono::nanoseconds(1));
  EXPECT_EQ(begin(Key), BeginVerdict::Unknown);
  EXPECT_TRUE(State.Table.Records.empty());
  EXPECT_TRUE(State.Table.AnswerOrder.empty());
  EXPECT_EQ(State.Table.AnswerBytes, 0U);
}

// Guards against answers that fill the memory, and against an empty answer in
// place of one that was given up.
TEST_F(Issuer, OldestAnswersAreGivenUp) {
  State.Limits.AnswerBytesMaximum = AnswerOverheadBytes + 10;
  IdempotencyKey First = newKey();
  IdempotencyKey Second = newKey();
  IdempotencyKey Large = newKey();
  EXPECT_EQ(run(First, "123456")->Answer, "123456");
  run(Second, "123456");
  BeginDecision Decision = beginCall(State, First, Fingerprint, Time.now());
  EXPECT_EQ(Decision.Stored->Outcome, CallOutcome::Unknown);
  EXPECT_EQ(Decision.Stored->Reason, "answer_not_kept");
  Decision = beginCall(State, Second, Fingerprint, Time.now());
  EXPECT_EQ(Decision.Stored->Answer, "123456");
  // One that is too large to keep still reaches those who wait for it.
  EXPECT_TRUE(run(Large, "12345678901")->Answer.has_value());
  EXPECT_EQ(State.Table.AnswerBytes, AnswerOverheadBytes + 6);
}

TEST_F(Issuer, LargeAnswersAreNotSentToTheWitness) {
  std::string Limit(State.Limits.CopiedAnswerMaximumBytes, 'x');
  IdempotencyKey Key = newKey();
  EXPECT_EQ(outcomeForWitness(State, run(Key, Limit))->Answer, Limit);
  Key = newKey();
  EXPECT_EQ(outcomeForWitness(State, run(Key, Limit + 'x'))->Outcome,
            CallOutcome::Unknown);
}

TEST_F(Issuer, KeyWithoutWitnessRunsAtOnce) {
  IdempotencyKey Key = issueKey(State, std::nullopt, Time.now());
  EXPECT_EQ(begin(Key), BeginVerdict::Run);
  EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
}

} // namespace
} // namespace comfreyrill
