#pragma once

#include <LibHttp/HttpServer.h>
#include <LibHttp/RequestPipeline.h>

#include <map>
#include <optional>

namespace comfreyrill {

enum class SessionPhase { Idle, Reading, Handling, Writing, Discarding };

/// A request of a pipelined connection until its response has been written.
struct OpenRequest {
  OpenRequest(MessageMemory *Memory, const std::string &CallerAddress)
      : RequestShare(Memory, MessageKind::Request),
        ResponseShare(Memory, MessageKind::Response),
        CallerLeft(std::make_shared<Disconnect>(CallerAddress)) {}

  std::uint64_t Number = 0;
  HttpRequest Request;
  HttpResponse Response;
  MessageShare RequestShare;
  MessageShare ResponseShare;
  std::shared_ptr<Disconnect> CallerLeft;
};

/// A connection of an HttpServer.
struct HttpServer::Session : std::enable_shared_from_this<Session> {
  Session(TcpSocket Accepted, MessageMemory *Memory)
      : Socket(std::move(Accepted)), BufferShare(Memory, MessageKind::Request) {
  }

  void enter(SessionPhase NewPhase, TimePoint Now) {
    Phase = NewPhase;
    PhaseSince = Now;
  }

  void close() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

  /// Returns true if the socket holds bytes that the event loop has not read
  /// yet. Closing the socket would then reset the connection and lose the
  /// request.
  bool hasUnreadBytes();

  /// Returns true if bytes of a request have arrived that has not been read
  /// whole.
  bool hasPartialRequest() {
    return Buffer.size() > 0 || (Parser && Parser->got_some()) ||
           hasUnreadBytes();
  }

  /// Returns true while no byte of the next request has arrived.
  bool isIdle() {
    return Phase == SessionPhase::Idle && Pipeline.Open.empty() &&
           RunningHandlers == 0 && !hasPartialRequest();
  }

  TcpSocket Socket;
  std::string CallerAddress;
  beast::flat_buffer Buffer{ReadBufferBytes};
  /// Parser of the request that is being read.
  std::optional<http::request_parser<http::string_body>> Parser;
  SessionPhase Phase = SessionPhase::Idle;
  TimePoint PhaseSince;
  /// The caller may still be sending a request that was rejected.
  bool HasUnreadRequest = false;
  /// The request that is being read is not served.
  bool IsRejected = false;

  // The rest is used only if requests may run concurrently. The phase is then
  // Idle until the connection is closed, because a session can read, handle and
  // write at the same time.

  RequestPipeline Pipeline;
  std::map<std::uint64_t, std::shared_ptr<OpenRequest>> Requests;
  /// Cancels the read operation and leaves the write operation alone.
  asio::cancellation_signal ReadCancellation;
  /// The buffer between two reads; a read counts it with its message.
  MessageShare BufferShare;
  bool IsReading = false;
  bool IsWriting = false;
  bool IsFinishing = false;
  bool HasCallerLeft = false;
  /// Set when bytes of the message that is being read have been found.
  std::optional<TimePoint> MessageSince;
  TimePoint WriteSince;
  /// Handlers that have not returned, including those of cancelled requests.
  std::size_t RunningHandlers = 0;
};

} // namespace comfreyrill
