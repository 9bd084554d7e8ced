#include "HttpFixture.h"

namespace comfreyrill {
namespace {

class HttpConnectionTest : public testing::Test, protected HttpFixture {
protected:
  struct ExchangeOutcome {
    std::optional<HttpResponse> Response;
    ExchangeFailure Failure;
    bool IsReusable = false;
  };

  Awaitable<ExchangeOutcome>
  exchange(Endpoint Remote, TimePoint Deadline,
           HttpConnection::ResponseFilter Filter = {}) {
    ExchangeOutcome Out;
    const auto Connection =
        std::make_shared<HttpConnection>(Loop.get_executor());
    const auto Connected = co_await Connection->connect(Remote, Deadline);
    if (!Connected) {
      Out.Failure.Cause = Connected.error();
      co_return Out;
    }
    const HttpRequest Request{http::verb::get, "/", 11};
    HttpLimits Limits;
    Limits.BodyBytes = 1000;
    auto Response = co_await Connection->exchange(Request, Limits, Deadline,
                                                  std::move(Filter));
    if (Response)
      Out.Response = std::move(Response.value());
    else
      Out.Failure = Response.error();
    Out.IsReusable = Connection->isReusable();
    co_return Out;
  }

  ExchangeOutcome exchangeWithRawServer(const std::string &Bytes) {
    return run(exchange(rawServer(Bytes), testDeadline()));
  }
};

// Guards against a truncated response that is treated as complete.
TEST_F(HttpConnectionTest, TruncatedResponseIsAFailure) {
  for (const char *Bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", ""}) {
    const ExchangeOutcome Result = exchangeWithRawServer(Bytes);
    EXPECT_FALSE(Result.Response.has_value()) << Bytes;
    EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
    EXPECT_FALSE(Result.IsReusable);
  }
}

// Guards against bytes after one response that are read as part of the next
// response on the connection.
TEST_F(HttpConnectionTest, BytesAfterTheResponsePreventReuse) {
  const ExchangeOutcome Result = exchangeWithRawServer(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore");
  ASSERT_TRUE(Result.Response.has_value());
  EXPECT_EQ(Result.Response->body(), "ok");
  EXPECT_FALSE(Result.IsReusable);
}

// A response without Content-Length ends when the connection is closed.
TEST_F(HttpConnectionTest, ResponseWithoutLengthEndsWithTheConnection) {
  const ExchangeOutcome Result =
      exchangeWithRawServer("HTTP/1.1 200 OK\r\n\r\nwhole");
  ASSERT_TRUE(Result.Response.has_value());
  EXPECT_EQ(Result.Response->body(), "whole");
  EXPECT_FALSE(Result.IsReusable);
}

// Guards against a response without Content-Length that a reset has truncated
// and that is treated as complete.
TEST_F(HttpConnectionTest, ResponseWithoutLengthThatIsResetIsAFailure) {
  const ExchangeOutcome Result = run(
      exchange(resettingServer("HTTP/1.1 200 OK\r\n\r\nhalf"), testDeadline()));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
}

HttpConnection::ResponseFilter acceptId(const std::string &Id) {
  return [Id](const HttpResponse &Response) { return Response["Id"] == Id; };
}

// Guards against a late second response to an earlier request that is taken for
// the response to the current one.
TEST_F(HttpConnectionTest, ResponsesToOtherRequestsAreDiscarded) {
  const ExchangeOutcome Result =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "
                             "3\r\n\r\noldHTTP/1.1 200 OK\r\nId: "
                             "2\r\nContent-Length: 3\r\n\r\nnew"),
                   testDeadline(), acceptId("2")));
  ASSERT_TRUE(Result.Response.has_value());
  EXPECT_EQ(Result.Response->body(), "new");
  EXPECT_FALSE(Result.IsReusable);
}

TEST_F(HttpConnectionTest, OnlyResponsesToOtherRequestsAreAFailure) {
  const ExchangeOutcome Result =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "
                             "3\r\n\r\nold"),
                   testDeadline(), acceptId("2")));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
  EXPECT_FALSE(Result.IsReusable);
}

TEST_F(HttpConnectionTest, OversizedResponseIsAFailure) {
  const ExchangeOutcome Result =
      exchangeWithRawServer("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
                            std::string(1001, 'x'));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::TooLarge);
}

// Guards against a request that waits for ever for a target that does not
// respond.
TEST_F(HttpConnectionTest, DeadlineEndsTheExchange) {
  TcpAcceptor Silent(
      Loop.get_executor(),
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const ExchangeOutcome Result =
      run(exchange({"127.0.0.1", Silent.local_endpoint().port()},
                   TimeSource.now() + std::chrono::milliseconds(20)));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::TimedOut);
}

// Guards against reporting the outcome "unknown" although the target cannot
// have received the request.
TEST_F(HttpConnectionTest, RefusedConnectionIsReported) {
  TcpAcceptor Closed(
      Loop.get_executor(),
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto Port = Closed.local_endpoint().port();
  Closed.close();
  const ExchangeOutcome Result =
      run(exchange({"127.0.0.1", Port}, testDeadline()));
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::ConnectionFailed);
}

} // namespace
} // namespace comfreyrill
