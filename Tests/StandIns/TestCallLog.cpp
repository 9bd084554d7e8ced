#include "AnswerCheck.h"
#include "CallLog.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace comfreyrill::standins {
namespace {

HttpResponse answer(const std::string &Body) {
  HttpResponse Response = textResponse(http::status::ok, Body);
  Response.set("Comfreyrill-Outcome", "answer");
  return Response;
}

// Guards against a caller that accepts the answer to another request.
TEST(CallLog, AnswerToAnotherRequestIsWrong) {
  EXPECT_EQ(classifyResponse(answer(expectedAnswer("a-1", 0)), "a-1", 0),
            SendOutcome::Answer);
  EXPECT_EQ(classifyResponse(answer(expectedAnswer("a-12", 0)), "a-1", 0),
            SendOutcome::WrongAnswer);
  EXPECT_EQ(classifyResponse(answer(""), "a-1", 0), SendOutcome::WrongAnswer);
}

// Guards against a caller that accepts a truncated answer, or a body that mixes
// two answers.
RC_GTEST_PROP(CallLog, IncompleteOrMixedAnswerIsWrong, ()) {
  const auto Bytes = *rc::gen::inRange<std::size_t>(0, 5000);
  const std::string Own = expectedAnswer("own-1", Bytes);
  const std::string Other = expectedAnswer("own-2", Bytes);
  const auto Cut = *rc::gen::inRange<std::size_t>(0, Own.size());
  RC_ASSERT(classifyResponse(answer(Own.substr(0, Cut)), "own-1", Bytes) ==
            SendOutcome::WrongAnswer);
  const std::string Mixed = Own.substr(0, Cut) + Other.substr(Cut);
  const SendOutcome Expected =
      Mixed == Own ? SendOutcome::Answer : SendOutcome::WrongAnswer;
  RC_ASSERT(classifyResponse(answer(Mixed), "own-1", Bytes) == Expected);
}

// Guards against a classification by status code when the outcome header
// states something else, and against accepting an unknown outcome.
TEST(CallLog, OutcomeDecidesBeforeStatus) {
  HttpResponse NotRun = textResponse(http::status::service_unavailable, "");
  NotRun.set("Comfreyrill-Outcome", "not-run");
  EXPECT_EQ(classifyResponse(NotRun, "a", 0), SendOutcome::NotRun);
  HttpResponse Unknown = textResponse(http::status::gateway_timeout, "");
  Unknown.set("Comfreyrill-Outcome", "unknown");
  EXPECT_EQ(classifyResponse(Unknown, "a", 0), SendOutcome::Unknown);
  HttpResponse Failed =
      textResponse(http::status::internal_server_error, "failed");
  Failed.set("Comfreyrill-Outcome", "answer");
  EXPECT_EQ(classifyResponse(Failed, "a", 0), SendOutcome::FailedAnswer);
  HttpResponse Unrecognized = textResponse(http::status::ok, "");
  Unrecognized.set("Comfreyrill-Outcome", "maybe");
  EXPECT_EQ(classifyResponse(Unrecognized, "a", 0), SendOutcome::WrongAnswer);
}

// Guards against classifying a request as not run because a host forwarded the
// shed header of a target's 503 response; the header counts only in responses
// received directly from a target.
TEST(CallLog, ShedHeaderCountsOnlyWithoutAHost) {
  HttpResponse Shed = textResponse(http::status::service_unavailable, "");
  Shed.set("Comfreyrill-Shed", "before-start");
  EXPECT_EQ(classifyResponse(Shed, "a", 0), SendOutcome::NotRun);
  Shed.set("Comfreyrill-Outcome", "answer");
  EXPECT_EQ(classifyResponse(Shed, "a", 0), SendOutcome::FailedAnswer);
}

// Guards against quantiles that are off by one rank.
TEST(CallLog, QuantileIsTheNearestRank) {
  std::vector<std::int64_t> Sorted;
  for (int Value = 1; Value <= 1000; ++Value)
    Sorted.push_back(Value);
  EXPECT_EQ(quantile(Sorted, 0.5), 500);
  EXPECT_EQ(quantile(Sorted, 0.999), 999);
  EXPECT_EQ(quantile(Sorted, 1), 1000);
  EXPECT_EQ(quantile({}, 0.5), 0);
}

} // namespace
} // namespace comfreyrill::standins
