#include "HttpFixture.h"

#include <LibHttp/RequestPipeline.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

// More than the socket buffers of both sides hold.
constexpr std::size_t LargeBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t MemoryBytes = std::size_t{256} * 1024 * 1024;
constexpr std::size_t UploadBytesMaximum = std::size_t{1024} * 1024;
// The limit for noticing a caller that has left; the specification allows 0.5
// s.
constexpr Duration NoticeTime = std::chrono::milliseconds(100);

std::string get(const std::string &Target, const std::string &Fields = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: x\r\n" + Fields + "\r\n";
}

std::string post(const std::string &Target) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
}

/// A connection that sends and receives raw bytes.
struct RawCaller {
  explicit RawCaller(const Endpoint &Remote) : Socket(Context) {
    Socket.open(asio::ip::tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(4096));
    Socket.connect({asio::ip::make_address(Remote.Address), Remote.Port});
    Socket.non_blocking(true);
  }

  void send(const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(Socket, asio::buffer(Bytes), Ignored);
  }

  void shutDown() {
    boost::system::error_code Ignored;
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  }

  void receive() {
    std::array<char, 65536> Buffer{};
    boost::system::error_code Code;
    while (!Code) {
      const std::size_t Count = Socket.read_some(asio::buffer(Buffer), Code);
      Received.append(Buffer.data(), Count);
    }
    IsClosed = Code != asio::error::would_block;
  }

  /// Returns the status and the body of each whole response, and " close" for
  /// one that closes the connection.
  std::vector<std::string> responses() const {
    std::vector<std::string> Parsed;
    std::string_view Rest = Received;
    while (!Rest.empty()) {
      http::response_parser<http::string_body> Parser;
      Parser.eager(true);
      Parser.body_limit(LargeBodyBytes);
      boost::system::error_code Code;
      const std::size_t Used =
          Parser.put(asio::buffer(Rest.data(), Rest.size()), Code);
      if (Code || !Parser.is_done())
        break;
      Rest.remove_prefix(Used);
      Parsed.push_back(std::to_string(Parser.get().result_int()) + " " +
                       Parser.get().body() +
                       (Parser.get().keep_alive() ? "" : " close"));
    }
    return Parsed;
  }

  asio::io_context Context;
  asio::ip::tcp::socket Socket;
  std::string Received;
  bool IsClosed = false;
};

/// Server whose handler holds requests until the test releases them. GET
/// requests may run concurrently.
class PipelineFixture {
public:
  explicit PipelineFixture(bool HasPredicate = true) {
    HttpLimits Limits;
    Limits.HeaderBytes = 1024;
    Limits.BodyBytes = 64 * UploadBytesMaximum;
    Limits.MessageTime = std::chrono::seconds(10);
    Limits.IdleTime = std::chrono::seconds(60);
    HttpServer::ConcurrencyPredicate IsGet;
    if (HasPredicate)
      IsGet = [](const HttpRequest &Request) {
        return Request.method() == http::verb::get;
      };
    Server = std::make_shared<HttpServer>(
        Loop.get_executor(), TimeSource, Limits,
        [this](HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
          return handle(std::move(Request), std::move(CallerLeft));
        },
        [](http::status Status, const Error &) {
          HttpResponse Response{Status, 11};
          Response.body() = "error";
          Response.prepare_payload();
          return Response;
        },
        &Memory, IsGet);
    IsListening = Server->listen({"127.0.0.1", 0}).has_value();
  }
  ~PipelineFixture() {
    Server->close();
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(10));
  }

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft) {
    const std::string Target(Request.target());
    Begun.push_back(Target);
    ++Running;
    MostRunning = std::max(MostRunning, Running);
    if (Target.starts_with("/hold")) {
      const auto Held = std::make_shared<Timer>(Loop.get_executor());
      Held->expires_after(std::chrono::seconds(30));
      Holds[Target] = Held;
      CallerLeft->onOccurrence([&, Target, Held] {
        Cancelled.push_back(Target);
        Held->cancel();
      });
      co_await Held->async_wait(UseTuple);
      Holds.erase(Target);
    }
    --Running;
    HttpResponse Response{Target == "/refused"
                              ? http::status::service_unavailable
                              : http::status::ok,
                          11};
    Response.body() =
        Target == "/large" ? std::string(LargeBodyBytes, 'x') : Target;
    Response.prepare_payload();
    co_return Response;
  }

  void release(const std::string &Target) {
    ASSERT_TRUE(Holds.contains(Target)) << Target;
    Holds[Target]->cancel();
  }

  void runFor(Duration Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  /// Runs the event loop until the condition holds. Returns false after 5 s.
  template <typename Condition>
  bool runUntil(const Condition &IsReached, RawCaller *Caller = nullptr) {
    const TimePoint Limit = BootClock::now() + std::chrono::seconds(5);
    while (BootClock::now() < Limit) {
      if (Caller != nullptr)
        Caller->receive();
      if (IsReached())
        return true;
      runFor(std::chrono::milliseconds(1));
    }
    return false;
  }

  bool runUntilBegun(std::size_t Count) {
    return runUntil([&] { return Begun.size() == Count; });
  }

  bool runUntilAnswered(RawCaller &Caller, std::size_t Count) {
    return runUntil([&] { return Caller.responses().size() == Count; },
                    &Caller);
  }

  bool runUntilClosed(RawCaller &Caller) {
    return runUntil([&] { return Caller.IsClosed; }, &Caller);
  }

  /// Advances the clock and waits for the next sweep.
  void passTime(Duration Time) {
    TimeSource.advance(Time);
    runFor(std::chrono::milliseconds(1200));
  }

  asio::io_context Loop;
  ManualClock TimeSource;
  MessageMemory Memory{{MemoryBytes, UploadBytesMaximum}};
  std::shared_ptr<HttpServer> Server;
  bool IsListening = false;
  std::vector<std::string> Begun;
  std::vector<std::string> Cancelled;
  std::map<std::string, std::shared_ptr<Timer>> Holds;
  std::size_t Running = 0;
  std::size_t MostRunning = 0;
};

using Texts = std::vector<std::string>;

class HttpServerPipelineTest : public testing::Test, protected PipelineFixture {
protected:
  void SetUp() override { ASSERT_TRUE(IsListening); }
};

// Guards against responses that callers assign to the wrong requests.
TEST_F(HttpServerPipelineTest, ResponsesKeepTheOrderOfTheRequests) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2") + get("/hold3"));
  ASSERT_TRUE(runUntilBegun(3));
  release("/hold2");
  runFor(std::chrono::milliseconds(20));
  Caller.receive();
  EXPECT_EQ(Caller.Received, "");
  release("/hold1");
  // Each response leaves as soon as the ones before it are out.
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "200 /hold2"}));
  release("/hold3");
  ASSERT_TRUE(runUntilAnswered(Caller, 3));
  EXPECT_EQ(Caller.responses().back(), "200 /hold3");
  EXPECT_FALSE(Caller.IsClosed);
}

// Guards against concurrent requests on servers whose owners did not ask for
// them.
TEST(HttpServerWithoutPredicate, RequestsRunOneAfterAnother) {
  PipelineFixture Fixture(false);
  RawCaller Caller(Fixture.Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2"));
  ASSERT_TRUE(Fixture.runUntilBegun(1));
  Fixture.runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Fixture.Begun, Texts{"/hold1"});
  Fixture.release("/hold1");
  ASSERT_TRUE(Fixture.runUntilBegun(2));
  Fixture.release("/hold2");
  ASSERT_TRUE(Fixture.runUntilAnswered(Caller, 2));
  EXPECT_EQ(Fixture.MostRunning, 1U);
}

// Guards against a request with side effects that runs before the outcome of
// the ones before it is known, or beside others.
TEST_F(HttpServerPipelineTest, NonIdempotentRequestRunsAlone) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2") + post("/hold3") + get("/hold4"));
  ASSERT_TRUE(runUntilBegun(2));
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 1));
  EXPECT_EQ(Begun, (Texts{"/hold1", "/hold2"}));
  release("/hold2");
  ASSERT_TRUE(runUntilBegun(3));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Begun, (Texts{"/hold1", "/hold2", "/hold3"}));
  release("/hold3");
  ASSERT_TRUE(runUntilBegun(4));
  release("/hold4");
  ASSERT_TRUE(runUntilAnswered(Caller, 4));
  EXPECT_EQ(Caller.responses(),
            (Texts{"200 /hold1", "200 /hold2", "200 /hold3", "200 /hold4"}));
}

// Guards against a failed request that takes the ones behind it with it.
TEST_F(HttpServerPipelineTest, ErrorOfTheHandlerDoesNotEndTheConnection) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/refused") + get("/3"));
  ASSERT_TRUE(runUntilBegun(3));
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 3));
  EXPECT_EQ(Caller.responses(),
            (Texts{"200 /hold1", "503 /refused", "200 /3"}));
}

// Guards against a malformed request whose error response overtakes the
// responses before it, and against serving what follows it.
TEST_F(HttpServerPipelineTest, MalformedRequestIsAnsweredInOrder) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + "no request\r\n\r\n" + post("/3") + get("/4"));
  ASSERT_TRUE(runUntilBegun(1));
  runFor(std::chrono::milliseconds(20));
  Caller.receive();
  EXPECT_EQ(Caller.Received, "");
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  Caller.shutDown();
  ASSERT_TRUE(runUntilClosed(Caller));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "400 error close"}));
  EXPECT_EQ(Begun, Texts{"/hold1"});
}

// Guards against an upload without memory that delays or overtakes the
// responses before it, and against memory that stays taken.
TEST_F(HttpServerPipelineTest, RequestWithoutMemoryIsRefusedInOrder) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + "POST /2 HTTP/1.1\r\nContent-Length: " +
              std::to_string(UploadBytesMaximum + 1) + "\r\n\r\n");
  ASSERT_TRUE(runUntilBegun(1));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Memory.deniedMessages(), 1U);
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "503 error close"}));
  Caller.shutDown();
  ASSERT_TRUE(runUntilClosed(Caller));
  EXPECT_TRUE(runUntil([&] { return Server->sessions() == 0; }));
  EXPECT_EQ(Memory.usedBytes(), 0U);
}

// Guards against responses to requests that their callers consider unread, and
// against side effects of these requests.
TEST_F(HttpServerPipelineTest, NothingRunsBehindAClosingResponse) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2", "Connection: close\r\n") +
              post("/3") + get("/4"));
  ASSERT_TRUE(runUntilBegun(2));
  release("/hold2");
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  Caller.shutDown();
  ASSERT_TRUE(runUntilClosed(Caller));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "200 /hold2 close"}));
  EXPECT_EQ(Begun, (Texts{"/hold1", "/hold2"}));
}

/// How a caller leaves with five requests open.
struct Leaving {
  std::string Name;
  /// Sent behind the open requests.
  std::string Rest;
  std::size_t OpenCount = 5;
  bool IsHalfClose = false;
  bool IsReset = false;
  /// Sent when the open requests have begun.
  std::string Later = "";
};

std::ostream &operator<<(std::ostream &Output, const Leaving &Case) {
  return Output << Case.Name;
}

class HttpServerLeavingTest : public testing::TestWithParam<Leaving>,
                              protected PipelineFixture {};

// Guards against work on requests whose caller has left, whatever of its bytes
// has not been read.
TEST_P(HttpServerLeavingTest, AllOpenRequestsAreCancelled) {
  RawCaller Caller(Server->localEndpoint());
  std::string Bytes;
  for (std::size_t Index = 0; Index < GetParam().OpenCount; ++Index)
    Bytes += get("/hold" + std::to_string(Index));
  Caller.send(Bytes + GetParam().Rest);
  ASSERT_TRUE(runUntilBegun(GetParam().OpenCount));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Server->activeRequests(), GetParam().OpenCount);
  Caller.send(GetParam().Later);
  if (GetParam().IsReset)
    Caller.Socket.set_option(asio::socket_base::linger(true, 0));
  if (GetParam().IsHalfClose)
    Caller.shutDown();
  else
    Caller.Socket.close();
  const TimePoint Left = BootClock::now();
  ASSERT_TRUE(
      runUntil([&] { return Cancelled.size() == GetParam().OpenCount; }));
  EXPECT_LT(BootClock::now() - Left, NoticeTime);
  EXPECT_TRUE(runUntil([&] { return Server->activeRequests() == 0; }));
  EXPECT_EQ(Begun.size(), GetParam().OpenCount);
  if (GetParam().IsHalfClose) {
    EXPECT_TRUE(runUntilClosed(Caller));
  }
  EXPECT_TRUE(runUntil([&] { return Server->sessions() == 0; }));
  EXPECT_EQ(Memory.usedBytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Callers, HttpServerLeavingTest,
    testing::Values(Leaving{"NothingUnread", ""},
                    Leaving{"PartOfAHeader", "GET /6 HT"},
                    Leaving{"PartOfABody", "POST /6 HTTP/1.1\r\n"
                                           "Content-Length: 100\r\n\r\nab"},
                    Leaving{"WaitingNonIdempotent", post("/6") + get("/7")},
                    Leaving{"FullQueue", get("/9") + get("/10"), 8},
                    // Bytes that stay in the socket, because the queue is full.
                    Leaving{"FullQueueAndUnreadBytes", get("/9"), 8, false,
                            false, std::string(30'000, 'x')},
                    Leaving{"HalfClose", "", 5, true},
                    Leaving{"HalfCloseBehindUnreadBytes", post("/6") + "GET", 5,
                            true},
                    Leaving{"Reset", "GET /6 HT", 5, false, true}),
    [](const auto &Case) { return Case.param.Name; });

// Guards against responses that pile up for a caller that does not read them,
// and against requests that are begun for it without bound.
TEST_F(HttpServerPipelineTest, SlowReaderHoldsABoundedNumberOfResponses) {
  RawCaller Caller(Server->localEndpoint());
  std::string Bytes;
  for (int Index = 0; Index < 100; ++Index)
    Bytes += get("/large");
  Caller.send(Bytes);
  ASSERT_TRUE(runUntilBegun(OpenRequestsMaximum));
  runFor(std::chrono::milliseconds(50));
  EXPECT_EQ(Begun.size(), OpenRequestsMaximum);
  EXPECT_GE(Memory.usedBytes(), OpenRequestsMaximum * LargeBodyBytes);
  EXPECT_LE(Memory.usedBytes(),
            OpenRequestsMaximum * (LargeBodyBytes + 1024) + ReadBufferBytes);
  passTime(std::chrono::seconds(11));
  EXPECT_EQ(Server->sessions(), 0U);
  EXPECT_EQ(Memory.usedBytes(), 0U);
  EXPECT_EQ(Begun.size(), OpenRequestsMaximum);
}

// Guards against requests that keep running when the connection is closed
// because the caller does not read the response before them.
TEST_F(HttpServerPipelineTest, ClosingASlowReaderCancelsItsRequests) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/large") + get("/hold2"));
  ASSERT_TRUE(runUntilBegun(2));
  passTime(std::chrono::seconds(11));
  EXPECT_EQ(Cancelled, Texts{"/hold2"});
  EXPECT_TRUE(runUntil([&] { return Server->sessions() == 0; }));
}

// Guards against the end of connections whose requests take longer than
// connections may be idle.
TEST_F(HttpServerPipelineTest, ConnectionWithRunningRequestsIsNotIdle) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2"));
  ASSERT_TRUE(runUntilBegun(2));
  passTime(std::chrono::seconds(61));
  release("/hold1");
  release("/hold2");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  EXPECT_FALSE(Caller.IsClosed);
  // The idle time begins with the last response.
  passTime(std::chrono::seconds(59));
  Caller.receive();
  EXPECT_FALSE(Caller.IsClosed);
  passTime(std::chrono::seconds(2));
  Caller.receive();
  EXPECT_TRUE(Caller.IsClosed);
}

// Guards against a caller that holds a connection with a request that it does
// not finish, and against the loss of the responses before this request.
TEST_F(HttpServerPipelineTest, PartlyReadRequestIsBounded) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + "GET /2 HT");
  RawCaller Alone(Server->localEndpoint());
  Alone.send("GET /2 HT");
  ASSERT_TRUE(runUntilBegun(1));
  // The time begins with the next sweep.
  passTime(std::chrono::seconds(0));
  passTime(std::chrono::seconds(11));
  Alone.receive();
  EXPECT_TRUE(Alone.IsClosed);
  EXPECT_TRUE(Cancelled.empty());
  Caller.send("TP/1.1\r\n\r\n");
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 1));
  EXPECT_EQ(Caller.responses(), Texts{"200 /hold1 close"});
  Caller.shutDown();
  EXPECT_TRUE(runUntilClosed(Caller));
  EXPECT_EQ(Begun, Texts{"/hold1"});
}

// Guards against the time in which the server does not read being counted
// against the caller.
TEST_F(HttpServerPipelineTest, UnreadRequestBehindAFullQueueIsNotSlow) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(post("/hold1") + get("/2"));
  ASSERT_TRUE(runUntilBegun(1));
  passTime(std::chrono::seconds(11));
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "200 /2"}));
}

// Guards against requests of a burst that are lost, repeated or reordered, and
// against more concurrency than the limit.
TEST_F(HttpServerPipelineTest, HundredRequestsInOneWrite) {
  RawCaller Caller(Server->localEndpoint());
  std::string Bytes;
  Texts Expected;
  for (int Index = 0; Index < 100; ++Index) {
    const std::string Target = "/" + std::to_string(Index);
    Bytes += Index % 7 == 3 ? post(Target) : get(Target);
    Expected.push_back("200 " + Target);
  }
  Caller.send(Bytes);
  ASSERT_TRUE(runUntilAnswered(Caller, 100));
  EXPECT_EQ(Caller.responses(), Expected);
  EXPECT_EQ(Begun.size(), 100U);
  EXPECT_LE(MostRunning, OpenRequestsMaximum);
  // The caller may have the last response before the server has handled the
  // completion of its write.
  EXPECT_TRUE(runUntil([&] { return Server->unfinishedRequests() == 0; }));
}

// Guards against a limit that holds only for requests that complete at once.
TEST_F(HttpServerPipelineTest, AtMostEightRequestsRun) {
  RawCaller Caller(Server->localEndpoint());
  std::string Bytes;
  for (int Index = 0; Index < 20; ++Index)
    Bytes += get("/hold" + std::to_string(Index));
  Caller.send(Bytes);
  ASSERT_TRUE(runUntilBegun(8));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Begun.size(), 8U);
  // The first response holds the others back, so none takes its place.
  release("/hold1");
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Begun.size(), 8U);
  release("/hold0");
  ASSERT_TRUE(runUntilBegun(10));
  EXPECT_EQ(MostRunning, 8U);
}

// Guards against requests that are misread where the network splits them.
TEST_F(HttpServerPipelineTest, BytesMayBeSplitAnywhere) {
  const std::string Bytes = get("/1") + post("/2") + get("/3");
  for (std::size_t Split = 1; Split < Bytes.size(); ++Split) {
    RawCaller Caller(Server->localEndpoint());
    Caller.send(Bytes.substr(0, Split));
    runFor(std::chrono::milliseconds(2));
    Caller.send(Bytes.substr(Split));
    ASSERT_TRUE(runUntilAnswered(Caller, 3)) << Split;
    EXPECT_EQ(Caller.responses(), (Texts{"200 /1", "200 /2", "200 /3"}));
  }
}

// Guards against a drain that loses requests which have been read, or runs ones
// whose callers were told to send them elsewhere.
TEST_F(HttpServerPipelineTest, DrainAnswersOpenRequestsAndReadsNoOther) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2") + get("/hold3"));
  ASSERT_TRUE(runUntilBegun(3));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Server->unfinishedRequests(), 3U);
  EXPECT_EQ(Server->activeRequests(), 3U);
  Server->endKeepAlive();
  Server->stopAccepting();
  Server->closeIdleSessions();
  release("/hold3");
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Server->activeRequests(), 2U);
  EXPECT_EQ(Server->unfinishedRequests(), 3U);
  release("/hold1");
  release("/hold2");
  ASSERT_TRUE(runUntilAnswered(Caller, 3));
  EXPECT_EQ(Caller.responses(),
            (Texts{"200 /hold1", "200 /hold2", "200 /hold3 close"}));
  Caller.send(post("/4") + get("/5"));
  Caller.shutDown();
  ASSERT_TRUE(runUntilClosed(Caller));
  EXPECT_EQ(Begun.size(), 3U);
  EXPECT_TRUE(Cancelled.empty());
  EXPECT_TRUE(runUntil([&] { return Server->unfinishedRequests() == 0; }));
}

// Guards against a drain that never ends for a caller that sends without pause.
TEST_F(HttpServerPipelineTest, DrainClosesAConnectionWithUnreadRequests) {
  RawCaller Caller(Server->localEndpoint());
  std::string Bytes;
  for (int Index = 0; Index < 20; ++Index)
    Bytes += get("/hold" + std::to_string(Index));
  Caller.send(Bytes);
  ASSERT_TRUE(runUntilBegun(8));
  EXPECT_EQ(Server->unfinishedRequests(), 9U);
  Server->endKeepAlive();
  for (int Index = 0; Index < 8; ++Index)
    release("/hold" + std::to_string(Index));
  ASSERT_TRUE(runUntilAnswered(Caller, 8));
  Caller.shutDown();
  ASSERT_TRUE(runUntilClosed(Caller));
  EXPECT_EQ(Caller.responses().back(), "200 /hold7 close");
  EXPECT_EQ(Begun.size(), 8U);
}

// Guards against a drain that waits for a request which does not arrive whole,
// or that resets its connection without a response.
TEST_F(HttpServerPipelineTest, DrainRejectsUnreadRequestsInOrder) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + "GET /2 HT");
  RawCaller Alone(Server->localEndpoint());
  Alone.send("GET /2 HT");
  RawCaller Idle(Server->localEndpoint());
  ASSERT_TRUE(runUntilBegun(1));
  runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Server->unfinishedRequests(), 3U);
  Server->rejectUnreadRequests();
  Server->closeIdleSessions();
  ASSERT_TRUE(runUntilAnswered(Alone, 1));
  EXPECT_EQ(Alone.responses(), Texts{"503 error close"});
  ASSERT_TRUE(runUntilClosed(Idle));
  EXPECT_EQ(Idle.Received, "");
  Server->rejectUnreadRequests();
  release("/hold1");
  ASSERT_TRUE(runUntilAnswered(Caller, 2));
  EXPECT_EQ(Caller.responses(), (Texts{"200 /hold1", "503 error close"}));
}

// Guards against a closed server that leaves requests running.
TEST_F(HttpServerPipelineTest, CloseCancelsOpenRequests) {
  RawCaller Caller(Server->localEndpoint());
  Caller.send(get("/hold1") + get("/hold2"));
  ASSERT_TRUE(runUntilBegun(2));
  Server->close();
  EXPECT_TRUE(runUntil([&] { return Server->sessions() == 0; }));
  EXPECT_EQ(Cancelled, (Texts{"/hold1", "/hold2"}));
}

// Guards against malformed input that crashes the process or fails the request
// of a later caller.
RC_GTEST_PROP(HttpServerPipelineProperty, RandomBytesDoNotAffectOtherCallers,
              (const std::vector<std::uint8_t> &Bytes)) {
  PipelineFixture Fixture;
  RawCaller Noise(Fixture.Server->localEndpoint());
  Noise.send(get("/1") + std::string(Bytes.begin(), Bytes.end()));
  RawCaller Caller(Fixture.Server->localEndpoint());
  Caller.send(get("/1") + get("/2"));
  RC_ASSERT(Fixture.runUntilAnswered(Caller, 2));
}

} // namespace
} // namespace comfreyrill
