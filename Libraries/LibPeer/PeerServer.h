#pragma once

#include <LibCore/Endpoint.h>
#include <LibPeer/FrameConnection.h>

#include <unordered_set>

namespace comfreyrill {

/// Handle for replying to one message of a peer, immediately, later or never.
/// Copies refer to the same message; at most one of them should send a reply.
class PeerReply {
public:
  PeerReply(std::weak_ptr<FrameConnection> Connection,
            std::int64_t Correlation);

  /// True when the peer waits for a reply.
  bool isExpected() const { return Correlation != 0; }

  /// Sends the reply. The reply is dropped when none is expected, the
  /// connection is closed or its send queue is full; the request of the peer
  /// then times out.
  void send(const wire::PeerBody &Body) const;

private:
  std::weak_ptr<FrameConnection> Connection;
  std::int64_t Correlation;
};

struct PeerServerLimits {
  FrameLimits Frames;
  /// Above this number the least recently used connection is closed.
  std::size_t Connections = 1024;
};

/// Server that accepts connections and messages from other hosts.
class PeerServer : public std::enable_shared_from_this<PeerServer> {
public:
  /// Called in the event loop and must not block; a handler that waits spawns a
  /// coroutine and keeps a copy of the reply handle.
  using Handler =
      std::function<void(const wire::PeerBody &Body, const PeerReply &Reply)>;

  PeerServer(const Executor &Context, const Clock &TimeSource,
             const PeerServerLimits &Limits, Handler HandleMessage);

  /// Binds the address and starts accepting. Port 0 selects a free port.
  Result<void> listen(const Endpoint &Requested);
  Endpoint localEndpoint() const { return Local; }

  /// Closes the listener and all connections.
  void close();

  /// Closes connections that are idle, slow or stalled. A timer calls this
  /// function every second.
  void enforceTimeouts();

  std::size_t connections() const { return Connections.size(); }
  const PeerTraffic &traffic() const { return *Traffic; }

private:
  Awaitable<void> accept();
  void closeLeastRecentlyUsed();
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
