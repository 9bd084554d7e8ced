#include "HttpFixture.h"

#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// More than the socket buffers of both sides hold.
constexpr std::size_t LargeBodyBytes = std::size_t{16} * 1024 * 1024;

constexpr std::size_t UploadBytesMaximum = 2 * LargeBodyBytes;

/// Server that responds with "ok", and a client that sends raw bytes to it.
class ServerFixture : public HttpFixture {
public:
  ServerFixture() {
    HttpLimits Limits;
    Limits.HeaderBytes = 1024;
    Limits.BodyBytes = 100;
    Server = std::make_shared<HttpServer>(
        Loop.get_executor(), TimeSource, Limits,
        [this](HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
          return handle(std::move(Request), std::move(CallerLeft));
        },
        [](http::status Status, const Error &Cause) {
          HttpResponse Response{Status, 11};
          Response.body() = Cause.Message;
          Response.prepare_payload();
          return Response;
        },
        &Memory);
    IsListening = Server->listen({"127.0.0.1", 0}).has_value();
  }
  ~ServerFixture() {
    Server->close();
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(10));
  }

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft) {
    if (Request.target() == "/wait") {
      Timer Pause(Loop.get_executor());
      Pause.expires_after(std::chrono::seconds(5));
      CallerLeft->onOccurrence([&] {
        SawDisconnect = true;
        Pause.cancel();
      });
      co_await Pause.async_wait(UseTuple);
    }
    HttpResponse Response{http::status::ok, 11};
    Response.body() = Request.target() == "/large"
                          ? std::string(LargeBodyBytes, 'x')
                          : std::string("ok");
    Response.prepare_payload();
    co_return Response;
  }

  /// Sends bytes on a new connection, shuts down its sending side and returns
  /// all bytes received.
  std::string send(std::string Bytes) {
    return run(exchange(std::move(Bytes)));
  }

  Awaitable<std::string> exchange(std::string Bytes) {
    TcpSocket Socket(Loop.get_executor());
    const Endpoint Remote = Server->localEndpoint();
    co_await Socket.async_connect(
        {asio::ip::make_address(Remote.Address), Remote.Port}, UseTuple);
    co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
    boost::system::error_code Ignored;
    Socket.shutdown(TcpSocket::shutdown_send, Ignored);
    std::string Received;
    co_await asio::async_read(Socket, asio::dynamic_buffer(Received), UseTuple);
    co_return Received;
  }

  MessageMemory Memory{{2 * UploadBytesMaximum, UploadBytesMaximum}};
  std::shared_ptr<HttpServer> Server;
  bool IsListening = false;
  bool SawDisconnect = false;
};

constexpr std::string_view ValidRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

class HttpServerTest : public testing::Test, protected ServerFixture {};

TEST_F(HttpServerTest, AnswersRequestsOfOneConnectionInOrder) {
  ASSERT_TRUE(IsListening);
  const std::string Twice =
      std::string(ValidRequest) + std::string(ValidRequest);
  const std::string Received = send(Twice);
  const std::size_t First = Received.find("HTTP/1.1 200");
  ASSERT_NE(First, std::string::npos);
  EXPECT_NE(Received.find("HTTP/1.1 200", First + 1), std::string::npos);
}

// Guards against unbounded memory use by callers.
TEST_F(HttpServerTest, RefusesOversizedMessages) {
  EXPECT_NE(
      send("GET /" + std::string(2000, 'a') + " HTTP/1.1\r\n\r\n").find("413"),
      std::string::npos);
  EXPECT_NE(send("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                 std::string(101, 'x'))
                .find("413"),
            std::string::npos);
}

// Guards against uploads that use up the memory of the host together, against a
// refusal that is late or lost because the connection is reset, and against
// memory that stays taken afterwards.
TEST_F(HttpServerTest, UploadWithoutMemoryIsRefusedBeforeItsBody) {
  HttpLimits Limits;
  Limits.BodyBytes = 64 * LargeBodyBytes;
  Server->setLimits(Limits);
  const auto Upload = [](std::size_t Bytes) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Bytes) +
           "\r\n\r\n";
  };
  EXPECT_NE(send(Upload(LargeBodyBytes) + std::string(LargeBodyBytes, 'x'))
                .find("HTTP/1.1 200"),
            std::string::npos);
  // Only the header is sent.
  EXPECT_NE(send(Upload(UploadBytesMaximum + 1)).find("HTTP/1.1 503"),
            std::string::npos);
  // The body is sent without regard to the response.
  EXPECT_NE(send(Upload(UploadBytesMaximum + 1) +
                 std::string(UploadBytesMaximum + 1, 'x'))
                .find("HTTP/1.1 503"),
            std::string::npos);
  std::string Chunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Chunk = "100000\r\n" + std::string(0x100000, 'x') + "\r\n";
  for (std::size_t Sent = 0; Sent <= UploadBytesMaximum; Sent += 0x100000)
    Chunks += Chunk;
  EXPECT_NE(send(Chunks + "0\r\n\r\n").find("HTTP/1.1 503"), std::string::npos);
  EXPECT_EQ(Memory.usedBytes(), 0U);
  EXPECT_EQ(Memory.deniedMessages(), 3U);
  EXPECT_NE(send(std::string(ValidRequest)).find("HTTP/1.1 200"),
            std::string::npos);
}

// Guards against work on requests whose callers have disconnected.
TEST_F(HttpServerTest, HandlerIsNotifiedOfDisconnect) {
  asio::co_spawn(
      Loop,
      [this]() -> Awaitable<void> {
        TcpSocket Socket(Loop.get_executor());
        const Endpoint Remote = Server->localEndpoint();
        co_await Socket.async_connect(
            {asio::ip::make_address(Remote.Address), Remote.Port}, UseTuple);
        const std::string Bytes = "GET /wait HTTP/1.1\r\n\r\n";
        co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
      },
      asio::detached);
  Loop.restart();
  const TimePoint Limit = testDeadline();
  while (!SawDisconnect && TimeSource.now() < Limit)
    Loop.run_one_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(SawDisconnect);
}

// Guards against a planned stop that resets a connection on which a request has
// just arrived but is not read yet. With chaos seed 1 this aborted one call in
// 15 s.
TEST_F(HttpServerTest, ClosingIdleSessionsKeepsConnectionsWithUnreadRequests) {
  const Endpoint Remote = Server->localEndpoint();
  asio::io_context CallerContext;
  asio::ip::tcp::socket Caller(CallerContext);
  Caller.connect({asio::ip::make_address(Remote.Address), Remote.Port});
  const std::string Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(20));
  ASSERT_EQ(Server->sessions(), 1U);
  asio::write(Caller, asio::buffer(Request));
  Server->closeIdleSessions();
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(50));
  std::array<char, 512> ResponseBytes{};
  boost::system::error_code Code;
  const std::size_t Count = Caller.read_some(asio::buffer(ResponseBytes), Code);
  EXPECT_FALSE(Code) << Code.message();
  EXPECT_EQ(std::string(ResponseBytes.data(), std::min<std::size_t>(Count, 15)),
            "HTTP/1.1 200 OK");
}

// Guards against a planned stop that resets connections which the kernel has
// accepted, with their requests, but the server has not.
TEST_F(HttpServerTest, StoppingServesConnectionsThatWaitToBeAccepted) {
  constexpr std::size_t CallerCount = 5;
  const Endpoint Remote = Server->localEndpoint();
  asio::io_context CallerContext;
  std::vector<asio::ip::tcp::socket> Callers;
  for (std::size_t Index = 0; Index < CallerCount; ++Index) {
    Callers.emplace_back(CallerContext);
    Callers.back().connect(
        {asio::ip::make_address(Remote.Address), Remote.Port});
    asio::write(Callers.back(),
                asio::buffer(ValidRequest.data(), ValidRequest.size()));
  }
  Server->stopAccepting();
  Server->closeIdleSessions();
  EXPECT_EQ(Server->unfinishedRequests(), CallerCount);
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(50));
  for (auto &Caller : Callers) {
    std::array<char, 512> ResponseBytes{};
    boost::system::error_code Code;
    const std::size_t Count =
        Caller.read_some(asio::buffer(ResponseBytes), Code);
    EXPECT_FALSE(Code) << Code.message();
    EXPECT_EQ(
        std::string(ResponseBytes.data(), std::min<std::size_t>(Count, 15)),
        "HTTP/1.1 200 OK");
  }
  EXPECT_EQ(Server->unfinishedRequests(), 0U);
}

// Guards against a planned stop that ends the process while a request is being
// read or its response is being written.
TEST_F(HttpServerTest, RequestsCountUntilTheirResponsesAreWritten) {
  const Endpoint Remote = Server->localEndpoint();
  asio::io_context CallerContext;
  asio::ip::tcp::socket Reading(CallerContext);
  Reading.connect({asio::ip::make_address(Remote.Address), Remote.Port});
  asio::write(Reading,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\n"
                                       "Content-Length: 4\r\n\r\nha")));
  asio::ip::tcp::socket Writing(CallerContext);
  Writing.open(asio::ip::tcp::v4());
  Writing.set_option(asio::socket_base::receive_buffer_size(4096));
  Writing.connect({asio::ip::make_address(Remote.Address), Remote.Port});
  asio::write(Writing, asio::buffer(std::string(
                           "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")));
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(50));
  Server->stopAccepting();
  Server->closeIdleSessions();
  EXPECT_EQ(Server->unfinishedRequests(), 2U);
  asio::write(Reading, asio::buffer(std::string("lf")));
  std::string Received;
  asio::async_read(Writing, asio::dynamic_buffer(Received),
                   [](const boost::system::error_code &, std::size_t) {});
  for (int Round = 0; Round < 200 && Server->unfinishedRequests() > 0;
       ++Round) {
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(5));
    CallerContext.restart();
    CallerContext.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(Server->unfinishedRequests(), 0U);
  CallerContext.restart();
  CallerContext.run_for(std::chrono::seconds(5));
  EXPECT_GT(Received.size(), LargeBodyBytes);
}

// Guards against a response that is lost because the caller has sent its next
// request, which is not served, before the connection was closed.
TEST_F(HttpServerTest, NextRequestDoesNotDestroyTheLastResponse) {
  const Endpoint Remote = Server->localEndpoint();
  asio::io_context CallerContext;
  asio::ip::tcp::socket Caller(CallerContext);
  Caller.open(asio::ip::tcp::v4());
  Caller.set_option(asio::socket_base::receive_buffer_size(4096));
  Caller.connect({asio::ip::make_address(Remote.Address), Remote.Port});
  Server->endKeepAlive();
  const std::string Request = "GET /large HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(Caller, asio::buffer(Request));
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(50));
  asio::write(Caller, asio::buffer(Request));
  std::string Received;
  boost::system::error_code End;
  asio::async_read(Caller, asio::dynamic_buffer(Received),
                   [&End](const boost::system::error_code &Code, std::size_t) {
                     End = Code;
                   });
  const TimePoint Limit = testDeadline();
  while (!End && TimeSource.now() < Limit) {
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(5));
    CallerContext.restart();
    CallerContext.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(End, asio::error::eof);
  EXPECT_GT(Received.size(), LargeBodyBytes);
  EXPECT_LT(Received.size(), LargeBodyBytes + 1000);
}

// Guards against a drain that closes a connection before it has sent the
// response.
TEST_F(HttpServerTest, EndKeepAliveClosesAfterTheResponse) {
  Server->endKeepAlive();
  const std::string Twice =
      std::string(ValidRequest) + std::string(ValidRequest);
  const std::string Received = send(Twice);
  const std::size_t First = Received.find("HTTP/1.1 200");
  ASSERT_NE(First, std::string::npos);
  EXPECT_NE(Received.find("Connection: close"), std::string::npos);
  EXPECT_EQ(Received.find("HTTP/1.1 200", First + 1), std::string::npos);
}

// Guards against malformed input that crashes the process or fails the request
// of a later caller.
RC_GTEST_PROP(HttpServerProperty, RandomBytesDoNotAffectOtherCallers,
              (const std::vector<std::uint8_t> &Bytes)) {
  ServerFixture Fixture;
  RC_ASSERT(Fixture.IsListening);
  Fixture.send(std::string(Bytes.begin(), Bytes.end()));
  RC_ASSERT(Fixture.send(std::string(ValidRequest)).find("200") !=
            std::string::npos);
}

// Guards against the same failure with text that begins like an HTTP request.
RC_GTEST_PROP(HttpServerProperty, RandomHeadersDoNotAffectOtherCallers,
              (const std::string &Text)) {
  ServerFixture Fixture;
  Fixture.send("POST /" + Text + " HTTP/1.1\r\n" + Text + "\r\n\r\n" + Text);
  RC_ASSERT(Fixture.send(std::string(ValidRequest)).find("200") !=
            std::string::npos);
}

} // namespace
} // namespace comfreyrill
