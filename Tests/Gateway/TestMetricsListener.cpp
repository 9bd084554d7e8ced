#include <MetricsListener.h>

#include <LibCore/Listen.h>
#include <LibHttp/HttpConnection.h>
#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

class MetricsListenerTest : public testing::Test {
protected:
  ~MetricsListenerTest() override { Listener.setAddress(std::nullopt); }

  bool runUntil(const std::function<bool()> &Condition) {
    const TimePoint Until = TimeSource.now() + 5s;
    while (!Condition() && TimeSource.now() < Until) {
      // The loop stops when a listener is closed and nothing else is pending.
      Loop.restart();
      Loop.run_one_for(std::chrono::milliseconds(5));
    }
    return Condition();
  }

  /// Returns the status of a request to the address, or none without a
  /// connection.
  std::optional<unsigned> statusAt(const Endpoint &Address) {
    std::optional<unsigned> Status;
    bool IsDone = false;
    asio::co_spawn(
        Loop,
        [&]() -> Awaitable<void> {
          const auto Connection =
              std::make_shared<HttpConnection>(Loop.get_executor());
          const TimePoint Deadline = TimeSource.now() + 2s;
          if (co_await Connection->connect(Address, Deadline)) {
            HttpRequest Request(http::verb::get, "/metrics", 11);
            const auto Answer =
                co_await Connection->exchange(Request, HttpLimits{}, Deadline);
            if (Answer)
              Status = Answer.value().result_int();
          }
          IsDone = true;
        },
        asio::detached);
    EXPECT_TRUE(runUntil([&] { return IsDone; }));
    return Status;
  }

  asio::io_context Loop{1};
  SystemClock TimeSource;
  Log Output{LogLevel::Error, ""};
  RateLimitedLog Events{Output, TimeSource};
  MetricsListener Listener{
      Loop.get_executor(),
      TimeSource,
      Events,
      [](HttpRequest, std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
        HttpResponse Response(http::status::ok, 11);
        Response.prepare_payload();
        co_return Response;
      },
      [](http::status Status, const Error &) {
        return HttpResponse(Status, 11);
      },
      HttpLimits{},
      50ms};
};

// Guards against a metrics port that stays closed for good because another
// program had it when the process started.
TEST_F(MetricsListenerTest, TakenAddressIsBoundOnceItIsFree) {
  TcpAcceptor Other(Loop);
  const auto Taken = listenOn(Other, {"127.0.0.1", 0});
  ASSERT_TRUE(Taken);
  Listener.setAddress(Taken.value());
  Loop.run_for(std::chrono::milliseconds(200));
  EXPECT_FALSE(Listener.localEndpoint());
  Other.close();
  EXPECT_TRUE(runUntil([&] { return Listener.localEndpoint().has_value(); }));
  EXPECT_EQ(statusAt(Taken.value()), 200U);
}

// Guards against a reload that keeps the earlier address, or goes on trying to
// bind it.
TEST_F(MetricsListenerTest, AddressIsReplaced) {
  Listener.setAddress(Endpoint{"127.0.0.1", 0});
  const auto First = Listener.localEndpoint();
  ASSERT_TRUE(First);
  EXPECT_EQ(statusAt(*First), 200U);
  Listener.setAddress(Endpoint{"127.0.0.2", 0});
  const auto Second = Listener.localEndpoint();
  ASSERT_TRUE(Second);
  EXPECT_EQ(statusAt(*Second), 200U);
  EXPECT_EQ(statusAt(*First), std::nullopt);

  TcpAcceptor Other(Loop);
  const auto Taken = listenOn(Other, {"127.0.0.1", 0});
  ASSERT_TRUE(Taken);
  Listener.setAddress(Taken.value());
  Listener.setAddress(std::nullopt);
  Other.close();
  Loop.run_for(std::chrono::milliseconds(200));
  EXPECT_FALSE(Listener.localEndpoint());
  EXPECT_EQ(statusAt(Taken.value()), std::nullopt);
}

} // namespace
} // namespace comfreyrill
