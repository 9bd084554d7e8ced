#include <LibPeer/PeerServer.h>

#include <LibCore/Listen.h>
#include <algorithm>
#include <vector>

namespace comfreyrill {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);
// Accepting fails when file descriptors run out; a short delay then keeps the
// accept loop from spinning.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

PeerReply::PeerReply(std::weak_ptr<FrameConnection> Connection,
                     std::int64_t Correlation)
    : Connection(std::move(Connection)), Correlation(Correlation) {}

void PeerReply::send(const wire::PeerBody &Body) const {
  const auto OpenConnection = Connection.lock();
  if (!isExpected() || !OpenConnection)
    return;
  wire::PeerMessage Message;
  Message.correlation = Correlation;
  Message.body = Body;
  auto Frame = encodeFrame(Message);
  if (!Frame) {
    // Without an error reply the peer would wait until its deadline for a reply
    // that cannot be encoded.
    Message.body = wire::PeerBody();
    wire::ErrorReply Refusal;
    Refusal.message = Frame.error().Message;
    Message.body.__set_error(Refusal);
    Frame = encodeFrame(Message);
  }
  if (Frame)
    (void)OpenConnection->send(Frame.value());
}

PeerServer::PeerServer(const Executor &Context, const Clock &TimeSource,
                       const PeerServerLimits &Limits, Handler HandleMessage)
    : Context(Context), TimeSource(TimeSource), Limits(Limits),
      HandleMessage(std::move(HandleMessage)), Acceptor(Context),
      SweepTimer(Context) {}

Result<void> PeerServer::listen(const Endpoint &Requested) {
  TRY(Local, listenOn(Acceptor, Requested));
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->accept(); },
      asio::detached);
  scheduleSweep();
  return outcome::success();
}

void PeerServer::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  SweepTimer.cancel();
  const std::vector<std::shared_ptr<FrameConnection>> OpenConnections(
      Connections.begin(), Connections.end());
  for (const auto &Connection : OpenConnections)
    Connection->close(
        {ErrorKind::ConnectionLost,
         "this host is closing its peer listener; use another host"});
}

Awaitable<void> PeerServer::accept() {
  while (Acceptor.is_open()) {
    auto [Code, Accepted] = co_await Acceptor.async_accept(UseTuple);
    if (!Acceptor.is_open())
      co_return;
    if (Code) {
      Timer RetryTimer(Context);
      RetryTimer.expires_after(AcceptRetryDelay);
      (void)co_await RetryTimer.async_wait(UseTuple);
      continue;
    }
    if (Connections.size() >= Limits.Connections)
      closeLeastRecentlyUsed();
    startConnection(std::move(Accepted));
  }
}

// A host that joins uses its connection for one request, and a fleet may have
// more hosts than this listener has connections. Refusing the new connection
// would keep the host from joining until an unused connection times out.
void PeerServer::closeLeastRecentlyUsed() {
  const auto Oldest =
      std::min_element(Connections.begin(), Connections.end(),
                       [](const auto &One, const auto &Other) {
                         return One->lastReceived() < Other->lastReceived();
                       });
  if (Oldest == Connections.end())
    return;
  const auto Connection = *Oldest;
  Connection->close(
      {ErrorKind::ConnectionLost,
       "the limit of " + std::to_string(Connections.size()) +
           " peer connections is reached; this connection was used least "
           "recently, raise the limit or reconnect"});
}

void PeerServer::startConnection(TcpSocket Accepted) {
  const auto Connection = std::make_shared<FrameConnection>(
      std::move(Accepted), TimeSource, Limits.Frames, Traffic);
  Connections.insert(Connection);
  const std::weak_ptr<PeerServer> WeakSelf = weak_from_this();
  const std::weak_ptr<FrameConnection> WeakConnection = Connection;
  Connection->start(
      [WeakSelf, WeakConnection](const wire::PeerMessage &Message) {
        const auto Self = WeakSelf.lock();
        const auto Source = WeakConnection.lock();
        if (Self && Source)
          Self->onMessage(Source, Message);
      },
      [WeakSelf, WeakConnection](const Error &) {
        const auto Self = WeakSelf.lock();
        const auto Source = WeakConnection.lock();
        if (Self && Source)
          Self->Connections.erase(Source);
      });
}

void PeerServer::onMessage(const std::shared_ptr<FrameConnection> &Connection,
                           const wire::PeerMessage &Message) {
  const PeerReply Reply(Connection, Message.correlation);
  if (hasKnownBody(Message.body)) {
    HandleMessage(Message.body, Reply);
    return;
  }
  wire::ErrorReply Refusal;
  Refusal.message =
      "this host runs an older version that does not support the message type";
  wire::PeerBody Body;
  Body.__set_error(Refusal);
  Reply.send(Body);
}

void PeerServer::scheduleSweep() {
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        // The timer may have fired before close cancelled it.
        if (Code || !Self || !Self->Acceptor.is_open())
          return;
        Self->enforceTimeouts();
        Self->scheduleSweep();
      });
}

void PeerServer::enforceTimeouts() {
  const TimePoint Now = TimeSource.now();
  const std::vector<std::shared_ptr<FrameConnection>> OpenConnections(
      Connections.begin(), Connections.end());
  for (const auto &Connection : OpenConnections)
    Connection->enforceTimeouts(Now, true);
}

} // namespace comfreyrill
