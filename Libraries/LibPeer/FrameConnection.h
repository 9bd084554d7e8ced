#pragma once

#include <LibCore/Async.h>
#include <LibCore/Result.h>
#include <LibPeer/Codec.h>

#include <functional>
#include <memory>
#include <string>

namespace comfreyrill {

/// Bounds on what the connections of one server or mesh may hold.
struct FrameLimits {
  /// Bytes of one connection that wait to be sent.
  std::size_t QueueBytes = std::size_t{4} * 1024 * 1024;
  /// Bytes that all connections together hold, received or waiting.
  std::size_t TotalBytes = std::size_t{16} * 1024 * 1024;
  /// Longest time without a byte from the peer; only servers apply it.
  Duration IdleTime = std::chrono::seconds(30);
  /// Longest time between the first byte of a frame and its last.
  Duration MessageTime = std::chrono::seconds(5);
  /// Longest time in which the peer takes no byte while some wait.
  Duration StallTime = std::chrono::seconds(3);
};

/// Counters of all connections of one server or mesh.
struct PeerTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
  /// Frames that were not sent because a queue was full or no link was there.
  std::uint64_t FramesDropped = 0;
  /// Connections that were cut because of invalid or oversized frames.
  std::uint64_t InvalidFrames = 0;
  /// Bytes held in buffers now.
  std::size_t BytesHeld = 0;
};

/// One TCP connection that carries frames in both directions. Frames sent
/// within one turn of the event loop leave with one system call.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
  using FrameHandler = std::function<void(const wire::PeerMessage &Message)>;
  using CloseHandler = std::function<void(const Error &Cause)>;

  FrameConnection(TcpSocket Connected, const Clock &TimeSource,
                  const FrameLimits &Limits,
                  std::shared_ptr<PeerTraffic> Traffic);

  /// Starts to read. The close handler is called once, after any failure.
  void start(FrameHandler HandleFrame, CloseHandler HandleClose);

  /// Queues whole frames. Fails with ConnectionLost, or with Refused when the
  /// queue is full; the frames are then dropped.
  Result<void> send(std::string_view Frames);

  /// Closes the socket, drops what is queued and calls the close handler.
  void close(const Error &Cause);

  /// Closes a connection that is idle, slow or stalled. Called about once a
  /// second by the owner, which is cheaper than a timer for each connection.
  void enforceTimes(TimePoint Now, bool ApplyIdleTime);

  bool isOpen() const { return Open; }
  std::size_t bytesQueued() const { return Queue.size() - QueueOffset; }

private:
  void read();
  void onRead(const boost::system::error_code &Code, std::size_t Count);
  bool takeFrames();
  bool growBuffer(std::size_t Size);
  void flush();
  void account();

  TcpSocket Socket;
  const Clock &TimeSource;
  FrameLimits Limits;
  std::shared_ptr<PeerTraffic> Traffic;
  FrameHandler HandleFrame;
  CloseHandler HandleClose;
  std::string Buffer;
  std::size_t Filled = 0;
  std::string Queue;
  std::size_t QueueOffset = 0;
  std::size_t Accounted = 0;
  TimePoint LastReceived;
  TimePoint FrameStarted;
  TimePoint StalledSince;
  bool Open = true;
  bool FlushScheduled = false;
  bool WaitsForSpace = false;
};

} // namespace comfreyrill
