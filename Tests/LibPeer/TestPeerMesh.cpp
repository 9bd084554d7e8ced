#include <LibCore/Random.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

constexpr Duration TestTimeout = std::chrono::seconds(20);

class PeerMeshTest : public testing::Test {
protected:
  PeerMeshTest() {
    Mesh = std::make_shared<PeerMesh>(Context.get_executor(), TimeSource,
                                      PeerMeshLimits{}, Random(7));
    startServer({});
  }

  void startServer(const PeerServerLimits &Limits,
                   const Endpoint &Local = {"127.0.0.1", 0}) {
    Server = std::make_shared<PeerServer>(
        Context.get_executor(), TimeSource, Limits,
        [this](const wire::PeerBody &Body, const PeerReply &Reply) {
          HandleMessage(Body, Reply);
        });
    ASSERT_TRUE(Server->listen(Local).has_value());
  }

  template <typename T>
  static Awaitable<void> store(Awaitable<T> Work, std::optional<T> &Value) {
    Value = co_await std::move(Work);
  }

  // Runs the event loop until the coroutine has completed.
  template <typename T> T run(Awaitable<T> Work) {
    std::optional<T> Value;
    asio::co_spawn(Context, store(std::move(Work), Value), asio::detached);
    runUntil([&] { return Value.has_value(); });
    return std::move(*Value);
  }

  template <typename Condition> void runUntil(Condition IsDone) {
    const TimePoint End = BootClock::now() + TestTimeout;
    while (!IsDone() && BootClock::now() < End)
      Context.run_one_for(std::chrono::milliseconds(100));
    ASSERT_TRUE(IsDone());
  }

  Result<wire::PeerBody> requestGrant(Duration Timeout = TestTimeout) {
    return run(Mesh->request(Server->localEndpoint(), grantRequest("k"),
                             BootClock::now() + Timeout));
  }

  static wire::PeerBody grantRequest(const std::string &Key) {
    wire::GrantRequest Request;
    Request.key = Key;
    wire::PeerBody Body;
    Body.__set_grant_request(Request);
    return Body;
  }

  static wire::PeerBody grantReply() {
    wire::GrantReply Reply;
    Reply.verdict = wire::GrantVerdict::GRANTED;
    wire::PeerBody Body;
    Body.__set_grant_reply(Reply);
    return Body;
  }

  asio::io_context Context{1};
  // Opens a plain TCP connection to the listener, to send arbitrary bytes.
  asio::ip::tcp::socket connectRaw() {
    asio::ip::tcp::socket Raw(Context);
    Raw.connect(
        {asio::ip::make_address("127.0.0.1"), Server->localEndpoint().Port});
    return Raw;
  }

  // Waits until the listener has closed the connection.
  void expectClosed(asio::ip::tcp::socket &Raw) {
    char Byte = 0;
    bool IsClosed = false;
    Raw.async_read_some(asio::buffer(&Byte, 1),
                        [&](const boost::system::error_code &Code,
                            std::size_t) { IsClosed = bool(Code); });
    runUntil([&] { return IsClosed; });
  }

  ManualClock TimeSource;
  std::function<void(const wire::PeerBody &, const PeerReply &)> HandleMessage =
      [](const wire::PeerBody &, const PeerReply &Reply) {
        Reply.send(grantReply());
      };
  std::shared_ptr<PeerServer> Server;
  std::shared_ptr<PeerMesh> Mesh;
};

// Guards against opening a connection for each request, which would add a round
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

// Guards against a message of another protocol that crashes the process or
// blocks the connections of other hosts.
TEST_F(PeerMeshTest, ForeignProtocolClosesOnlyItsConnection) {
  auto Raw = connectRaw();
  asio::write(Raw, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  expectClosed(Raw);
  EXPECT_EQ(Server->traffic().InvalidFrames, 1U);
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against random bytes within a frame of plausible length.
TEST_F(PeerMeshTest, RandomFramesCloseTheConnection) {
  Random Generator(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    auto Raw = connectRaw();
    std::string Frame(FrameHeaderBytes + 1 + randomIndex(Generator, 200), '\0');
    for (auto &Byte : Frame)
      Byte = static_cast<char>(Generator());
    Frame.replace(0, 3, 3, '\0');
    Frame[3] = static_cast<char>(Frame.size() - FrameHeaderBytes);
    asio::write(Raw, asio::buffer(Frame));
    expectClosed(Raw);
  }
  EXPECT_EQ(Server->connections(), 0U);
  EXPECT_EQ(Server->traffic().BytesHeld, 0U);
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against a coroutine that waits forever for an unresponsive witness,
// and against delivering its delayed reply to another request.
TEST_F(PeerMeshTest, RequestFailsAtItsDeadline) {
  std::vector<PeerReply> DelayedReplies;
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &Reply) {
    DelayedReplies.push_back(Reply);
  };
  const auto First = requestGrant(std::chrono::milliseconds(20));
  ASSERT_FALSE(First.has_value());
  EXPECT_EQ(First.error().Kind, ErrorKind::TimedOut);
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &Reply) {
    DelayedReplies.front().send(grantReply());
    wire::PeerBody Refusal;
    Refusal.__set_error({});
    Reply.send(Refusal);
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::Refused);
}

// Guards against requests that stay pending after their connection is lost, and
// against a link that does not reconnect when the peer is available again.
TEST_F(PeerMeshTest, BrokenConnectionFailsRequestsAndReconnects) {
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &) {
    Server->close();
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionLost);
  const auto Local = Server->localEndpoint();
  // The connection was short-lived, so the link is in reconnect backoff.
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionFailed);
  EXPECT_EQ(Mesh->traffic().FramesDropped, 1U);
  TimeSource.advance(std::chrono::seconds(1));
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionFailed);
  HandleMessage = [](const wire::PeerBody &, const PeerReply &Reply) {
    Reply.send(grantReply());
  };
  startServer({}, Local);
  TimeSource.advance(std::chrono::seconds(1));
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against unbounded send queues for a peer that accepts the connection
// but reads nothing.
TEST_F(PeerMeshTest, UnresponsivePeerUsesBoundedMemory) {
  asio::ip::tcp::acceptor UnresponsivePeer(
      Context, {asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint Remote{"127.0.0.1", UnresponsivePeer.local_endpoint().port()};
  wire::OutcomeNotice Notice;
  Notice.stored.__set_answer(std::string(16384, 'x'));
  wire::PeerBody Body;
  Body.__set_outcome_notice(Notice);
  bool IsRefused = false;
  for (int Count = 0; Count < 4000 && !IsRefused; ++Count) {
    const auto Sent = Mesh->send(Remote, Body);
    IsRefused = !Sent && Sent.error().Kind == ErrorKind::Refused;
    Context.poll();
  }
  EXPECT_TRUE(IsRefused);
  wire::PeerBody Heartbeat;
  Heartbeat.__set_heartbeat({});
  EXPECT_FALSE(Mesh->send(Remote, Heartbeat).has_value());
  EXPECT_LE(Mesh->traffic().BytesHeld,
            FrameLimits{}.QueueBytes + std::size_t{64} * 1024);
  TimeSource.advance(FrameLimits{}.StallTimeout + std::chrono::seconds(1));
  Mesh->enforceTimeouts();
  EXPECT_FALSE(Mesh->isConnected(Remote));
  EXPECT_EQ(Mesh->traffic().BytesHeld, 0U);
}

// Guards against idle connections and incomplete frames that exhaust the
// connection limit of the listener.
TEST_F(PeerMeshTest, ListenerClosesIdleAndSlowConnections) {
  auto Idle = connectRaw();
  auto Slow = connectRaw();
  asio::write(Slow, asio::buffer(std::string("\0\0\0\x40x", 5)));
  runUntil([&] { return Server->traffic().BytesReceived == 5; });
  TimeSource.advance(FrameLimits{}.MessageTimeout + std::chrono::seconds(1));
  Server->enforceTimeouts();
  expectClosed(Slow);
  EXPECT_EQ(Server->connections(), 1U);
  TimeSource.advance(FrameLimits{}.IdleTimeout);
  Server->enforceTimeouts();
  expectClosed(Idle);
  EXPECT_EQ(Server->connections(), 0U);
}

// Guards against exceeding the connection limit of the listener, and against
// incomplete frames that together exceed its memory limit.
TEST_F(PeerMeshTest, ListenerBoundsConnectionsAndMemory) {
  PeerServerLimits Limits;
  Limits.Connections = 2;
  Limits.Frames.TotalBytes = std::size_t{64} * 1024;
  startServer(Limits);
  auto First = connectRaw();
  auto Second = connectRaw();
  runUntil([&] { return Server->connections() == 2; });
  TimeSource.advance(std::chrono::seconds(1));
  asio::write(First, asio::buffer("\0", 1));
  runUntil([&] { return Server->traffic().BytesReceived == 1; });
  auto Third = connectRaw();
  expectClosed(Second);
  EXPECT_EQ(Server->connections(), 2U);
  const std::string Header("\x00\x10\x00\x00", 4);
  asio::write(Third, asio::buffer(Header + std::string(100000, 'x')));
  expectClosed(Third);
  EXPECT_LE(Server->traffic().BytesHeld, Limits.Frames.TotalBytes);
  EXPECT_EQ(Server->connections(), 1U);
}

// Guards against hosts that stay alone because the seeds' connections are
// taken by hosts that have joined before them.
TEST_F(PeerMeshTest, MoreHostsThanConnectionsCanSendARequest) {
  constexpr std::size_t HostCount = 12;
  PeerServerLimits Limits;
  Limits.Connections = 4;
  startServer(Limits);
  HandleMessage = [](const wire::PeerBody &, const PeerReply &Reply) {
    Reply.send(grantReply());
  };
  std::vector<std::shared_ptr<PeerMesh>> Hosts;
  for (std::size_t Index = 0; Index < HostCount; ++Index) {
    Hosts.push_back(std::make_shared<PeerMesh>(
        Context.get_executor(), TimeSource, PeerMeshLimits{}, Random(Index)));
    EXPECT_TRUE(
        run(Hosts.back()->request(Server->localEndpoint(), grantRequest("k"),
                                  BootClock::now() + TestTimeout))
            .has_value());
    TimeSource.advance(std::chrono::milliseconds(10));
    EXPECT_LE(Server->connections(), Limits.Connections);
  }
}

// Guards against coroutines that are never resumed when the process stops.
TEST_F(PeerMeshTest, DestroyedMeshFailsItsRequests) {
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &) {
    Mesh.reset();
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionLost);
}

// Guards against a reply that is too large to send and leaves the requester
// waiting.
TEST_F(PeerMeshTest, OversizedReplyIsReportedAsAnError) {
  HandleMessage = [](const wire::PeerBody &, const PeerReply &Reply) {
    wire::DocumentReply Document;
    Document.value.assign(MaximumMessageBytes, 'x');
    wire::PeerBody Body;
    Body.__set_document_reply(Document);
    Reply.send(Body);
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::Refused);
}

} // namespace
} // namespace comfreyrill
