#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

constexpr Duration LongTime = std::chrono::seconds(20);

class PeerMeshTest : public testing::Test {
protected:
  PeerMeshTest() {
    Mesh = std::make_shared<PeerMesh>(Context.get_executor(), TimeSource,
                                      PeerMeshLimits{}, Random(7));
    startServer({});
  }

  void startServer(const PeerServerLimits &Limits) {
    Server = std::make_shared<PeerServer>(
        Context.get_executor(), TimeSource, Limits,
        [this](const wire::PeerBody &Body, const PeerReply &Reply) {
          HandleMessage(Body, Reply);
        });
    ASSERT_TRUE(Server->listen({"127.0.0.1", 0}).has_value());
  }

  template <typename T>
  static Awaitable<void> store(Awaitable<T> Work, std::optional<T> &Value) {
    Value = co_await std::move(Work);
  }

  // Runs the event loop until the coroutine has ended.
  template <typename T> T run(Awaitable<T> Work) {
    std::optional<T> Value;
    asio::co_spawn(Context, store(std::move(Work), Value), asio::detached);
    runUntil([&] { return Value.has_value(); });
    return std::move(*Value);
  }

  template <typename Condition> void runUntil(Condition IsDone) {
    const TimePoint End = BootClock::now() + LongTime;
    while (!IsDone() && BootClock::now() < End)
      Context.run_one_for(std::chrono::milliseconds(100));
    ASSERT_TRUE(IsDone());
  }

  Result<wire::PeerBody> requestGrant(Duration Time = LongTime) {
    return run(Mesh->request(Server->localEndpoint(), grantRequest("k"),
                             BootClock::now() + Time));
  }

  static wire::PeerBody grantRequest(const std::string &Key) {
    wire::GrantRequest Request;
    Request.key = Key;
    wire::PeerBody Body;
    Body.__set_grant_request(Request);
    return Body;
  }

  static wire::PeerBody granted() {
    wire::GrantReply Reply;
    Reply.verdict = wire::GrantVerdict::GRANTED;
    wire::PeerBody Body;
    Body.__set_grant_reply(Reply);
    return Body;
  }

  asio::io_context Context{1};
  SystemClock TimeSource;
  std::function<void(const wire::PeerBody &, const PeerReply &)> HandleMessage =
      [](const wire::PeerBody &, const PeerReply &Reply) {
        Reply.send(granted());
      };
  std::shared_ptr<PeerServer> Server;
  std::shared_ptr<PeerMesh> Mesh;
};

// Guards against a second connection for each request, which would add a round
// trip to every non-idempotent call.
TEST_F(PeerMeshTest, RequestsShareOneConnection) {
  for (int Count = 0; Count < 3; ++Count) {
    const auto Reply = requestGrant();
    ASSERT_TRUE(Reply.has_value()) << Reply.error().Message;
    EXPECT_TRUE(Reply.value().__isset.grant_reply);
  }
  EXPECT_EQ(Server->connections(), 1U);
  EXPECT_EQ(Mesh->traffic().BytesSent, Server->traffic().BytesReceived);
}

} // namespace
} // namespace comfreyrill
