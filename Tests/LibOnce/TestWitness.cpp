#include <LibOnce/Issuer.h>
#include <LibOnce/Witness.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

class Witness : public ::testing::Test {
protected:
  Witness() {
    Issuer.Self = {HostId("i"), HostIncarnation{1}};
    Issuer.Secret = "secret";
    State.Self = {HostId("w"), HostIncarnation{2}};
    registerIssuer(State, Issuer.Self.Incarnation, Issuer.Secret);
  }

  IdempotencyKey newKey() {
    Time.advance(std::chrono::seconds(1));
    return issueKey(Issuer, State.Self, Time.now());
  }
  GrantVerdict grant(const IdempotencyKey &Key,
                     std::uint64_t RequestFingerprint = 5) {
    return recordGrant(State, Key, RequestFingerprint, Time.now());
  }
  SealVerdict seal(const IdempotencyKey &Key) {
    return sealKey(State, Key, Time.now()).Verdict;
  }
  NoticeVerdict notice(const IdempotencyKey &Key, CallOutcome Outcome) {
    std::optional<std::string> Answer;
    if (Outcome == CallOutcome::Answer)
      Answer = "body";
    return recordOutcome(State, Key, {Outcome, "", Answer, 5}, Time.now());
  }

  IssuerState Issuer;
  WitnessState State;
  ManualClock Time;
};

// Guards against a grant after a seal, and against a seal after a grant.
TEST_F(Witness, GrantAndSealExcludeEachOther) {
  IdempotencyKey Key = newKey();
  EXPECT_EQ(grant(Key), GrantVerdict::Granted);
  EXPECT_EQ(grant(Key), GrantVerdict::Granted);
  EXPECT_EQ(grant(Key, 6), GrantVerdict::Conflict);
  EXPECT_EQ(seal(Key), SealVerdict::MayHaveRun);
  Key = newKey();
  EXPECT_EQ(seal(Key), SealVerdict::Sealed);
  EXPECT_EQ(seal(Key), SealVerdict::Sealed);
  EXPECT_EQ(grant(Key), GrantVerdict::Sealed);
}

// Guards against the outcome "unknown" when the issuer seals its own record and
// then crashes; the caller must get "not run".
TEST_F(Witness, NoticeOfNotRunEndsAGrantedKey) {
  IdempotencyKey Key = newKey();
  grant(Key);
  EXPECT_EQ(notice(Key, CallOutcome::NotRun), NoticeVerdict::Recorded);
  EXPECT_EQ(sealKey(State, Key, Time.now()).Stored->Outcome,
            CallOutcome::NotRun);
  EXPECT_EQ(grant(Key), GrantVerdict::Sealed);
}

TEST_F(Witness, NoticeCanOvertakeTheGrantRequest) {
  IdempotencyKey Key = newKey();
  EXPECT_EQ(notice(Key, CallOutcome::NotRun), NoticeVerdict::Recorded);
  EXPECT_EQ(grant(Key), GrantVerdict::Sealed);
}

TEST_F(Witness, AnswerOutlivesItsIssuer) {
  IdempotencyKey Key = newKey();
  grant(Key);
  EXPECT_EQ(notice(Key, CallOutcome::Answer), NoticeVerdict::Recorded);
  EXPECT_EQ(notice(Key, CallOutcome::Answer), NoticeVerdict::Duplicate);
  SealReply Reply = sealKey(State, Key, Time.now());
  ASSERT_EQ(Reply.Verdict, SealVerdict::Finished);
  EXPECT_EQ(Reply.Stored->Answer, "body");
}

// Guards against an undetected defect of the issuer, which ran a sealed key.
TEST_F(Witness, RunOfASealedKeyIsAContradiction) {
  IdempotencyKey Key = newKey();
  seal(Key);
  EXPECT_EQ(notice(Key, CallOutcome::NotRun), NoticeVerdict::Duplicate);
  EXPECT_EQ(notice(Key, CallOutcome::Answer), NoticeVerdict::Contradiction);
}

TEST_F(Witness, KeysOfAnEarlierProcessAreRefused) {
  IdempotencyKey Key = newKey();
  State.Self.Incarnation.Value = 9;
  EXPECT_EQ(grant(Key), GrantVerdict::WrongIncarnation);
  EXPECT_EQ(seal(Key), SealVerdict::WrongIncarnation);
  EXPECT_EQ(notice(Key, CallOutcome::Answer), NoticeVerdict::WrongIncarnation);
}

// Guards against a caller that seals or reads the key of another caller by
// guessing its sequence number.
TEST_F(Witness, ForgedKeysAreRefusedAndLeaveNoRecord) {
  IdempotencyKey Key = newKey();
  grant(Key);
  notice(Key, CallOutcome::Answer);
  IdempotencyKey Guess = Key;
  ++Guess.Tag;
  EXPECT_EQ(seal(Guess), SealVerdict::Forged);
  EXPECT_EQ(State.Table.Records.size(), 1U);
  // The tag protects the record also while the secret is unknown.
  State.Issuers.at(Issuer.Self.Incarnation).Secret.clear();
  EXPECT_EQ(seal(Guess), SealVerdict::Sealed);
  EXPECT_EQ(seal(Key), SealVerdict::Finished);
}

// Guards against callers that fill the table with seals, and against records
// for unknown issuers.
TEST_F(Witness, SealsAreBounded) {
  State.Limits.SealsMaximum = 1;
  EXPECT_EQ(seal(newKey()), SealVerdict::Sealed);
  EXPECT_EQ(seal(newKey()), SealVerdict::MayHaveRun);
  IdempotencyKey UnknownIssuerKey = newKey();
  UnknownIssuerKey.Issuer.Incarnation.Value = 77;
  EXPECT_EQ(seal(UnknownIssuerKey), SealVerdict::MayHaveRun);
  EXPECT_EQ(State.Table.Records.size(), 1U);
  State.Limits.IssuersMaximum = 1;
  EXPECT_EQ(grant(UnknownIssuerKey), GrantVerdict::Expired);
  EXPECT_EQ(notice(UnknownIssuerKey, CallOutcome::Answer),
            NoticeVerdict::Refused);
}

// Guards against keys whose record was dropped and that are treated like keys
// without any record before.
TEST_F(Witness, WatermarkAnswersForDroppedRecords) {
  State.Limits.RecordsMaximum = 1;
  IdempotencyKey Granted = newKey();
  IdempotencyKey Sealed = newKey();
  IdempotencyKey Fresh = newKey();
  grant(Granted);
  seal(Sealed);
  EXPECT_EQ(seal(Granted), SealVerdict::Expired);
  EXPECT_EQ(grant(Fresh), GrantVerdict::Granted);
  EXPECT_EQ(grant(Sealed), GrantVerdict::Expired);
  EXPECT_EQ(seal(Sealed), SealVerdict::Sealed);
  EXPECT_EQ(State.Seals, 0U);
}

// Guards against a host whose clock is far ahead and raises the watermarks, so
// that the keys of all other hosts look dropped.
TEST_F(Witness, WatermarksOfIssuersAreIndependent) {
  IssuerState Ahead;
  Ahead.Self = {HostId("ahead"), HostIncarnation{3}};
  Ahead.Secret = "other";
  registerIssuer(State, Ahead.Self.Incarnation, Ahead.Secret);
  IdempotencyKey FutureKey =
      issueKey(Ahead, State.Self, Time.now() + std::chrono::hours(1000));
  grant(FutureKey);
  IdempotencyKey Key = newKey();
  Time.advance(std::chrono::hours(1));
  EXPECT_EQ(seal(FutureKey), SealVerdict::Expired);
  EXPECT_EQ(seal(Key), SealVerdict::Sealed);
}

// Guards against a discarded answer that is reported as a conflict because its
// fingerprint is lost.
TEST_F(Witness, DiscardedAnswerKeepsItsFingerprint) {
  State.Limits.AnswerBytesMaximum = AnswerOverheadBytes + 4;
  IdempotencyKey First = newKey();
  IdempotencyKey Second = newKey();
  for (const IdempotencyKey &Key : {First, Second}) {
    grant(Key);
    notice(Key, CallOutcome::Answer);
  }
  SealReply Reply = sealKey(State, First, Time.now());
  EXPECT_EQ(Reply.Stored->Outcome, CallOutcome::Unknown);
  EXPECT_EQ(Reply.Stored->Fingerprint, 5U);
  EXPECT_EQ(sealKey(State, Second, Time.now()).Stored->Answer, "body");
}

TEST_F(Witness, OversizedCopiesAreNotKept) {
  IdempotencyKey Key = newKey();
  grant(Key);
  recordOutcome(State, Key,
                {CallOutcome::Answer, "",
                 std::string(State.Limits.CopiedAnswerMaximumBytes + 1, 'x'),
                 5},
                Time.now());
  EXPECT_EQ(State.Table.AnswerBytes, 0U);
  EXPECT_EQ(sealKey(State, Key, Time.now()).Stored->Outcome,
            CallOutcome::Unknown);
}

} // namespace
} // namespace comfreyrill
