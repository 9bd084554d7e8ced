#include <LibPeer/FrameConnection.h>

#include <algorithm>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// Large enough for several heartbeats. A host has two connections to each other
// host of its failure domain.
constexpr std::size_t InitialBufferBytes = 1024;
// Larger buffers are shrunk once they are empty.
constexpr std::size_t MaximumRetainedBufferBytes = std::size_t{8} * 1024;

Error connectionLost(const std::string &Cause) {
  return {ErrorKind::ConnectionLost, "the connection to the peer was lost (" +
                                         Cause +
                                         "); the next message reconnects"};
}

// Without this timeout the kernel retransmits for many minutes at growing
// intervals, and a link would stay silent long after a network partition has
// healed.
void setRetransmissionTimeout(TcpSocket &Socket, Duration Time) {
  const auto Milliseconds = static_cast<unsigned int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &Milliseconds, sizeof(Milliseconds));
}

} // namespace

FrameConnection::FrameConnection(TcpSocket Connected, const Clock &TimeSource,
                                 const FrameLimits &Limits,
                                 std::shared_ptr<PeerTraffic> Traffic)
    : Socket(std::move(Connected)), TimeSource(TimeSource), Limits(Limits),
      Traffic(std::move(Traffic)) {}

void FrameConnection::start(FrameHandler NewFrameHandler,
                            CloseHandler NewCloseHandler) {
  HandleFrame = std::move(NewFrameHandler);
  HandleClose = std::move(NewCloseHandler);
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  setRetransmissionTimeout(Socket, Limits.StallTimeout);
  LastReceived = TimeSource.now();
  if (resizeBuffer(InitialBufferBytes))
    read();
}

void FrameConnection::read() {
  Socket.async_read_some(asio::buffer(Buffer.data() + BytesBuffered,
                                      Buffer.size() - BytesBuffered),
                         [Self = shared_from_this()](
                             const boost::system::error_code &Code,
                             std::size_t Count) { Self->onRead(Code, Count); });
}

void FrameConnection::onRead(const boost::system::error_code &Code,
                             std::size_t Count) {
  if (!IsOpen)
    return;
  if (Code) {
    close(connectionLost(Code.message()));
    return;
  }
  LastReceived = TimeSource.now();
  Traffic->BytesReceived += Count;
  if (BytesBuffered == 0)
    FrameStarted = LastReceived;
  BytesBuffered += Count;
  if (processFrames() && IsOpen)
    read();
}

// Handles the complete frames in the buffer and makes room for the next one.
// Returns false when the connection was closed.
bool FrameConnection::processFrames() {
  std::size_t Position = 0;
  std::size_t Needed = FrameHeaderBytes;
  while (IsOpen && BytesBuffered - Position >= FrameHeaderBytes) {
    const std::string_view Unprocessed(Buffer.data() + Position,
                                       BytesBuffered - Position);
    const std::size_t Length = frameLength(Unprocessed);
    if (Length > MaximumMessageBytes) {
      ++Traffic->InvalidFrames;
      close({ErrorKind::TooLarge,
             "the peer declared a message of " + std::to_string(Length) +
                 " bytes; check that its address belongs to a comfreyrill "
                 "host"});
      return false;
    }
    Needed = FrameHeaderBytes + Length;
    if (Unprocessed.size() < Needed)
      break;
    auto Message = decode(Unprocessed.substr(FrameHeaderBytes, Length));
    if (!Message) {
      ++Traffic->InvalidFrames;
      close(Message.error());
      return false;
    }
    Position += Needed;
    Needed = FrameHeaderBytes;
    ++Traffic->FramesReceived;
    FrameStarted = LastReceived;
    HandleFrame(Message.value());
  }
  if (!IsOpen)
    return false;
  BytesBuffered -= Position;
  if (BytesBuffered > 0 && Position > 0)
    std::memmove(Buffer.data(), Buffer.data() + Position, BytesBuffered);
  // The buffer grows with the bytes received, not to the declared length, so
  // that a frame header alone cannot allocate memory.
  std::size_t Size = std::max(InitialBufferBytes, Buffer.size());
  if (BytesBuffered == 0 && Size > MaximumRetainedBufferBytes)
    Size = InitialBufferBytes;
  if (BytesBuffered == Size)
    Size = std::min(Size * 2, std::max(Needed, Size + 1));
  return resizeBuffer(Size);
}

bool FrameConnection::resizeBuffer(std::size_t Size) {
  if (Size != Buffer.size()) {
    Buffer.resize(Size);
    if (Size < Buffer.capacity() / 2)
      Buffer.shrink_to_fit();
    updateBytesHeld();
  }
  if (Traffic->BytesHeld <= Limits.TotalBytes)
    return true;
  close({ErrorKind::TooLarge,
         "the peer connections buffer more than " +
             std::to_string(Limits.TotalBytes) +
             " bytes; this connection is closed, find the peer that sends too "
             "much data"});
  return false;
}

Result<void> FrameConnection::send(std::string_view Frames) {
  if (!IsOpen)
    return connectionLost("already closed");
  if (bytesQueued() + Frames.size() > Limits.QueueBytes ||
      Traffic->BytesHeld + Frames.size() > Limits.TotalBytes) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::Refused,
                 "the send queue of the peer connection is full; the message "
                 "was dropped, send it again later"};
  }
  Queue.append(Frames);
  ++Traffic->FramesSent;
  updateBytesHeld();
  if (!IsFlushScheduled && !IsWaitingForWritable) {
    IsFlushScheduled = true;
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      Self->IsFlushScheduled = false;
      Self->flush();
    });
  }
  return outcome::success();
}

void FrameConnection::flush() {
  if (!IsOpen || bytesQueued() == 0)
    return;
  boost::system::error_code Code;
  const std::size_t Count = Socket.write_some(
      asio::buffer(Queue.data() + QueueOffset, bytesQueued()), Code);
  if (Code && Code != asio::error::would_block &&
      Code != asio::error::try_again) {
    close(connectionLost(Code.message()));
    return;
  }
  Traffic->BytesSent += Count;
  QueueOffset += Count;
  if (bytesQueued() == 0) {
    Queue.clear();
    QueueOffset = 0;
    if (Queue.capacity() > MaximumRetainedBufferBytes)
      Queue.shrink_to_fit();
    updateBytesHeld();
    return;
  }
  // Compacting only when half of the queue is sent keeps copying linear.
  if (QueueOffset > Queue.size() / 2) {
    Queue.erase(0, QueueOffset);
    QueueOffset = 0;
    updateBytesHeld();
  }
  if (Count > 0 || !IsWaitingForWritable)
    StalledSince = TimeSource.now();
  IsWaitingForWritable = true;
  Socket.async_wait(
      TcpSocket::wait_write,
      [Self = shared_from_this()](const boost::system::error_code &WaitCode) {
        if (WaitCode || !Self->IsOpen)
          return;
        Self->flush();
        if (Self->bytesQueued() == 0)
          Self->IsWaitingForWritable = false;
      });
}

void FrameConnection::enforceTimeouts(TimePoint Now, bool ApplyIdleTimeout) {
  if (!IsOpen)
    return;
  if (ApplyIdleTimeout && Now - LastReceived > Limits.IdleTimeout)
    close(connectionLost("idle timeout"));
  else if (BytesBuffered > 0 && Now - FrameStarted > Limits.MessageTimeout)
    close(connectionLost("timeout while receiving a message"));
  else if (IsWaitingForWritable && Now - StalledSince > Limits.StallTimeout)
    close(connectionLost("write timeout, the peer accepts no data"));
}

void FrameConnection::close(const Error &Cause) {
  if (!IsOpen)
    return;
  IsOpen = false;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Traffic->BytesHeld -= BytesAccounted;
  BytesAccounted = 0;
  Queue = {};
  QueueOffset = 0;
  if (HandleClose)
    HandleClose(Cause);
}

void FrameConnection::updateBytesHeld() {
  if (!IsOpen)
    return;
  const std::size_t Held = Buffer.size() + Queue.size();
  Traffic->BytesHeld += Held - BytesAccounted;
  BytesAccounted = Held;
}

} // namespace comfreyrill
