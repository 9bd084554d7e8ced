#include <LibHttp/HttpServer.h>

#include "HttpServerSession.h"

#include <LibCore/Listen.h>
#include <algorithm>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// Message and idle timeouts are checked by one periodic sweep over all
// connections. A timer for each read would cost two timer operations per
// request.
constexpr Duration SweepInterval = std::chrono::seconds(1);
// Time for which the bytes of requests that are not served are read and
// discarded. Closing the connection before would reset it, and the caller might
// lose the response.
constexpr Duration DiscardTime = std::chrono::seconds(1);
constexpr std::size_t DiscardBufferBytes = std::size_t{4} * 1024;

} // namespace

bool HttpServer::Session::hasUnreadBytes() {
  char Byte = 0;
  return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Disconnect::onOccurrence(std::function<void()> NewCallback) {
  Callback = std::move(NewCallback);
  if (Occurred && Callback)
    Callback();
}

void Disconnect::notify() {
  Occurred = true;
  if (Callback)
    Callback();
}

HttpServer::HttpServer(const Executor &Context, const Clock &TimeSource,
                       HttpLimits Limits, Handler HandleRequest,
                       ErrorResponseFactory MakeErrorResponse,
                       MessageMemory *Memory,
                       ConcurrencyPredicate MayRunConcurrently)
    : Context(Context), TimeSource(TimeSource), Limits(Limits),
      HandleRequest(std::move(HandleRequest)),
      MakeErrorResponse(std::move(MakeErrorResponse)), Memory(Memory),
      MayRunConcurrently(std::move(MayRunConcurrently)), Acceptor(Context),
      SweepTimer(Context) {}

Result<void> HttpServer::listen(const Endpoint &Requested) {
  TRY(Local, listenOn(Acceptor, Requested));
  if (MayRunConcurrently) {
    HangUps = std::make_shared<HangUpWatcher>(Context);
    TRY(HangUps->start());
  }
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->accept(); },
      asio::detached);
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->sweep(); },
      asio::detached);
  return outcome::success();
}

// Closing the listening socket resets the connections that wait to be accepted,
// with the requests that their callers have sent.
void HttpServer::stopAccepting() {
  if (IsStopping)
    return;
  IsStopping = true;
  boost::system::error_code Code;
  Acceptor.non_blocking(true, Code);
  while (!Code) {
    TcpSocket Accepted(Context);
    asio::ip::tcp::endpoint Caller;
    Acceptor.accept(Accepted, Caller, Code);
    if (!Code)
      startSession(std::move(Accepted), Caller);
  }
  Acceptor.close(Code);
}

std::size_t HttpServer::unfinishedRequests() const {
  std::size_t Unfinished = 0;
  for (const auto &ActiveSession : Sessions) {
    if (ActiveSession->isIdle())
      continue;
    const std::size_t Open = ActiveSession->Pipeline.Open.size();
    const bool IsPartlyRead = Open > 0 && ActiveSession->hasPartialRequest();
    Unfinished += std::max<std::size_t>(1, Open + (IsPartlyRead ? 1 : 0));
  }
  return Unfinished;
}

void HttpServer::closeIdleSessions() {
  for (const auto &ActiveSession : Sessions)
    if (ActiveSession->isIdle())
      closeSession(ActiveSession);
}

void HttpServer::rejectUnreadRequests() {
  for (const auto &ActiveSession : Sessions) {
    if (MayRunConcurrently) {
      rejectPartialRequest(*ActiveSession);
      continue;
    }
    const bool IsReading = ActiveSession->Phase == SessionPhase::Idle ||
                           ActiveSession->Phase == SessionPhase::Reading;
    if (!IsReading || ActiveSession->isIdle() || ActiveSession->IsRejected)
      continue;
    ActiveSession->IsRejected = true;
    boost::system::error_code Ignored;
    ActiveSession->Socket.cancel(Ignored);
  }
}

void HttpServer::close() {
  stopAccepting();
  SweepTimer.cancel();
  for (const auto &ActiveSession : Sessions)
    closeSession(ActiveSession);
  if (HangUps)
    HangUps->close();
}

Awaitable<void> HttpServer::accept() {
  while (!IsStopping) {
    asio::ip::tcp::endpoint Caller;
    auto [Code, Accepted] = co_await Acceptor.async_accept(Caller, UseTuple);
    if (!Code) {
      startSession(std::move(Accepted), Caller);
      continue;
    }
    if (Code == asio::error::operation_aborted || IsStopping)
      co_return;
    // After an error such as a lack of file descriptors, an immediate retry
    // would busy-loop.
    Timer Pause(Context);
    Pause.expires_after(std::chrono::milliseconds(50));
    co_await Pause.async_wait(UseTuple);
  }
}

void HttpServer::startSession(TcpSocket Accepted,
                              const asio::ip::tcp::endpoint &Caller) {
  if (Sessions.size() >= Limits.Connections)
    return; // The destructor of Accepted closes the connection.
  boost::system::error_code Ignored;
  Accepted.set_option(asio::ip::tcp::no_delay(true), Ignored);
  auto ActiveSession = std::make_shared<Session>(std::move(Accepted), Memory);
  ActiveSession->CallerAddress = Caller.address().to_string();
  ActiveSession->enter(SessionPhase::Idle, TimeSource.now());
  Sessions.insert(ActiveSession);
  if (MayRunConcurrently) {
    servePipelined(ActiveSession);
    return;
  }
  asio::co_spawn(
      Context,
      [Self = shared_from_this(), ActiveSession] {
        return Self->serve(ActiveSession);
      },
      asio::detached);
}

Awaitable<void> HttpServer::serve(std::shared_ptr<Session> ActiveSession) {
  // With the co_await in the condition of the loop, GCC 12 lays out the frame
  // of this coroutine in two different ways.
  bool IsKept = true;
  while (IsKept && ActiveSession->Socket.is_open())
    IsKept = co_await serveRequest(*ActiveSession);
  co_await finish(*ActiveSession);
}

Awaitable<void> HttpServer::finish(Session &ActiveSession) {
  boost::system::error_code Ignored;
  ActiveSession.Socket.shutdown(TcpSocket::shutdown_send, Ignored);
  if (ActiveSession.HasUnreadRequest || ActiveSession.hasUnreadBytes())
    co_await discardInput(ActiveSession);
  ActiveSession.close();
  Sessions.erase(ActiveSession.shared_from_this());
}

// The sweep closes the socket when the time is over.
Awaitable<void> HttpServer::discardInput(Session &ActiveSession) {
  ActiveSession.Parser.reset();
  ActiveSession.enter(SessionPhase::Discarding, TimeSource.now());
  std::vector<char> Discarded(DiscardBufferBytes);
  while (ActiveSession.Socket.is_open()) {
    const auto [Code, Count] = co_await ActiveSession.Socket.async_read_some(
        asio::buffer(Discarded), UseTuple);
    if (Code)
      co_return;
  }
}

// A request of known length takes all its memory before its body is read, so
// that one without enough is answered at once.
Awaitable<boost::system::error_code>
HttpServer::readRequest(Session &ActiveSession, MessageShare &Share) {
  auto &Parser = *ActiveSession.Parser;
  Parser.eager(true);
  std::uint64_t ExpectedBytes = 0;
  while (!Parser.is_done()) {
    if (Parser.is_header_done())
      ExpectedBytes = Parser.content_length().value_or(0);
    const std::uint64_t HeldBytes =
        std::max<std::uint64_t>(ExpectedBytes, Parser.get().body().size());
    if (!Share.resize(HeldBytes + ActiveSession.Buffer.capacity()))
      co_return make_error_code(boost::system::errc::not_enough_memory);
    if (ActiveSession.IsRejected || ActiveSession.Pipeline.IsReadingEnded)
      co_return make_error_code(boost::system::errc::operation_canceled);
    const auto [ReadError, ReadBytes] = co_await http::async_read_some(
        ActiveSession.Socket, ActiveSession.Buffer, Parser,
        asio::bind_cancellation_slot(ActiveSession.ReadCancellation.slot(),
                                     UseTuple));
    if (ReadError && ActiveSession.IsRejected)
      co_return make_error_code(boost::system::errc::operation_canceled);
    if (ReadError)
      co_return ReadError;
  }
  co_return boost::system::error_code{};
}

HttpResponse HttpServer::respondToReadError(
    const boost::system::error_code &ReadError) const {
  if (ReadError == boost::system::errc::not_enough_memory)
    return MakeErrorResponse(
        http::status::service_unavailable,
        Error{ErrorKind::Unavailable,
              "the host has no memory left for this request, which has not "
              "run; send it again later or to another host"});
  if (ReadError == boost::system::errc::operation_canceled)
    return MakeErrorResponse(
        http::status::service_unavailable,
        Error{ErrorKind::Refused,
              "the host is draining, and the request, which had not arrived "
              "whole, has not run; send it to another host"});
  const bool IsTooLarge = ReadError == http::error::body_limit ||
                          ReadError == http::error::header_limit ||
                          ReadError == http::error::buffer_overflow;
  return MakeErrorResponse(
      IsTooLarge ? http::status::payload_too_large : http::status::bad_request,
      Error{IsTooLarge ? ErrorKind::TooLarge : ErrorKind::InvalidInput,
            IsTooLarge ? "the request exceeds the size limit; send a smaller "
                         "header or body"
                       : "the request is not valid HTTP/1.1 (" +
                             ReadError.message() + "); correct it"});
}

Awaitable<bool> HttpServer::serveRequest(Session &ActiveSession) {
  ActiveSession.enter(SessionPhase::Idle, TimeSource.now());
  auto &Parser = ActiveSession.Parser.emplace();
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  MessageShare RequestShare(Memory, MessageKind::Request);
  const auto ReadError = co_await readRequest(ActiveSession, RequestShare);
  if (ReadError == http::error::end_of_stream ||
      !ActiveSession.Socket.is_open())
    co_return false;

  HttpResponse Response;
  bool KeepAlive = false;
  if (ReadError) {
    if (ReadError != boost::system::errc::not_enough_memory &&
        ReadError != boost::system::errc::operation_canceled &&
        ReadError.category() !=
            make_error_code(http::error::end_of_stream).category())
      co_return false;
    Response = respondToReadError(ReadError);
    ActiveSession.HasUnreadRequest = true;
  } else {
    KeepAlive = Parser.keep_alive();
    ActiveSession.enter(SessionPhase::Handling, TimeSource.now());
    ++ActiveRequests;
    const auto CallerLeft =
        std::make_shared<Disconnect>(ActiveSession.CallerAddress);
    watchDisconnect(ActiveSession.shared_from_this(), CallerLeft);
    RequestShare.hold(Parser.get().body().size() +
                      ActiveSession.Buffer.capacity());
    Response = co_await HandleRequest(Parser.release(), CallerLeft);
    CallerLeft->onOccurrence(nullptr);
    --ActiveRequests;
  }
  if (!ActiveSession.Socket.is_open())
    co_return false;
  // Cancels the wait of watchDisconnect, the only pending operation.
  boost::system::error_code Ignored;
  ActiveSession.Socket.cancel(Ignored);
  ActiveSession.enter(SessionPhase::Writing, TimeSource.now());
  KeepAlive = KeepAlive && !IsStopping && !IsClosingAfterResponse;
  Response.keep_alive(KeepAlive);
  RequestShare.hold(0);
  MessageShare ResponseShare(Memory, MessageKind::Response);
  ResponseShare.hold(Response.body().size());
  const auto [WriteError, WrittenBytes] =
      co_await http::async_write(ActiveSession.Socket, Response, UseTuple);
  if (ActiveSession.Buffer.size() == 0 &&
      ActiveSession.Buffer.capacity() > IdleBufferBytes)
    ActiveSession.Buffer.shrink_to_fit();
  co_return !WriteError && KeepAlive;
}

void HttpServer::watchDisconnect(
    const std::shared_ptr<Session> &ActiveSession,
    const std::shared_ptr<Disconnect> &CallerLeft) {
  // Buffered bytes belong to the next request, so the caller is still
  // connected.
  if (ActiveSession->Buffer.size() > 0)
    return;
  ActiveSession->Socket.async_wait(
      TcpSocket::wait_read,
      [ActiveSession, CallerLeft](const boost::system::error_code &Code) {
        if (Code)
          return;
        char Byte = 0;
        const auto Count = ::recv(ActiveSession->Socket.native_handle(), &Byte,
                                  1, MSG_PEEK | MSG_DONTWAIT);
        const bool WouldBlock =
            Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (Count <= 0 && !WouldBlock)
          CallerLeft->notify();
      });
}

bool HttpServer::isDiscardingOver(const Session &ActiveSession, TimePoint Now) {
  return ActiveSession.Phase == SessionPhase::Discarding &&
         Now - ActiveSession.PhaseSince > DiscardTime;
}

Awaitable<void> HttpServer::sweep() {
  while (true) {
    SweepTimer.expires_after(SweepInterval);
    const auto [Code] = co_await SweepTimer.async_wait(UseTuple);
    if (Code || (IsStopping && Sessions.empty())) {
      if (HangUps)
        HangUps->close();
      co_return;
    }
    const TimePoint Now = TimeSource.now();
    for (const auto &ActiveSession : Sessions) {
      if (MayRunConcurrently) {
        sweepPipelined(ActiveSession, Now);
        continue;
      }
      if (ActiveSession->Phase == SessionPhase::Idle &&
          ActiveSession->Buffer.size() > 0)
        ActiveSession->enter(SessionPhase::Reading, Now);
      const Duration Age = Now - ActiveSession->PhaseSince;
      const bool IsSlow = (ActiveSession->Phase == SessionPhase::Reading ||
                           ActiveSession->Phase == SessionPhase::Writing) &&
                          Age > Limits.MessageTime;
      const bool IsIdle =
          ActiveSession->Phase == SessionPhase::Idle && Age > Limits.IdleTime;
      const bool IsDiscarded = isDiscardingOver(*ActiveSession, Now);
      if (IsSlow || IsIdle || IsDiscarded)
        ActiveSession->close();
    }
  }
}

} // namespace comfreyrill
