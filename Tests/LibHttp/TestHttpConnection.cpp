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
           HttpConnection::ResponseMatcher Match = {}) {
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
                                                  std::move(Match));
    if (Response)
      Out.Response = std::move(Response.value());
    else
      Out.Failure = Response.error();
    Out.IsReusable = Connection->isReusable();
    co_return Out;
  }

  /// Returns the outcome of the second exchange on one connection.
  Awaitable<ExchangeOutcome> exchangeTwice(Endpoint Remote) {
    ExchangeOutcome Out;
    const auto Connection =
        std::make_shared<HttpConnection>(Loop.get_executor());
    EXPECT_TRUE(co_await Connection->connect(Remote, testDeadline()));
    const HttpRequest Request{http::verb::get, "/", 11};
    EXPECT_TRUE(
        co_await Connection->exchange(Request, HttpLimits{}, testDeadline()));
    auto Response =
        co_await Connection->exchange(Request, HttpLimits{}, testDeadline());
    if (Response)
      Out.Response = std::move(Response.value());
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

// Guards against a response that ends at any of its bytes and is taken for a
// complete one, with an empty or a short body: on new connections and on kept
// ones, closed and reset.
TEST_F(HttpConnectionTest, ResponseIsNotCompleteBeforeItsLastByte) {
  const std::string First = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::string Head = "HTTP/1.1 200 OK\r\nSigned: 1\r\n";
  const std::vector<std::string> Responses{
      Head + "Content-Length: 4\r\n\r\nbody",
      Head + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nT: "
             "1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + Head + "Content-Length: 0\r\n\r\n",
      Head + "\r\n"};
  for (const std::string &Response : Responses)
    for (std::size_t Length = 0; Length < Response.size(); ++Length)
      for (const bool IsReset : {false, true}) {
        // A reset takes 20 ms, so most lengths are closed only.
        if (IsReset && Length % 8 != 0)
          continue;
        const std::string Part = Response.substr(0, Length);
        EXPECT_FALSE(
            run(exchange(IsReset ? resettingServer(Part) : rawServer(Part),
                         testDeadline()))
                .Response.has_value())
            << Part;
        EXPECT_FALSE(run(exchangeTwice(keptServer(First, Part, IsReset)))
                         .Response.has_value())
            << Part;
      }
  for (const std::string &Response : Responses)
    EXPECT_TRUE(run(exchangeTwice(keptServer(First, Response, false)))
                    .Response.has_value())
        << Response;
}

// Guards against answers with a status that HTTP does not define.
TEST_F(HttpConnectionTest, StatusOutsideTheProtocolIsAFailure) {
  const std::string Next = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const char *Status : {"000", "001", "099", "600", "999"}) {
    const TimePoint Begin = TimeSource.now();
    const ExchangeOutcome Result =
        run(exchange(keptServer("HTTP/1.1 " + std::string(Status) +
                                    " Odd\r\nContent-Length: 2\r\n\r\nok",
                                Next, false),
                     testDeadline()));
    EXPECT_FALSE(Result.Response.has_value()) << Status;
    EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::InvalidInput) << Status;
    EXPECT_LT(TimeSource.now() - Begin, std::chrono::seconds(1)) << Status;
    EXPECT_FALSE(Result.IsReusable);
  }
}

// Guards against the loss of what a target says in the header of a truncated
// response.
TEST_F(HttpConnectionTest, FailureHoldsTheHeaderOfATruncatedResponse) {
  for (const char *Bytes :
       {"HTTP/1.1 503 Busy\r\nA: 1\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 503 Busy\r\nA: 1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nhel"}) {
    const ExchangeOutcome Result = exchangeWithRawServer(Bytes);
    ASSERT_TRUE(Result.Failure.IncompleteResponse.has_value()) << Bytes;
    EXPECT_EQ(Result.Failure.IncompleteResponse->result_int(), 503U);
    EXPECT_EQ((*Result.Failure.IncompleteResponse)["A"], "1");
    EXPECT_EQ(Result.Failure.IncompleteResponse->body(), "");
  }
  for (const char *Bytes : {"HTTP/1.1 503 Busy\r\nA: 1\r\n", "HTTP/1.1 5", ""})
    EXPECT_FALSE(
        exchangeWithRawServer(Bytes).Failure.IncompleteResponse.has_value())
        << Bytes;
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

HttpConnection::ResponseMatcher acceptId(const std::string &Id) {
  return [Id](const HttpResponse &Response) {
    if (Response["Id"].empty())
      return ResponseMatch::Unidentified;
    return Response["Id"] == Id ? ResponseMatch::Own
                                : ResponseMatch::OtherRequest;
  };
}

// Guards against a second copy of an earlier response without an id that is
// taken for the response to the current request.
TEST_F(HttpConnectionTest, UnidentifiedResponseIsAFailure) {
  const ExchangeOutcome Result =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
                             "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: "
                             "3\r\n\r\nnew"),
                   testDeadline(), acceptId("2")));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
  EXPECT_FALSE(Result.IsReusable);
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

// Guards against two responses that are read as one, because the first one
// broke off within a line of its header.
TEST_F(HttpConnectionTest, ResponseThatSwallowsTheNextIsAFailure) {
  const std::string Next = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: "
                           "3\r\n\r\nnew";
  const std::string First = "HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n"
                            "Retry-After: 0.15\r\nId: 1\r\n\r\n";
  for (std::size_t Length = 0; Length < First.size(); ++Length) {
    const ExchangeOutcome Result =
        run(exchange(rawServer(First.substr(0, Length) + Next), testDeadline(),
                     acceptId("2")));
    EXPECT_TRUE(!Result.Response || Result.Response->result_int() == 200U)
        << Length;
  }
  // The text of a status line within a value is not enough.
  for (const char *Harmless : {"HTTP/1.1 proxy", "HTTP/1.1", "HTTP/1.1 2000"})
    EXPECT_TRUE(exchangeWithRawServer(
                    "HTTP/1.1 200 OK\r\nVia: " + std::string(Harmless) +
                    "\r\nContent-Length: 0\r\n\r\n")
                    .Response.has_value())
        << Harmless;
}

TEST_F(HttpConnectionTest, OversizedResponseIsAFailure) {
  const ExchangeOutcome Result =
      exchangeWithRawServer("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
                            std::string(1001, 'x'));
  EXPECT_FALSE(Result.Response.has_value());
  EXPECT_EQ(Result.Failure.Cause.Kind, ErrorKind::TooLarge);
}

// Guards against an interim response (RFC 9110, section 15.2) that is taken for
// the final one.
TEST_F(HttpConnectionTest, InterimResponsesAreSkipped) {
  const ExchangeOutcome Result =
      exchangeWithRawServer("HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_TRUE(Result.Response.has_value());
  EXPECT_EQ(Result.Response->result_int(), 200U);
}

// Guards against bytes that never end, in each place where a parser waits for
// more: they must not use up the memory of the host, nor the time of the
// caller.
TEST_F(HttpConnectionTest, EndlessBytesAreCutOff) {
  // Limit on what one exchange may take from the socket, beyond the socket
  // buffers of both sides.
  constexpr std::size_t TakenMaximum = std::size_t{12} * 1024 * 1024;
  constexpr std::size_t FillerBytes = std::size_t{16} * 1024;
  const std::string Filler(FillerBytes, 'x');
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Streams{
      {"", Filler},
      {"HTTP/1.1 200 ", Filler},
      {"HTTP/1.1 200 OK\r\nName: ", Filler},
      {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", Filler},
      {Chunked, "4000\r\n" + Filler + "\r\n"},
      {Chunked + "5;", Filler},
      {Chunked + "0\r\nName: ", Filler},
      {Chunked + "0\r\n", "Name: value\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: "
           "other\r\n\r\nok"}};
  for (const auto &[Head, Repeated] : Streams) {
    SentBytes = 0;
    const TimePoint Deadline = TimeSource.now() + std::chrono::seconds(60);
    const ExchangeOutcome Result =
        run(exchange(endlessServer(Head, Repeated), Deadline, acceptId("own")));
    EXPECT_FALSE(Result.Response.has_value()) << Head << Repeated.substr(0, 40);
    EXPECT_FALSE(Result.IsReusable);
    EXPECT_EQ(Result.Failure.Progress, WriteProgress::MayHaveBeenRead);
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(5));
    EXPECT_LT(SentBytes, TakenMaximum) << Head << Repeated.substr(0, 40);
  }
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
