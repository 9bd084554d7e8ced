#include <LibGateway/Exchange.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

TargetAnswer answer(unsigned Status, bool IsSigned = true) {
  TargetAnswer Made;
  Made.Status = Status;
  Made.IsSigned = IsSigned;
  return Made;
}

// Guards against a success that is not the target's.
TEST(Exchange, SuccessNeedsTheSignatureAndNoEncoding) {
  EXPECT_EQ(classifyAnswer(answer(200)), AttemptOutcome::Answered);
  EXPECT_EQ(classifyAnswer(answer(200, false)), AttemptOutcome::InvalidAnswer);
  TargetAnswer Encoded = answer(200);
  Encoded.IsEncoded = true;
  EXPECT_EQ(classifyAnswer(Encoded), AttemptOutcome::InvalidAnswer);
}

// Guards against a promise to the caller that the target has not given.
TEST(Exchange, StatusesThatPromiseNeedProof) {
  for (const unsigned Status : {408U, 421U, 429U, 503U}) {
    EXPECT_EQ(classifyAnswer(answer(Status)), AttemptOutcome::InvalidAnswer);
    TargetAnswer Proved = answer(Status);
    Proved.IsProvedNotRun = true;
    EXPECT_EQ(classifyAnswer(Proved), AttemptOutcome::NotRun);
  }
}

TEST(Exchange, FailuresOfTheTargetAreItsOwn) {
  EXPECT_EQ(classifyAnswer(answer(500)), AttemptOutcome::TargetError);
  EXPECT_EQ(classifyAnswer(answer(404)), AttemptOutcome::Answered);
}

// Guards against a second run of a request that must not run twice.
TEST(Exchange, OnlyProofAllowsAnotherAttemptOfOneThatMustNotRepeat) {
  for (const AttemptOutcome Outcome :
       {AttemptOutcome::Answered, AttemptOutcome::TargetError,
        AttemptOutcome::InvalidAnswer, AttemptOutcome::Lost,
        AttemptOutcome::TimedOut, AttemptOutcome::Cancelled})
    EXPECT_FALSE(isSafeToRetry(ExecutionSemantics::AtMostOnce, Outcome))
        << attemptOutcomeName(Outcome);
  EXPECT_TRUE(
      isSafeToRetry(ExecutionSemantics::AtMostOnce, AttemptOutcome::NotRun));
  EXPECT_TRUE(
      isSafeToRetry(ExecutionSemantics::Idempotent, AttemptOutcome::Lost));
  EXPECT_FALSE(
      isSafeToRetry(ExecutionSemantics::Idempotent, AttemptOutcome::TimedOut));
}

} // namespace
} // namespace comfreyrill
