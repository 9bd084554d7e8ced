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
                     std::uint64_t RequestFingerprint = Fingerprint) {
    return beginCall(State, Key, RequestFingerprint, Time.now()).Verdict;
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

// Guards against a second run or an unknown outcome of a call without any
// fault.
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

// Guards against a request that gets the answer of another request or changes
// its record.
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

// Guards against a process that is suspended between two steps of a call and
// runs the call after the expiry of the key or after the deadline.
TEST_F(Issuer, NothingStartsAfterAPause) {
  IdempotencyKey Key = newKey();
  begin(Key);
  Time.advance(State.Limits.KeyLifetime);
  GrantDecision Decision =
      recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  ASSERT_EQ(Decision.Step, GrantStep::KeySealed);
  EXPECT_EQ(Decision.Stored->Outcome, CallOutcome::NotRun);
  Key = newKey();
  begin(Key);
  recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  TimePoint Deadline = Time.now() + std::chrono::seconds(5);
  Time.advance(std::chrono::seconds(6));
  EXPECT_FALSE(beginAttempt(State, Key, Deadline, Time.now()));
}

// Guards against two concurrent attempts, and against a retry without proof
// that the previous attempt was not run.
TEST_F(Issuer, OneAttemptAtATime) {
  IdempotencyKey Key = newKey();
  begin(Key);
  EXPECT_FALSE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  recordGrantReply(State, Key, GrantVerdict::Granted, Time.now());
  EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  EXPECT_FALSE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  recordAttemptNotRun(State, Key);
  EXPECT_TRUE(beginAttempt(State, Key, TimePoint::max(), Time.now()));
  // Without proof, the outcome cannot be "not run".
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
    ASSERT_EQ(Decision.Step, GrantStep::KeySealed);
    EXPECT_EQ(Decision.Stored->Outcome, CallOutcome::NotRun);
    // A duplicate or late grant changes nothing.
    EXPECT_EQ(
        recordGrantReply(State, Key, GrantVerdict::Granted, Time.now()).Step,
        GrantStep::Ignore);
    EXPECT_EQ(begin(Key), BeginVerdict::Replay);
  }
}

// Guards against a late copy of the request that runs after the call was
// refused.
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

// Guards against a call that runs because the clock is set back after its key
// was reported as expired.
TEST_F(Issuer, ExpiredKeyStaysExpired) {
  IdempotencyKey Key = newKey();
  TimePoint Before = Time.now();
  EXPECT_EQ(beginCall(State, Key, Fingerprint, Key.Expiry).Verdict,
            BeginVerdict::Expired);
  EXPECT_EQ(beginCall(State, Key, Fingerprint, Before).Verdict,
            BeginVerdict::Expired);
}

// Guards against the outcome "not run" for a call that ran and whose record was
// dropped, and against "unknown" for a sealed key whose record was dropped.
TEST_F(Issuer, WatermarkAnswersForDroppedRecords) {
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

// Guards against calls in flight without a record for their outcome.
TEST_F(Issuer, CallsInFlightAreNeverDropped) {
  State.Limits.RecordsMaximum = 1;
  IdempotencyKey First = newKey();
  Time.advance(std::chrono::seconds(1));
  IdempotencyKey Second = newKey();
  EXPECT_EQ(begin(First), BeginVerdict::AskWitness);
  EXPECT_EQ(begin(Second), BeginVerdict::NotRun);
  recordGrantTimeout(State, First, Time.now());
  // The outcome "not run" was reported, so it stays when there is room again.
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
  EXPECT_TRUE(State.Table.AnswerQueue.empty());
  EXPECT_EQ(State.Table.AnswerBytes, 0U);
}

// Guards against unbounded memory use by answers, and against an empty answer
// in place of a discarded one.
TEST_F(Issuer, OldestAnswersAreDiscarded) {
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
  // An answer that is too large to be stored is still returned.
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
