#include "AnswerCheck.h"
#include "CallBook.h"

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
TEST(CallBook, AnswerToAnotherRequestIsWrong) {
  EXPECT_EQ(judgeResponse(answer(expectedAnswer("a-1", 0)), "a-1", 0),
            Told::Answer);
  EXPECT_EQ(judgeResponse(answer(expectedAnswer("a-12", 0)), "a-1", 0),
            Told::WrongAnswer);
  EXPECT_EQ(judgeResponse(answer(""), "a-1", 0), Told::WrongAnswer);
}

// Guards against a caller that accepts a truncated answer, or one joined from
// the parts of two.
RC_GTEST_PROP(CallBook, IncompleteOrMixedAnswerIsWrong, ()) {
  const auto Bytes = *rc::gen::inRange<std::size_t>(0, 5000);
  const std::string Own = expectedAnswer("own-1", Bytes);
  const std::string Other = expectedAnswer("own-2", Bytes);
  const auto Cut = *rc::gen::inRange<std::size_t>(0, Own.size());
  RC_ASSERT(judgeResponse(answer(Own.substr(0, Cut)), "own-1", Bytes) ==
            Told::WrongAnswer);
  const std::string Mixed = Own.substr(0, Cut) + Other.substr(Cut);
  const Told Expected = Mixed == Own ? Told::Answer : Told::WrongAnswer;
  RC_ASSERT(judgeResponse(answer(Mixed), "own-1", Bytes) == Expected);
}

// Guards against outcomes that are taken for one another.
TEST(CallBook, OutcomeDecidesBeforeStatus) {
  HttpResponse NotRun = textResponse(http::status::service_unavailable, "");
  NotRun.set("Comfreyrill-Outcome", "not-run");
  EXPECT_EQ(judgeResponse(NotRun, "a", 0), Told::NotRun);
  HttpResponse Unknown = textResponse(http::status::gateway_timeout, "");
  Unknown.set("Comfreyrill-Outcome", "unknown");
  EXPECT_EQ(judgeResponse(Unknown, "a", 0), Told::Unknown);
  HttpResponse Failed =
      textResponse(http::status::internal_server_error, "failed");
  Failed.set("Comfreyrill-Outcome", "answer");
  EXPECT_EQ(judgeResponse(Failed, "a", 0), Told::FailedAnswer);
  HttpResponse Unheard = textResponse(http::status::ok, "");
  Unheard.set("Comfreyrill-Outcome", "maybe");
  EXPECT_EQ(judgeResponse(Unheard, "a", 0), Told::WrongAnswer);
}

// Guards against a 503 of a host whose target's shed answer leaks through and
// would be read as proof.
TEST(CallBook, ShedMarkCountsOnlyWithoutAHost) {
  HttpResponse Shed = textResponse(http::status::service_unavailable, "");
  Shed.set("Comfreyrill-Shed", "before-start");
  EXPECT_EQ(judgeResponse(Shed, "a", 0), Told::NotRun);
  Shed.set("Comfreyrill-Outcome", "answer");
  EXPECT_EQ(judgeResponse(Shed, "a", 0), Told::FailedAnswer);
}

// Guards against quantiles that are off by one rank.
TEST(CallBook, QuantileIsTheNearestRank) {
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
