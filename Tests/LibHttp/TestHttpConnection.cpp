#include "HttpFixture.h"

namespace comfreyrill {
namespace {

class HttpConnectionTest : public testing::Test, protected HttpFixture {
protected:
  struct Exchanged {
    std::optional<HttpResponse> Answer;
    ExchangeFailure Failure;
    bool IsReusable = false;
  };

  Awaitable<Exchanged> exchange(Endpoint Remote, TimePoint Deadline,
                                HttpConnection::AnswerFilter Filter = {}) {
    Exchanged Out;
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
    auto Answer = co_await Connection->exchange(Request, Limits, Deadline,
                                                std::move(Filter));
    if (Answer)
      Out.Answer = std::move(Answer.value());
    else
      Out.Failure = Answer.error();
    Out.IsReusable = Connection->isReusable();
    co_return Out;
  }

  Exchanged answerOf(const std::string &Bytes) {
    return run(exchange(rawServer(Bytes), soon()));
  }
};

// Guards against a truncated answer that is passed on as whole.
TEST_F(HttpConnectionTest, TruncatedAnswerIsAFailure) {
  for (const char *Bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", ""}) {
    const Exchanged Result = answerOf(Bytes);
    EXPECT_FALSE(Result.Answer.has_value()) << Bytes;
    EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
    EXPECT_FALSE(Result.IsReusable);
  }
}

// Guards against bytes of one answer that reach the caller of the next.
TEST_F(HttpConnectionTest, BytesAfterTheAnswerEndTheConnection) {
  const Exchanged Result =
      answerOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore");
  ASSERT_TRUE(Result.Answer.has_value());
  EXPECT_EQ(Result.Answer->body(), "ok");
  EXPECT_FALSE(Result.IsReusable);
}

// An answer without a length ends with its connection.
TEST_F(HttpConnectionTest, AnswerWithoutLengthEndsWithTheConnection) {
  const Exchanged Result = answerOf("HTTP/1.1 200 OK\r\n\r\nwhole");
  ASSERT_TRUE(Result.Answer.has_value());
  EXPECT_EQ(Result.Answer->body(), "whole");
  EXPECT_FALSE(Result.IsReusable);
}

// Guards against an answer without a length that a reset has cut off.
TEST_F(HttpConnectionTest, AnswerWithoutLengthThatIsResetIsAFailure) {
  const Exchanged Result =
      run(exchange(resettingServer("HTTP/1.1 200 OK\r\n\r\nhalf"), soon()));
  EXPECT_FALSE(Result.Answer.has_value());
  EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
}

HttpConnection::AnswerFilter answerTo(const std::string &Id) {
  return [Id](const HttpResponse &Answer) { return Answer["Id"] == Id; };
}

// Guards against a late second answer to an earlier request that is taken for
// the answer to this one.
TEST_F(HttpConnectionTest, AnswersToOtherRequestsAreDropped) {
  const Exchanged Result =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "
                             "3\r\n\r\noldHTTP/1.1 200 OK\r\nId: "
                             "2\r\nContent-Length: 3\r\n\r\nnew"),
                   soon(), answerTo("2")));
  ASSERT_TRUE(Result.Answer.has_value());
  EXPECT_EQ(Result.Answer->body(), "new");
  EXPECT_FALSE(Result.IsReusable);
}

TEST_F(HttpConnectionTest, OnlyAnswersToOtherRequestsAreAFailure) {
  const Exchanged Result =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "
                             "3\r\n\r\nold"),
                   soon(), answerTo("2")));
  EXPECT_FALSE(Result.Answer.has_value());
  EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
  EXPECT_FALSE(Result.IsReusable);
}

TEST_F(HttpConnectionTest, OversizedAnswerIsAFailure) {
  const Exchanged Result =
      answerOf("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
               std::string(1001, 'x'));
  EXPECT_FALSE(Result.Answer.has_value());
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::TooLarge);
}

// Guards against a target that never answers and holds the call for ever.
TEST_F(HttpConnectionTest, DeadlineEndsTheExchange) {
  TcpAcceptor Silent(
      Loop.get_executor(),
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const Exchanged Result =
      run(exchange({"127.0.0.1", Silent.local_endpoint().port()},
                   TimeSource.now() + std::chrono::milliseconds(20)));
  EXPECT_FALSE(Result.Answer.has_value());
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::TimedOut);
}

// Guards against "unknown" where the target cannot have seen the request.
TEST_F(HttpConnectionTest, RefusedConnectionIsTold) {
  TcpAcceptor Closed(
      Loop.get_executor(),
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto Port = Closed.local_endpoint().port();
  Closed.close();
  const Exchanged Result = run(exchange({"127.0.0.1", Port}, soon()));
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::ConnectionFailed);
}

} // namespace
} // namespace comfreyrill
