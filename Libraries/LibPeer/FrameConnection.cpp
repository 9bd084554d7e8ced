#include <LibPeer/FrameConnection.h>

#include <algorithm>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// Holds a heartbeat and several grant requests.
constexpr std::size_t InitialBufferBytes = 4096;
// Buffers above this size are given back once they are empty.
constexpr std::size_t KeptBufferBytes = std::size_t{64} * 1024;

Error lost(const std::string &Cause) {
  return {ErrorKind::ConnectionLost,
          "the connection to the peer ended (" + Cause +
              "); it is opened again with the next message"};
}

// Without this bound the kernel retransmits for many minutes at growing
// intervals, and a link would stay silent long after a cut has ended.
void boundRetransmission(TcpSocket &Socket, Duration Time) {
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
  boundRetransmission(Socket, Limits.StallTime);
  LastReceived = TimeSource.now();
  if (growBuffer(InitialBufferBytes))
    read();
}

void FrameConnection::read() {
  Socket.async_read_some(
      asio::buffer(Buffer.data() + Filled, Buffer.size() - Filled),
      [Self = shared_from_this()](const boost::system::error_code &Code,
                                  std::size_t Count) {
        Self->onRead(Code, Count);
      });
}

void FrameConnection::onRead(const boost::system::error_code &Code,
                             std::size_t Count) {
  if (!Open)
    return;
  if (Code) {
    close(lost(Code.message()));
    return;
  }
  LastReceived = TimeSource.now();
  Traffic->BytesReceived += Count;
  if (Filled == 0)
    FrameStarted = LastReceived;
  Filled += Count;
  if (takeFrames() && Open)
    read();
}

// Handles the complete frames of the buffer and makes room for the next one.
// Returns false when the connection was closed.
bool FrameConnection::takeFrames() {
  std::size_t Position = 0;
  std::size_t Needed = FrameHeaderBytes;
  while (Open && Filled - Position >= FrameHeaderBytes) {
    const std::string_view Rest(Buffer.data() + Position, Filled - Position);
    const std::size_t Length = frameLength(Rest);
    if (Length > MaximumMessageBytes) {
      ++Traffic->InvalidFrames;
      close({ErrorKind::TooLarge,
             "the peer announced a message of " + std::to_string(Length) +
                 " bytes; check that its address belongs to a comfreyrill "
                 "host"});
      return false;
    }
    Needed = FrameHeaderBytes + Length;
    if (Rest.size() < Needed)
      break;
    auto Message = decode(Rest.substr(FrameHeaderBytes, Length));
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
  if (!Open)
    return false;
  Filled -= Position;
  if (Filled > 0 && Position > 0)
    std::memmove(Buffer.data(), Buffer.data() + Position, Filled);
  // The buffer grows with the bytes that arrive and not with the announced
  // length, so that a header alone holds no memory.
  std::size_t Size = std::max(InitialBufferBytes, Buffer.size());
  if (Filled == 0 && Size > KeptBufferBytes)
    Size = InitialBufferBytes;
  if (Filled == Size)
    Size = std::min(Size * 2, std::max(Needed, Size + 1));
  return growBuffer(Size);
}

bool FrameConnection::growBuffer(std::size_t Size) {
  if (Size != Buffer.size()) {
    Buffer.resize(Size);
    if (Size < Buffer.capacity() / 2)
      Buffer.shrink_to_fit();
    account();
  }
  if (Traffic->BytesHeld <= Limits.TotalBytes)
    return true;
  close({ErrorKind::TooLarge,
         "the connections to peers hold more than " +
             std::to_string(Limits.TotalBytes) +
             " bytes; this one is closed, find the peer that sends that much"});
  return false;
}

Result<void> FrameConnection::send(std::string_view Frames) {
  if (!Open)
    return lost("it is closed");
  if (bytesQueued() + Frames.size() > Limits.QueueBytes ||
      Traffic->BytesHeld + Frames.size() > Limits.TotalBytes) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::Refused,
                 "the peer does not take its messages fast enough; this one "
                 "was dropped, send it again later"};
  }
  Queue.append(Frames);
  ++Traffic->FramesSent;
  account();
  if (!FlushScheduled && !WaitsForSpace) {
    FlushScheduled = true;
    asio::post(Socket.get_executor(), [Self = shared_from_this()] {
      Self->FlushScheduled = false;
      Self->flush();
    });
  }
  return outcome::success();
}

void FrameConnection::flush() {
  if (!Open || bytesQueued() == 0)
    return;
  boost::system::error_code Code;
  const std::size_t Count = Socket.write_some(
      asio::buffer(Queue.data() + QueueOffset, bytesQueued()), Code);
  if (Code && Code != asio::error::would_block &&
      Code != asio::error::try_again) {
    close(lost(Code.message()));
    return;
  }
  Traffic->BytesSent += Count;
  QueueOffset += Count;
  if (bytesQueued() == 0) {
    Queue.clear();
    QueueOffset = 0;
    if (Queue.capacity() > KeptBufferBytes)
      Queue.shrink_to_fit();
    account();
    return;
  }
  // Moving the rest forward only when half is sent keeps the copying linear.
  if (QueueOffset > Queue.size() / 2) {
    Queue.erase(0, QueueOffset);
    QueueOffset = 0;
    account();
  }
  if (Count > 0 || !WaitsForSpace)
    StalledSince = TimeSource.now();
  WaitsForSpace = true;
  Socket.async_wait(
      TcpSocket::wait_write,
      [Self = shared_from_this()](const boost::system::error_code &WaitCode) {
        if (WaitCode || !Self->Open)
          return;
        Self->flush();
        if (Self->bytesQueued() == 0)
          Self->WaitsForSpace = false;
      });
}

void FrameConnection::enforceTimes(TimePoint Now, bool ApplyIdleTime) {
  if (!Open)
    return;
  if (ApplyIdleTime && Now - LastReceived > Limits.IdleTime)
    close(lost("it was idle"));
  else if (Filled > 0 && Now - FrameStarted > Limits.MessageTime)
    close(lost("a message took too long to arrive"));
  else if (WaitsForSpace && Now - StalledSince > Limits.StallTime)
    close(lost("the peer takes no data"));
}

void FrameConnection::close(const Error &Cause) {
  if (!Open)
    return;
  Open = false;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Traffic->BytesHeld -= Accounted;
  Accounted = 0;
  Queue = {};
  QueueOffset = 0;
  if (HandleClose)
    HandleClose(Cause);
}

void FrameConnection::account() {
  if (!Open)
    return;
  const std::size_t Held = Buffer.size() + Queue.size();
  Traffic->BytesHeld += Held - Accounted;
  Accounted = Held;
}

} // namespace comfreyrill
