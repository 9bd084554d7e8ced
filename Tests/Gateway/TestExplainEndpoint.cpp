#include <ExplainEndpoint.h>
#include <MetricsListener.h>

#include <LibHttp/HttpClient.h>
#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view Secret = "secret-of-alder";

HttpRequest explainRequest(std::string Body) {
  HttpRequest Made(http::verb::post, "/explain", 11);
  Made.body() = std::move(Body);
  Made.prepare_payload();
  return Made;
}

std::string validBody() {
  return R"({"method":"GET","host":"a.example","path":"/x/1","key":")" +
         std::string(Secret) + R"("})";
}

class ExplainEndpointTest : public testing::Test {
protected:
  ~ExplainEndpointTest() override { Listener.setAddress(std::nullopt); }

  /// Answers the requests, which arrive at the same time.
  std::vector<HttpResponse> handle(const std::vector<HttpRequest> &Requests) {
    std::vector<HttpResponse> Responses(Requests.size());
    for (std::size_t Index = 0; Index < Requests.size(); ++Index)
      asio::co_spawn(
          Loop,
          [&, Index]() -> Awaitable<void> {
            Responses[Index] = co_await Endpoint.handle(Requests[Index]);
          },
          asio::detached);
    Loop.restart();
    Loop.run();
    return Responses;
  }

  /// Sends a request over a connection to the listener.
  Result<HttpResponse> send(HttpRequest Request) {
    Listener.setAddress(comfreyrill::Endpoint{"127.0.0.1", 0});
    Result<HttpResponse> Received = Error{ErrorKind::TimedOut, "no response"};
    bool IsDone = false;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          Received =
              co_await fetch(*Listener.localEndpoint(), std::move(Request),
                             HttpLimits{}, TimeSource.now() + 5s);
          IsDone = true;
        },
        asio::detached);
    Loop.restart();
    while (!IsDone && Loop.run_one() > 0) {
    }
    return Received;
  }

  static HttpLimits limits() {
    HttpLimits Made;
    Made.HeaderBytes = ExplainHeaderBytes;
    Made.BodyBytes = ExplainBodyBytes;
    return Made;
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
  std::vector<ExplainedRequest> Explained;
  ExplainEndpoint Endpoint{[this](const ExplainedRequest &Request) {
    Explained.push_back(Request);
    return Explanation{};
  }};
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  MetricsListener Listener{
      Loop.get_executor(),
      TimeSource,
      Events,
      [this](HttpRequest Request,
             std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
        co_return co_await Endpoint.handle(std::move(Request));
      },
      [](http::status Status, const Error &) {
        HttpResponse Made(Status, 11);
        Made.prepare_payload();
        return Made;
      },
      limits(),
      50ms};
};

// Guards against two explanations beside each other on a small host, and
// against a host that explains nothing after it has refused one.
TEST_F(ExplainEndpointTest, OneRequestAtATime) {
  const auto Both =
      handle({explainRequest(validBody()), explainRequest(validBody())});
  EXPECT_EQ(Both[0].result(), http::status::ok);
  EXPECT_EQ(Both[1].result(), http::status::service_unavailable);
  EXPECT_EQ(Both[1][http::field::retry_after], "1");
  EXPECT_EQ(Explained.size(), 1U);
  EXPECT_EQ(handle({explainRequest(validBody())}).front().result(),
            http::status::ok);
}

// Guards against a response to a faulty request that repeats the key, wherever
// the fault is.
TEST_F(ExplainEndpointTest, FaultsNeverNameTheKey) {
  const std::string Key(Secret);
  for (const std::string &Body :
       {std::string("{"), std::string("[]"), "{\"key\":\"" + Key + "\"}",
        R"({"method":"GET","host":"a","path":"x","key":[")" + Key + "\"]}",
        R"({"method":"GET","host":"a","path":"/x","key":")" + Key +
            R"(","key":")" + Key + "\"}",
        R"({"method":"GET","host":"a","path":"/x",")" + Key + R"(":1})",
        R"({"method":"GET","host":"a","path":"/x","account":"b","key":")" +
            Key + "\"}"}) {
    const HttpResponse Response = handle({explainRequest(Body)}).front();
    EXPECT_EQ(Response.result(), http::status::bad_request) << Body;
    EXPECT_EQ(Response.body().find(Key), std::string::npos) << Response.body();
    EXPECT_NE(Response.body().find("must be"), std::string::npos);
  }
  EXPECT_TRUE(Explained.empty());
  HttpRequest Read(http::verb::get, "/explain?x", 11);
  EXPECT_TRUE(isExplainRequest(Read));
  EXPECT_EQ(handle({Read}).front().result(), http::status::method_not_allowed);
}

// Guards against a field that is lost on the way to the decision.
TEST_F(ExplainEndpointTest, FieldsReachTheExplanation) {
  handle({explainRequest(
      R"({"method":"PUT","host":"a","path":"/x","body_bytes":60000,)"
      R"("account":"alder"})")});
  ASSERT_EQ(Explained.size(), 1U);
  EXPECT_EQ(Explained.front().Method, "PUT");
  EXPECT_EQ(Explained.front().BodyBytes, 60'000U);
  EXPECT_EQ(Explained.front().Account, AccountName("alder"));
}

// Guards against a host that reads a large request to explain.
TEST_F(ExplainEndpointTest, LargeRequestsAreNotRead) {
  EXPECT_EQ(send(explainRequest(validBody())).value().result(),
            http::status::ok);
  EXPECT_EQ(Explained.front().Key, Secret);
  const auto Response = send(explainRequest(
      std::string(static_cast<std::size_t>(ExplainBodyBytes) + 1, 'x')));
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response.value().result(), http::status::payload_too_large);
  EXPECT_EQ(Explained.size(), 1U);
}

} // namespace
} // namespace comfreyrill
