#include <Daemon/CallRequest.h>
#include <Daemon/HeaderNames.h>
#include <Daemon/Prober.h>
#include <Daemon/TargetExchange.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

HttpRequest request(std::string_view Target) {
  HttpRequest Request{http::verb::post, Target, 11};
  return Request;
}

TEST(CallRequest, ReadsServicePathAndFields) {
  HttpRequest Request = request("/v1/call/stock/items/7?colour=red");
  Request.set(header::TimeoutMilliseconds, "250");
  Request.set(header::Depth, "3");
  Request.set(header::IdempotencyKey, "k");
  const auto Call = parseCallRequest(Request);
  ASSERT_TRUE(Call.has_value());
  EXPECT_EQ(Call.value().Service.Value, "stock");
  EXPECT_EQ(Call.value().Path, "/items/7?colour=red");
  EXPECT_EQ(Call.value().Timeout, std::chrono::milliseconds(250));
  EXPECT_EQ(Call.value().Depth, 3U);
  EXPECT_EQ(Call.value().Key, "k");
}

TEST(CallRequest, AddsTheRootPath) {
  EXPECT_EQ(parseCallRequest(request("/v1/call/stock")).value().Path, "/");
  EXPECT_EQ(parseCallRequest(request("/v1/call/stock?a=1")).value().Path,
            "/?a=1");
}

// Guards against unbounded recursion of nested calls, and against timeouts that
// overflow when they are added to the current time.
TEST(CallRequest, RejectsNumbersOutOfRange) {
  for (const auto &[Name, Text] :
       {std::pair(header::Depth, "10"), std::pair(header::Depth, "0"),
        std::pair(header::TimeoutMilliseconds, "0"),
        std::pair(header::TimeoutMilliseconds, "99999999999999999999"),
        std::pair(header::TimeoutMilliseconds, "5s"),
        std::pair(header::TimeoutMilliseconds, "-1")}) {
    HttpRequest Request = request("/v1/call/stock/x");
    Request.set(Name, Text);
    const auto Call = parseCallRequest(Request);
    ASSERT_FALSE(Call.has_value()) << Text;
    EXPECT_EQ(Call.error().Kind, ErrorKind::InvalidInput);
  }
}

// Guards against random paths that crash the daemon or reach a service whose
// name was not checked.
RC_GTEST_PROP(CallRequest, SurvivesRandomPaths, (const std::string &Path)) {
  HttpRequest Request{http::verb::get, "/", 11};
  Request.target("/v1/call/" + Path);
  const auto Call = parseCallRequest(Request);
  if (Call) {
    RC_ASSERT(!Call.value().Service.Value.empty());
    RC_ASSERT(Call.value().Path.starts_with('/'));
  }
}

// Guards against treating a checkout as idempotent and sending it twice.
TEST(CallRequest, UnlistedMethodsAreNotIdempotent) {
  ServiceConfig Service;
  EXPECT_TRUE(isIdempotent(Service, "GET", "/items"));
  EXPECT_FALSE(isIdempotent(Service, "POST", "/items"));
  EXPECT_FALSE(isIdempotent(Service, "PUT", "/items"));
  Service.Operations = {{"GET", "/checkout", false}, {"POST", "/find", true}};
  EXPECT_FALSE(isIdempotent(Service, "GET", "/checkout/3"));
  EXPECT_TRUE(isIdempotent(Service, "POST", "/find"));
}

TEST(LoadReport, ReadsFieldsInAnyOrder) {
  const auto Report = parseLoadReport("slots=6;in_flight=3;queued=1;new=9");
  ASSERT_TRUE(Report.has_value());
  EXPECT_EQ(Report->InFlight, 3U);
  EXPECT_EQ(Report->Slots, 6U);
  EXPECT_EQ(Report->Queued, 1U);
}

// Guards against interpreting a malformed load report as an idle target.
TEST(LoadReport, RejectsMalformedReports) {
  for (const char *Text : {"", "slots=6", "in_flight=-1", "in_flight",
                           "in_flight=99999999999", "in_flight=x;slots=2"})
    EXPECT_FALSE(parseLoadReport(Text).has_value()) << Text;
}

// Guards against interpreting a probe answer without a load as an idle target.
TEST(LoadReport, RejectsAnswersWithoutLoad) {
  EXPECT_EQ(
      parseLoadAnswer(R"({"in_flight":2,"draining":true})").value().InFlight,
      2U);
  for (const char *Text : {"", "{}", R"({"in_flight":-1})", "[1]", "null"})
    EXPECT_FALSE(parseLoadAnswer(Text).has_value()) << Text;
}

RC_GTEST_PROP(LoadReport, SurvivesRandomText, (const std::string &Text)) {
  (void)parseLoadReport(Text);
}

} // namespace
} // namespace comfreyrill
