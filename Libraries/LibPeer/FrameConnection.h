#pragma once

#include <LibCore/Async.h>
#include <LibCore/Result.h>
#include <LibPeer/Codec.h>

#include <functional>
#include <memory>
#include <string>

namespace comfreyrill {

/// Memory limits and timeouts for the connections of one server or mesh.
struct FrameLimits {
  /// Maximum send queue of one connection.
  std::size_t QueueBytes = std::size_t{4} * 1024 * 1024;
  /// Maximum size of the receive buffers and send queues of all connections.
  std::size_t TotalBytes = std::size_t{16} * 1024 * 1024;
  /// Maximum time without received data; applied only by servers.
  Duration IdleTimeout = std::chrono::seconds(30);
  /// Maximum time between the first and the last byte of a received frame.
  Duration MessageTimeout = std::chrono::seconds(5);
  /// Maximum time without write progress while data is queued.
  Duration StallTimeout = std::chrono::seconds(3);
};

/// Counters of all connections of one server or mesh.
struct PeerTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
  /// Frames dropped because a queue was full or the link was not connected.
  std::uint64_t FramesDropped = 0;
  /// Invalid or oversized frames received; each closed its connection.
  std::uint64_t InvalidFrames = 0;
  /// Current size of all receive buffers and send queues.
  std::size_t BytesHeld = 0;
};

/// TCP connection that carries frames in both directions. Frames sent within
/// one iteration of the event loop are written with one system call.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
  using FrameHandler = std::function<void(const wire::PeerMessage &Message)>;
  using CloseHandler = std::function<void(const Error &Cause)>;

  FrameConnection(TcpSocket Connected, const Clock &TimeSource,
                  const FrameLimits &Limits,
                  std::shared_ptr<PeerTraffic> Traffic);

  /// Starts reading. The close handler is called once, when the connection is
  /// closed for any reason.
  void start(FrameHandler HandleFrame, CloseHandler HandleClose);

  /// Queues complete frames for sending. Fails with ConnectionLost, or with
  /// Refused when the queue is full; the frames are then dropped.
  Result<void> send(std::string_view Frames);

  /// Closes the socket, drops queued frames and calls the close handler.
  void close(const Error &Cause);

  /// Closes the connection if it is idle, slow or stalled. The owner calls this
  /// about once a second, which is cheaper than a timer for each connection.
  void enforceTimeouts(TimePoint Now, bool ApplyIdleTimeout);

  bool isOpen() const { return IsOpen; }
  std::size_t bytesQueued() const { return Queue.size() - QueueOffset; }
  TimePoint lastReceived() const { return LastReceived; }

private:
  void read();
  void onRead(const boost::system::error_code &Code, std::size_t Count);
  bool processFrames();
  bool resizeBuffer(std::size_t Size);
  void flush();
  void updateBytesHeld();

  TcpSocket Socket;
  const Clock &TimeSource;
  FrameLimits Limits;
  std::shared_ptr<PeerTraffic> Traffic;
  FrameHandler HandleFrame;
  CloseHandler HandleClose;
  std::string Buffer;
  std::size_t BytesBuffered = 0;
  std::string Queue;
  std::size_t QueueOffset = 0;
  std::size_t BytesAccounted = 0;
  TimePoint LastReceived;
  TimePoint FrameStarted;
  TimePoint StalledSince;
  bool IsOpen = true;
  bool IsFlushScheduled = false;
  bool IsWaitingForWritable = false;
};

} // namespace comfreyrill
