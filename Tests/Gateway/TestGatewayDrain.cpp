#include "GatewayProcess.h"

#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <Soak/ObjectStoreStandIn.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr Duration StopTime = 2s;
constexpr Duration Work = 500ms;

/// A gateway process with a store and one target, which the event loop of the
/// test serves.
class GatewayDrainTest : public testing::Test {
protected:
  GatewayDrainTest() {
    EXPECT_TRUE(Store.listen());
    EXPECT_TRUE(Target->listen({"127.0.0.1", 0}));
    Store.put(
        "config", "main",
        boost::json::object{
            {"version", "r1"},
            {"services", {{{"name", "stock"}, {"healthPath", "/health"}}}},
            {"routes",
             {{{"name", "book"},
               {"host", "a.example"},
               {"pathPrefix", "/book/"},
               {"kind", "non_idempotent"},
               {"service", "stock"},
               {"timeoutS", 5},
               {"targetLatencyS", 1}}}}});
    Store.put("servers", "i-1",
              boost::json::object{
                  {"service", "stock"},
                  {"address", formatEndpoint(Target->localEndpoint())},
                  {"zone", "west"},
                  {"slots", 40},
                  {"state", "ready"},
                  {"born", 1771918829000}});
    auto Settings = gatewaySettings(Store.endpoint());
    Settings["stop_time_s"] = std::chrono::duration<double>(StopTime).count();
    Settings["metrics_address"] = "127.0.0.1:0";
    Process.emplace(Settings);
    EXPECT_TRUE(Process->waitForLog(
        "event=ready", [&] { Loop.run_for(std::chrono::milliseconds(5)); }));
  }
  ~GatewayDrainTest() override { Target->close(); }

  Awaitable<HttpResponse> answer(HttpRequest Request) {
    HttpResponse Answer(http::status::ok, 11);
    Answer.set("Request-Id", Request["Request-Id"]);
    if (Request.target() == "/health") {
      Answer.set("Backend-Load", "0,0,40,100");
    } else {
      ++Runs;
      Timer Working(Loop.get_executor());
      Working.expires_after(Work);
      co_await Working.async_wait(UseTuple);
      Answer.set("Response-Signature", "3e1b");
    }
    Answer.prepare_payload();
    co_return Answer;
  }

  /// A request of which the last byte is sent later than the rest.
  struct SlowRequest {
    std::chrono::milliseconds Deadline{5000};
    Duration LastByteAfter{0};
    /// What the host has answered until it closed the connection.
    std::string Answer;
    Duration AnsweredAfter{0};
    bool IsDone = false;
  };

  void send(SlowRequest &Request) {
    asio::co_spawn(Loop, exchange(Request), asio::detached);
  }

  Awaitable<void> exchange(SlowRequest &Request) {
    TcpSocket Socket(Loop.get_executor());
    const Endpoint Remote = Process->callers();
    co_await Socket.async_connect(
        {asio::ip::make_address(Remote.Address), Remote.Port}, UseTuple);
    const std::string Text =
        "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n"
        "Request-Deadline: " +
        std::to_string(Request.Deadline.count()) +
        "\r\nContent-Length: 2\r\n\r\nxy";
    const TimePoint Begin = TimeSource.now();
    co_await asio::async_write(
        Socket, asio::buffer(Text.data(), Text.size() - 1), UseTuple);
    Timer Waiting(Loop.get_executor());
    Waiting.expires_after(Request.LastByteAfter);
    co_await Waiting.async_wait(UseTuple);
    co_await asio::async_write(Socket, asio::buffer("y", 1), UseTuple);
    co_await asio::async_read(Socket, asio::dynamic_buffer(Request.Answer),
                              UseTuple);
    Request.AnsweredAfter = TimeSource.now() - Begin;
    Request.IsDone = true;
  }

  /// Returns the response of the host to a request to explain.
  boost::json::value explain() {
    HttpRequest Request(http::verb::post, "/explain", 11);
    Request.body() = R"({"method":"POST","host":"a.example","path":"/book/1"})";
    std::optional<Result<HttpResponse>> Received;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          Received = co_await fetch(Process->metrics(), Request, HttpLimits{},
                                    TimeSource.now() + StopTime);
        },
        asio::detached);
    EXPECT_TRUE(runUntil([&] { return Received.has_value(); }));
    return boost::json::parse(Received->value().body());
  }

  bool runUntil(const std::function<bool()> &Condition) {
    const TimePoint Until = TimeSource.now() + 2 * StopTime;
    while (!Condition() && TimeSource.now() < Until)
      Loop.run_one_for(std::chrono::milliseconds(5));
    return Condition();
  }

  void runFor(Duration Time) {
    const TimePoint Until = TimeSource.now() + Time;
    runUntil([&] { return TimeSource.now() >= Until; });
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
  soak::ObjectStoreStandIn Store{Loop.get_executor(), TimeSource};
  std::shared_ptr<HttpServer> Target = std::make_shared<HttpServer>(
      Loop.get_executor(), TimeSource, HttpLimits{},
      [this](HttpRequest Request, std::shared_ptr<Disconnect>) {
        return answer(std::move(Request));
      },
      [](http::status Status, const Error &) {
        return HttpResponse(Status, 11);
      });
  std::optional<GatewayProcess> Process;
  int Runs = 0;
};

// Guards against a request that arrives late in a planned stop, is passed on
// and cut off at the end: its caller cannot know whether it has run.
TEST_F(GatewayDrainTest, LateRequestIsRefusedBeforeItRuns) {
  SlowRequest Late;
  Late.LastByteAfter = 1500ms;
  send(Late);
  runFor(50ms);
  Process->signal(SIGTERM);
  EXPECT_TRUE(runUntil([&] { return Late.IsDone; }));
  EXPECT_EQ(Late.Answer.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(Late.Answer.find("draining"), std::string::npos);
  EXPECT_EQ(Runs, 0);
}

// Guards against refusing requests that end before the drain does.
TEST_F(GatewayDrainTest, RequestThatEndsBeforeTheDrainIsServed) {
  SlowRequest Early;
  send(Early);
  runFor(50ms);
  Process->signal(SIGTERM);
  SlowRequest Next;
  send(Next);
  EXPECT_TRUE(runUntil([&] { return Early.IsDone && Next.IsDone; }));
  EXPECT_EQ(Early.Answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(Next.Answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(Runs, 2);
}

// Guards against a repeated signal that cuts off the requests in progress.
TEST_F(GatewayDrainTest, RepeatedTerminationCutsNoRequestOff) {
  SlowRequest Running;
  send(Running);
  EXPECT_TRUE(runUntil([&] { return Runs == 1; }));
  for (int Count = 0; Count < 3; ++Count) {
    Process->signal(SIGTERM);
    runFor(50ms);
  }
  EXPECT_TRUE(runUntil([&] { return Running.IsDone; }));
  EXPECT_EQ(Running.Answer.substr(0, 12), "HTTP/1.1 200");
}

// Guards against a request that is still arriving when the drain ends, whose
// caller would not be told that it has not run.
TEST_F(GatewayDrainTest, RequestThatDoesNotArriveIsRefused) {
  SlowRequest Slow;
  Slow.LastByteAfter = StopTime + 1s;
  send(Slow);
  runFor(50ms);
  Process->signal(SIGTERM);
  EXPECT_TRUE(runUntil([&] { return Process->hasEnded(); }));
  EXPECT_TRUE(runUntil([&] { return Slow.IsDone; }));
  EXPECT_EQ(Slow.Answer.substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(Runs, 0);
}

// Guards against a process without the explanations on its metrics address,
// also while it drains, and against a request that they send.
TEST_F(GatewayDrainTest, HostExplainsBeforeAndDuringItsDrain) {
  const auto Ready = explain();
  EXPECT_FALSE(Ready.at("draining").as_bool());
  EXPECT_EQ(Ready.at("outcome").at("result").as_string(), "send");
  EXPECT_EQ(Ready.at("targets").as_array().size(), 1U);
  Process->signal(SIGTERM);
  EXPECT_TRUE(Process->waitForLog("event=drain"));
  EXPECT_TRUE(explain().at("draining").as_bool());
  EXPECT_EQ(Runs, 0);
}

} // namespace
} // namespace comfreyrill
