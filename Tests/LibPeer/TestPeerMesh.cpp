#include <LibCore/Random.h>
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
  // A connection to the listener that speaks another protocol.
  asio::ip::tcp::socket connectRaw() {
    asio::ip::tcp::socket Raw(Context);
    Raw.connect(
        {asio::ip::make_address("127.0.0.1"), Server->localEndpoint().Port});
    return Raw;
  }

  // Waits until the listener has closed the connection.
  void expectCutOff(asio::ip::tcp::socket &Raw) {
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

// Guards against a message of another protocol that ends the process or keeps
// the connections of other hosts from being served.
TEST_F(PeerMeshTest, ForeignProtocolIsCutOffAndOthersGoOn) {
  auto Raw = connectRaw();
  asio::write(Raw, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  expectCutOff(Raw);
  EXPECT_EQ(Server->traffic().InvalidFrames, 1U);
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against random bytes within a frame of plausible length.
TEST_F(PeerMeshTest, RandomFramesAreCutOff) {
  Random Generator(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    auto Raw = connectRaw();
    std::string Frame(FrameHeaderBytes + 1 + randomIndex(Generator, 200), '\0');
    for (auto &Byte : Frame)
      Byte = static_cast<char>(Generator());
    Frame.replace(0, 3, 3, '\0');
    Frame[3] = static_cast<char>(Frame.size() - FrameHeaderBytes);
    asio::write(Raw, asio::buffer(Frame));
    expectCutOff(Raw);
  }
  EXPECT_EQ(Server->connections(), 0U);
  EXPECT_EQ(Server->traffic().BytesHeld, 0U);
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against a coroutine that waits for ever for a frozen witness, and
// against its late answer reaching another request.
TEST_F(PeerMeshTest, RequestFailsAtItsDeadline) {
  std::vector<PeerReply> Late;
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &Reply) {
    Late.push_back(Reply);
  };
  const auto First = requestGrant(std::chrono::milliseconds(20));
  ASSERT_FALSE(First.has_value());
  EXPECT_EQ(First.error().Kind, ErrorKind::TimedOut);
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &Reply) {
    Late.front().send(granted());
    wire::PeerBody Refusal;
    Refusal.__set_error({});
    Reply.send(Refusal);
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::Refused);
}

// Guards against requests that outlive their connection, and against a link
// that stays closed when the peer is back.
TEST_F(PeerMeshTest, BrokenConnectionFailsRequestsAndIsOpenedAgain) {
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &) {
    Server->close();
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionLost);
  const auto Local = Server->localEndpoint();
  // The connection was short, so the link waits before it is opened again.
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionFailed);
  EXPECT_EQ(Mesh->traffic().FramesDropped, 1U);
  TimeSource.advance(std::chrono::seconds(1));
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionFailed);
  HandleMessage = [](const wire::PeerBody &, const PeerReply &Reply) {
    Reply.send(granted());
  };
  startServer({}, Local);
  TimeSource.advance(std::chrono::seconds(1));
  EXPECT_TRUE(requestGrant().has_value());
}

// Guards against a frozen peer that holds memory: it accepts the connection
// and reads nothing.
TEST_F(PeerMeshTest, FrozenPeerHoldsBoundedMemory) {
  asio::ip::tcp::acceptor Frozen(Context,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint Remote{"127.0.0.1", Frozen.local_endpoint().port()};
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
  TimeSource.advance(FrameLimits{}.StallTime + std::chrono::seconds(1));
  Mesh->enforceTimes();
  EXPECT_FALSE(Mesh->isConnected(Remote));
  EXPECT_EQ(Mesh->traffic().BytesHeld, 0U);
}

// Guards against idle connections and unfinished frames that use up the
// connections of the listener.
TEST_F(PeerMeshTest, ListenerClosesIdleAndSlowConnections) {
  auto Idle = connectRaw();
  auto Slow = connectRaw();
  asio::write(Slow, asio::buffer(std::string("\0\0\0\x40x", 5)));
  runUntil([&] { return Server->traffic().BytesReceived == 5; });
  TimeSource.advance(FrameLimits{}.MessageTime + std::chrono::seconds(1));
  Server->enforceTimes();
  expectCutOff(Slow);
  EXPECT_EQ(Server->connections(), 1U);
  TimeSource.advance(FrameLimits{}.IdleTime);
  Server->enforceTimes();
  expectCutOff(Idle);
  EXPECT_EQ(Server->connections(), 0U);
}

// Guards against more connections than the listener may hold, and against
// unfinished frames that together hold more memory than it may.
TEST_F(PeerMeshTest, ListenerBoundsConnectionsAndMemory) {
  PeerServerLimits Limits;
  Limits.Connections = 2;
  Limits.Frames.TotalBytes = std::size_t{64} * 1024;
  startServer(Limits);
  auto First = connectRaw();
  auto Second = connectRaw();
  auto Third = connectRaw();
  expectCutOff(Third);
  const std::string Header("\x00\x10\x00\x00", 4);
  asio::write(First, asio::buffer(Header + std::string(100000, 'x')));
  expectCutOff(First);
  EXPECT_LE(Server->traffic().BytesHeld, Limits.Frames.TotalBytes);
  EXPECT_EQ(Server->connections(), 1U);
}

// Guards against coroutines that are never resumed when the process stops.
TEST_F(PeerMeshTest, DestroyedMeshFailsItsRequests) {
  HandleMessage = [&](const wire::PeerBody &, const PeerReply &) {
    Mesh.reset();
  };
  EXPECT_EQ(requestGrant().error().Kind, ErrorKind::ConnectionLost);
}

// Guards against an answer that is too large and leaves the requester waiting.
TEST_F(PeerMeshTest, OversizedAnswerIsReportedAsAnError) {
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
