#include "GatewayProcess.h"

#include <LibHttp/HttpConnection.h>
#include <LibHttp/HttpServer.h>
#include <Soak/ObjectStoreStandIn.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t CallerPort = 7001;
constexpr std::uint16_t PeerPort = 7002;
constexpr int TargetCount = 8;

/// Two hosts in different failure domains, of which "west" reaches no target:
/// its store names other addresses for the same targets.
class CutOffHostTest : public testing::Test {
protected:
  CutOffHostTest() { EXPECT_TRUE(Target->listen({"127.0.0.1", 0})); }
  ~CutOffHostTest() override { Target->close(); }

  static std::string hostAddress(int Index) {
    const auto Run = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(192 + Run / 256 % 32) + "." +
           std::to_string(Run % 256) + "." + std::to_string(Index);
  }

  void start(const Endpoint &TargetsOfWest) {
    fill(WestStore, TargetsOfWest);
    fill(EastStore, Target->localEndpoint());
    West.emplace(settings(1, "west", WestStore));
    East.emplace(settings(2, "east", EastStore));
    const auto Serve = [&] { Loop.run_for(5ms); };
    EXPECT_TRUE(West->waitForLog("event=ready", Serve));
    EXPECT_TRUE(East->waitForLog("event=ready", Serve));
    // The delegates of the domains report their hosts.
    runFor(1500ms);
  }

  void fill(soak::ObjectStoreStandIn &Store, const Endpoint &Address) {
    EXPECT_TRUE(Store.listen());
    const auto Route = [](const char *Name, const char *Kind) {
      return boost::json::object{
          {"name", Name},     {"host", "a.example"},
          {"kind", Kind},     {"pathPrefix", std::string("/") + Name + "/"},
          {"maxAttempts", 2}, {"service", "stock"},
          {"timeoutS", 2},    {"targetLatencyS", 0.5}};
    };
    const boost::json::array Routes{Route("read", "read_only"),
                                    Route("book", "non_idempotent")};
    const boost::json::object Service{{"name", "stock"},
                                      {"healthPath", "/health"}};
    Store.put("config", "main",
              boost::json::object{{"version", "r1"},
                                  {"services", boost::json::array{Service}},
                                  {"routes", Routes}});
    for (int Number = 0; Number < TargetCount; ++Number)
      Store.put("servers", "i-" + std::to_string(Number),
                boost::json::object{{"service", "stock"},
                                    {"address", formatEndpoint(Address)},
                                    {"zone", "east"},
                                    {"slots", 4},
                                    {"state", "ready"},
                                    {"born", 1771918829000}});
  }

  static boost::json::object settings(int Index, const char *Domain,
                                      const soak::ObjectStoreStandIn &Store) {
    auto Made = gatewaySettings(Store.endpoint());
    Made["host"] = "h" + std::to_string(Index);
    Made["failure_domain"] = Domain;
    Made["caller_address"] = formatEndpoint({hostAddress(Index), CallerPort});
    Made["peer_address"] = formatEndpoint({hostAddress(Index), PeerPort});
    Made["seeds"] = {formatEndpoint({hostAddress(1), PeerPort}),
                     formatEndpoint({hostAddress(2), PeerPort})};
    return Made;
  }

  Awaitable<HttpResponse> answer(HttpRequest Request) {
    HttpResponse Answer(http::status::ok, 11);
    Answer.set("Request-Id", Request["Request-Id"]);
    Answer.set("Backend-Load", "0,0,4,100");
    if (Request.target() != "/health") {
      Ran.push_back(std::move(Request));
      Answer.set("Response-Signature", "3e1b");
      Answer.body() = "whole";
    }
    Answer.prepare_payload();
    co_return Answer;
  }

  /// Sends a request to the host that is cut off. Returns its status, or 0
  /// without an answer.
  unsigned call(const std::string &Path, const std::string &Id) {
    HttpRequest Request(http::verb::post, Path, 11);
    Request.set(http::field::host, "a.example");
    Request.set("Request-Id", Id);
    Request.set("Request-Deadline", "2000");
    Request.body() = "body of " + Id;
    Request.prepare_payload();
    std::optional<unsigned> Status;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          const auto Connection =
              std::make_shared<HttpConnection>(Loop.get_executor());
          const Endpoint Remote{hostAddress(1), CallerPort};
          const TimePoint Deadline = TimeSource.now() + 3s;
          const auto Connected = co_await Connection->connect(Remote, Deadline);
          if (!Connected) {
            Status = 0;
            co_return;
          }
          auto Received =
              co_await Connection->exchange(Request, HttpLimits{}, Deadline);
          if (Received)
            Last = std::move(Received.value());
          Status = Received ? Last.result_int() : 0;
        },
        asio::detached);
    runUntil([&] { return Status.has_value(); });
    return Status.value_or(0);
  }

  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Until = TimeSource.now() + 5s;
    while (!Condition() && TimeSource.now() < Until) {
      Loop.run_one_for(5ms);
      West->discardLog();
      East->discardLog();
    }
  }

  void runFor(Duration Time) {
    const TimePoint Until = TimeSource.now() + Time;
    runUntil([&] { return TimeSource.now() >= Until; });
  }

  /// Calls the host until it must have noticed that it is cut off.
  void callUntilNoticed() {
    const TimePoint Until = TimeSource.now() + 3s;
    for (int Number = 0; TimeSource.now() < Until; ++Number)
      call("/read/1", "early-" + std::to_string(Number));
    Ran.clear();
  }

  void expectAllServed() {
    for (int Number = 0; Number < 20; ++Number) {
      const std::string Id = "r-" + std::to_string(Number);
      const std::string Path = Number % 2 == 0 ? "/read/1" : "/book/1";
      EXPECT_EQ(call(Path, Id), 200U) << Path;
      EXPECT_EQ(Last.body(), "whole");
      EXPECT_EQ(Last["Request-Id"], Id);
    }
    ASSERT_EQ(Ran.size(), 20U);
    EXPECT_EQ(Ran.back()["Request-Id"], "r-19");
    EXPECT_EQ(Ran.back().body(), "body of r-19");
    EXPECT_EQ(Ran.back().target(), "/book/1");
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
  soak::ObjectStoreStandIn WestStore{Loop.get_executor(), TimeSource};
  soak::ObjectStoreStandIn EastStore{Loop.get_executor(), TimeSource};
  /// Connections to it are made and never answered.
  TcpAcceptor Silent{
      Loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::shared_ptr<HttpServer> Target = std::make_shared<HttpServer>(
      Loop.get_executor(), TimeSource, HttpLimits{},
      [this](HttpRequest Request, std::shared_ptr<Disconnect>) {
        return answer(std::move(Request));
      },
      [](http::status Status, const Error &) {
        return HttpResponse(Status, 11);
      });
  std::optional<GatewayProcess> West;
  std::optional<GatewayProcess> East;
  std::vector<HttpRequest> Ran;
  HttpResponse Last;
};

// Guards against refusals by a host whose packets to all targets are dropped.
TEST_F(CutOffHostTest, CallersAreServedWhileTargetsAreSilent) {
  start({"127.0.0.1", Silent.local_endpoint().port()});
  callUntilNoticed();
  expectAllServed();
}

// Guards against refusals by a host whose connections to targets are refused.
TEST_F(CutOffHostTest, CallersAreServedWhileTargetsRefuseConnections) {
  start({"127.0.0.1", 1});
  callUntilNoticed();
  expectAllServed();
}

} // namespace
} // namespace comfreyrill
