#pragma once

#include <LibCore/Endpoint.h>
#include <LibPeer/FrameConnection.h>

#include <unordered_set>

namespace comfreyrill {

/// Answers one message of a peer, at once, later or never. Copies refer to the
/// same message; only the first answer should be sent.
class PeerReply {
public:
  PeerReply(std::weak_ptr<FrameConnection> Connection,
            std::int64_t Correlation);

  /// True when the peer waits for an answer.
  bool isExpected() const { return Correlation != 0; }

  /// Sends the answer. An answer that is not expected, whose connection has
  /// ended, or that its queue has no room for is dropped; the peer sees its
  /// deadline pass.
  void send(const wire::PeerBody &Body) const;

private:
  std::weak_ptr<FrameConnection> Connection;
  std::int64_t Correlation;
};

struct PeerServerLimits {
  FrameLimits Frames;
  std::size_t Connections = 256;
};

/// Listener for the messages of other hosts.
class PeerServer : public std::enable_shared_from_this<PeerServer> {
public:
  /// Runs within the event loop and should be quick; a handler that waits
  /// starts a coroutine of its own and keeps the reply.
  using Handler =
      std::function<void(const wire::PeerBody &Body, const PeerReply &Reply)>;

  PeerServer(const Executor &Context, const Clock &TimeSource,
             const PeerServerLimits &Limits, Handler HandleMessage);

  /// Binds and starts to accept. Port 0 takes a free port.
  Result<void> listen(const Endpoint &Requested);
  Endpoint localEndpoint() const { return Local; }

  /// Closes the listener and all connections.
  void close();

  /// Closes connections that are idle, slow or stalled. A timer calls it every
  /// second.
  void enforceTimes();

  std::size_t connections() const { return Connections.size(); }
  const PeerTraffic &traffic() const { return *Traffic; }

private:
  Awaitable<void> accept();
  void startConnection(TcpSocket Accepted);
  void onMessage(const std::shared_ptr<FrameConnection> &Connection,
                 const wire::PeerMessage &Message);
  void scheduleSweep();

  Executor Context;
  const Clock &TimeSource;
  PeerServerLimits Limits;
  Handler HandleMessage;
  TcpAcceptor Acceptor;
  Timer SweepTimer;
  Endpoint Local;
  std::shared_ptr<PeerTraffic> Traffic = std::make_shared<PeerTraffic>();
  std::unordered_set<std::shared_ptr<FrameConnection>> Connections;
};

} // namespace comfreyrill
