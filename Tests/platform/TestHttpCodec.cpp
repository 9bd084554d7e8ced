#include <platform/HttpCodec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill::platform {
namespace {

using namespace std::chrono_literals;

HttpRequest request() {
  HttpRequest Made(http::verb::post, "/stock/1?x=2", 11);
  Made.set(http::field::host, "a.example");
  Made.set("Request-Id", "9c41");
  Made.set("Request-Deadline", "1500.5");
  Made.set("X-Kept", "yes");
  Made.set(http::field::connection, "close, X-Dropped");
  Made.set("X-Dropped", "1");
  Made.set(http::field::keep_alive, "timeout=5");
  Made.body() = "body";
  return Made;
}

TEST(HttpCodec, DecodesTheRequestOfACaller) {
  const RequestMetadata Metadata = decodeRequestMetadata(request());
  EXPECT_EQ(Metadata.Id.Value, "9c41");
  EXPECT_EQ(Metadata.Host, "a.example");
  EXPECT_EQ(Metadata.Path, "/stock/1?x=2");
  EXPECT_EQ(Metadata.TimeLeft, 1500500us);
}

// Guards against a request that reaches a target with changed content, without
// its time limit, or without the id of the only target that may run it.
TEST(HttpCodec, AttemptKeepsTheRequestAndNamesTheTarget) {
  const HttpRequest Original = request();
  const HttpRequest Sent =
      encodeAttempt(Original, Original.body(), TargetId("i-7"), 900ms);
  EXPECT_EQ(Sent.method(), http::verb::post);
  EXPECT_EQ(Sent.target(), "/stock/1?x=2");
  EXPECT_EQ(Sent.body(), "body");
  EXPECT_EQ(Sent["Request-Id"], "9c41");
  EXPECT_EQ(Sent["Request-Deadline"], "900");
  EXPECT_EQ(Sent["Expected-Instance"], "i-7");
  EXPECT_EQ(Sent["X-Kept"], "yes");
  EXPECT_EQ(Sent.count("X-Dropped"), 0U);
  EXPECT_EQ(Sent.count(http::field::connection), 0U);
  EXPECT_EQ(Sent[http::field::content_length], "4");
}

// Guards against a relayed request that loses its content, its key or what the
// other host must know, and against targets that see the headers of the relay.
TEST(HttpCodec, RelayKeepsTheRequestAndTellsWhatIsLeft) {
  HttpRequest Original = request();
  Original.set("X-Api-Key", "k-1");
  EXPECT_FALSE(decodeRequestMetadata(Original).Relayed);
  HttpRequest Relayed =
      encodeRelay(Original, Original.body(), 900ms, {2, "192.0.2.7"});
  EXPECT_EQ(Relayed.body(), "body");
  EXPECT_EQ(Relayed["X-Api-Key"], "k-1");
  EXPECT_EQ(Relayed.count("X-Dropped"), 0U);
  const RequestMetadata Metadata = decodeRequestMetadata(Relayed);
  EXPECT_EQ(Metadata.Id.Value, "9c41");
  EXPECT_EQ(Metadata.TimeLeft, 900ms);
  ASSERT_TRUE(Metadata.Relayed);
  EXPECT_EQ(Metadata.Relayed->AttemptsMaximum, 2U);
  EXPECT_EQ(Metadata.Relayed->CallerAddress, "192.0.2.7");
  const HttpRequest Sent =
      encodeAttempt(Relayed, Relayed.body(), TargetId("i-7"), 900ms);
  for (const auto &Field : Sent)
    EXPECT_EQ(std::string(Field.name_string()).find("Relay"),
              std::string::npos);
  Relayed.set("Comfreyrill-Relay-Attempts", "many");
  EXPECT_FALSE(decodeRequestMetadata(Relayed).Relayed);
  HttpResponse Refusal(http::status::service_unavailable, 11);
  EXPECT_FALSE(isRelayRefused(Refusal));
  markRelayRefused(Refusal);
  EXPECT_TRUE(isRelayRefused(Refusal));
}

TEST(HttpCodec, DecodesTheAnswerOfATarget) {
  HttpResponse Response(http::status::ok, 11);
  Response.set("Response-Signature", "3e1b");
  Response.set("Backend-Load", "3,1,6,400");
  const TargetAnswer Answer = decodeAnswer(Response);
  EXPECT_TRUE(Answer.IsSigned);
  EXPECT_FALSE(Answer.IsProvedNotRun);
  ASSERT_TRUE(Answer.Load);
  EXPECT_EQ(Answer.Load->InFlight, 3U);
  EXPECT_EQ(Answer.Load->Queued, 1U);
  EXPECT_EQ(Answer.Load->Slots, 6U);
  EXPECT_DOUBLE_EQ(Answer.Load->Slowdown, 4);
}

// Guards against treating a request as not run without proof from the target.
TEST(HttpCodec, OnlyTheHeaderOrMisdirectionProvesNotRun) {
  HttpResponse Shed(http::status::service_unavailable, 11);
  EXPECT_FALSE(decodeAnswer(Shed).IsProvedNotRun);
  Shed.set("Not-Executed", "1");
  EXPECT_TRUE(decodeAnswer(Shed).IsProvedNotRun);
  const HttpResponse Other(http::status::misdirected_request, 11);
  EXPECT_TRUE(decodeAnswer(Other).IsProvedNotRun);
  EXPECT_TRUE(decodeAnswer(Other).IsMisdirected);
}

// Guards against requests to a target that has said in an answer of any status
// that it leaves, and against taking out one that has not.
TEST(HttpCodec, AnyAnswerMaySayThatTheTargetLeaves) {
  for (const http::status Status :
       {http::status::ok, http::status::too_many_requests,
        http::status::service_unavailable, http::status::misdirected_request}) {
    HttpResponse Response(Status, 11);
    EXPECT_FALSE(decodeTargetSignals(Response).IsLeaving);
    for (const char *Absent : {"", " ", "0"}) {
      Response.set("Server-Leaving", Absent);
      EXPECT_FALSE(decodeTargetSignals(Response).IsLeaving) << Absent;
    }
    for (const char *Present : {"1", "true", "00"}) {
      Response.set("Server-Leaving", Present);
      EXPECT_TRUE(decodeTargetSignals(Response).IsLeaving) << Present;
    }
    Response.set("server-leaving", "0");
    Response.insert("Server-Leaving", "1");
    EXPECT_TRUE(decodeTargetSignals(Response).IsLeaving);
  }
}

// Guards against limits that are missed or read from malformed values.
TEST(HttpCodec, DecodesTheRequestLimitOfATarget) {
  HttpResponse Response(http::status::ok, 11);
  EXPECT_FALSE(decodeTargetSignals(Response).RateLimit);
  Response.set("Server-Limit", "1.5");
  EXPECT_EQ(decodeTargetSignals(Response).RateLimit, 1.5);
  Response.result(http::status::service_unavailable);
  Response.set("Server-Limit", "0");
  EXPECT_EQ(decodeTargetSignals(Response).RateLimit, 0);
  for (const char *Malformed : {"", "-1", "many", "inf", "nan", "1e300"}) {
    Response.set("Server-Limit", Malformed);
    EXPECT_FALSE(decodeTargetSignals(Response).RateLimit) << Malformed;
  }
}

// Guards against a pause that the target has not asked for, and against missing
// one that it has.
TEST(HttpCodec, OnlyAServiceUnavailableAnswerAsksForAPause) {
  HttpResponse Response(http::status::service_unavailable, 11);
  EXPECT_FALSE(decodeTargetSignals(Response).Pause);
  Response.set(http::field::retry_after, "1.5");
  EXPECT_EQ(decodeTargetSignals(Response).Pause, Duration(1500ms));
  for (const http::status Status :
       {http::status::ok, http::status::too_many_requests,
        http::status::misdirected_request}) {
    Response.result(Status);
    EXPECT_FALSE(decodeTargetSignals(Response).Pause);
  }
}

// Guards against signals of one target that count for another one.
TEST(HttpCodec, SignalsNameTheirSender) {
  HttpResponse Response(http::status::misdirected_request, 11);
  EXPECT_TRUE(decodeTargetSignals(Response).IsMisdirected);
  EXPECT_EQ(decodeTargetSignals(Response).Responder, TargetId(""));
  Response.set("Backend-Id", "i-7");
  EXPECT_EQ(decodeTargetSignals(Response).Responder, TargetId("i-7"));
}

// Guards against accepting the late answer to an earlier request.
TEST(HttpCodec, AnswersAreMatchedByRequestId) {
  HttpResponse Response(http::status::ok, 11);
  EXPECT_EQ(matchAnswer(Response, RequestId("a")), ResponseMatch::Unidentified);
  EXPECT_EQ(matchAnswer(Response, RequestId("")), ResponseMatch::Own);
  Response.set("Request-Id", "a");
  EXPECT_EQ(matchAnswer(Response, RequestId("a")), ResponseMatch::Own);
  EXPECT_EQ(matchAnswer(Response, RequestId("b")), ResponseMatch::OtherRequest);
  EXPECT_EQ(matchAnswer(Response, RequestId("")), ResponseMatch::OtherRequest);
}

// Guards against losing a request because a late copy of the answer to a probe
// arrives before its own answer.
TEST(HttpCodec, AnswersToProbesBelongToNoRequest) {
  HttpResponse Health(http::status::ok, 11);
  Health.set("Backend-Id", "i-7");
  EXPECT_EQ(matchAnswer(Health, RequestId("a")), ResponseMatch::OtherRequest);
  EXPECT_EQ(matchAnswer(Health, RequestId("")), ResponseMatch::Own);
  Health.result(http::status::misdirected_request);
  EXPECT_EQ(matchAnswer(Health, RequestId("a")), ResponseMatch::Unidentified);
}

// Guards against probes that a target can run as requests, and against leaving
// out a target that only has another health path.
TEST(HttpCodec, ProbesCarryNoRequestId) {
  const HttpRequest Probe =
      encodeProbe({"10.0.0.1", 80}, TargetId("i-7"), "/health");
  EXPECT_EQ(Probe.count("Request-Id"), 0U);
  EXPECT_EQ(Probe["Expected-Instance"], "i-7");
  HttpResponse Refusal(http::status::bad_request, 11);
  EXPECT_FALSE(decodeProbeAnswer(Refusal).IsHealthy);
  Refusal.set("Not-Executed", "1");
  EXPECT_TRUE(decodeProbeAnswer(Refusal).IsHealthy);
}

// Guards against a cold target that is taken for a warm one, against a time in
// milliseconds that is read as seconds, and against odd values that make a
// target cold for ever.
TEST(HttpCodec, DecodesTheColdTimeOfAProbe) {
  HttpResponse Health(http::status::ok, 11);
  EXPECT_EQ(decodeProbeAnswer(Health).ColdTimeLeft, std::nullopt);
  Health.set("Cold-Remaining", "2500");
  EXPECT_EQ(decodeProbeAnswer(Health).ColdTimeLeft, Duration(2500ms));
  Health.set("Cold-Remaining", "0");
  EXPECT_EQ(decodeProbeAnswer(Health).ColdTimeLeft, Duration(0));
  Health.set("Cold-Remaining", "-4");
  EXPECT_EQ(decodeProbeAnswer(Health).ColdTimeLeft, Duration(0));
  for (const char *Text : {"", "soon", "nan", "inf"}) {
    Health.set("Cold-Remaining", Text);
    EXPECT_EQ(decodeProbeAnswer(Health).ColdTimeLeft, std::nullopt) << Text;
  }
}

TEST(HttpCodec, LocalRepliesCarryRetryAfter) {
  const HttpResponse Refusal =
      encodeLocalReply(http::status::service_unavailable, RequestId("a"),
                       "overloaded", Duration(120ms));
  EXPECT_EQ(Refusal[http::field::retry_after], "0.120");
  EXPECT_EQ(Refusal["Request-Id"], "a");
  EXPECT_EQ(Refusal.count("Response-Signature"), 0U);
}

TEST(HttpCodec, AddressesAreEncodedWithTheirLifetime) {
  const HttpResponse Response =
      encodeAddresses({{"10.0.0.1", 8161}, {"10.0.0.2", 8161}}, 1s);
  EXPECT_NE(Response.body().find("\"10.0.0.1:8161\",\"10.0.0.2:8161\""),
            std::string::npos);
  EXPECT_NE(Response.body().find("\"ttlS\":1"), std::string::npos);
}

// Guards against a malformed load header of a faulty target that crashes the
// process or is decoded as a load report.
RC_GTEST_PROP(HttpCodec, AnyLoadHeaderIsDecodedOrRejected,
              (const std::string &Text)) {
  HttpResponse Response(http::status::ok, 11);
  std::string Printable;
  for (const char Character : Text)
    if (Character >= ' ' && Character < 127)
      Printable += Character;
  Response.set("Backend-Load", Printable);
  const TargetAnswer Answer = decodeAnswer(Response);
  if (Answer.Load)
    RC_ASSERT(std::count(Printable.begin(), Printable.end(), ',') >= 2);
}

} // namespace
} // namespace comfreyrill::platform
