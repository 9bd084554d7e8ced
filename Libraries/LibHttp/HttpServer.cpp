#include <LibHttp/HttpServer.h>

#include <LibCore/Listen.h>
#include <optional>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// Message and idle times are checked by one sweep over all connections instead
// of a timer for each read, which would cost two timer operations a request.
constexpr Duration SweepInterval = std::chrono::seconds(1);

} // namespace

enum class SessionPhase { Idle, Reading, Handling, Writing };

struct HttpServer::Session : std::enable_shared_from_this<Session> {
  explicit Session(TcpSocket Accepted) : Socket(std::move(Accepted)) {}

  void enter(SessionPhase NewPhase, TimePoint Now) {
    Phase = NewPhase;
    PhaseSince = Now;
  }

  void close() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

  /// A request that has arrived and that the event loop has not read yet.
  /// Closing now would reset the connection and lose it.
  bool hasUnreadBytes() {
    char Byte = 0;
    return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >
           0;
  }

  TcpSocket Socket;
  beast::flat_buffer Buffer;
  SessionPhase Phase = SessionPhase::Idle;
  TimePoint PhaseSince;
};

void Disconnect::onOccurrence(std::function<void()> NewFunction) {
  Function = std::move(NewFunction);
  if (Occurred && Function)
    Function();
}

void Disconnect::notify() {
  Occurred = true;
  if (Function)
    Function();
}

HttpServer::HttpServer(const Executor &Context, const Clock &TimeSource,
                       HttpLimits Limits, Handler HandleRequest,
                       RefusalWriter WriteRefusal)
    : Context(Context), TimeSource(TimeSource), Limits(Limits),
      HandleRequest(std::move(HandleRequest)),
      WriteRefusal(std::move(WriteRefusal)), Acceptor(Context),
      SweepTimer(Context) {}

Result<void> HttpServer::listen(const Endpoint &Requested) {
  TRY(Local, listenOn(Acceptor, Requested));
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->accept(); },
      asio::detached);
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->sweep(); },
      asio::detached);
  return outcome::success();
}

void HttpServer::stopAccepting() {
  IsStopping = true;
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

void HttpServer::closeIdleSessions() {
  for (const auto &Current : Sessions)
    if (Current->Phase == SessionPhase::Idle && Current->Buffer.size() == 0 &&
        !Current->hasUnreadBytes())
      Current->close();
}

void HttpServer::close() {
  stopAccepting();
  SweepTimer.cancel();
  for (const auto &Current : Sessions)
    Current->close();
}

Awaitable<void> HttpServer::accept() {
  while (!IsStopping) {
    auto [Code, Accepted] = co_await Acceptor.async_accept(UseTuple);
    if (Code == asio::error::operation_aborted || IsStopping)
      co_return;
    if (Code) {
      // Out of descriptors: accepting again at once would spin.
      Timer Pause(Context);
      Pause.expires_after(std::chrono::milliseconds(50));
      co_await Pause.async_wait(UseTuple);
      continue;
    }
    if (Sessions.size() >= Limits.Connections)
      continue; // The destructor of the socket closes the connection.
    boost::system::error_code Ignored;
    Accepted.set_option(asio::ip::tcp::no_delay(true), Ignored);
    auto Current = std::make_shared<Session>(std::move(Accepted));
    Current->enter(SessionPhase::Idle, TimeSource.now());
    Sessions.insert(Current);
    asio::co_spawn(
        Context,
        [Self = shared_from_this(), Current] { return Self->serve(Current); },
        asio::detached);
  }
}

Awaitable<void> HttpServer::serve(std::shared_ptr<Session> Current) {
  while (Current->Socket.is_open() && co_await serveRequest(*Current)) {
  }
  boost::system::error_code Ignored;
  Current->Socket.shutdown(TcpSocket::shutdown_send, Ignored);
  Current->close();
  Sessions.erase(Current);
}

Awaitable<bool> HttpServer::serveRequest(Session &Current) {
  Current.enter(SessionPhase::Idle, TimeSource.now());
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  const auto [ReadError, ReadBytes] = co_await http::async_read(
      Current.Socket, Current.Buffer, Parser, UseTuple);
  if (ReadError == http::error::end_of_stream || !Current.Socket.is_open())
    co_return false;

  HttpResponse Response;
  bool KeepAlive = false;
  if (ReadError) {
    if (ReadError.category() !=
        make_error_code(http::error::end_of_stream).category())
      co_return false;
    const bool IsTooLarge = ReadError == http::error::body_limit ||
                            ReadError == http::error::header_limit ||
                            ReadError == http::error::buffer_overflow;
    Response = WriteRefusal(
        IsTooLarge ? http::status::payload_too_large
                   : http::status::bad_request,
        Error{IsTooLarge ? ErrorKind::TooLarge : ErrorKind::InvalidInput,
              IsTooLarge ? "the request exceeds the size limit; send a smaller "
                           "header or body"
                         : "the request is not valid HTTP/1.1 (" +
                               ReadError.message() + "); correct it"});
  } else {
    KeepAlive = Parser.keep_alive();
    Current.enter(SessionPhase::Handling, TimeSource.now());
    ++ActiveRequests;
    const auto CallerLeft = std::make_shared<Disconnect>();
    watchDisconnect(Current.shared_from_this(), CallerLeft);
    Response = co_await HandleRequest(Parser.release(), CallerLeft);
    CallerLeft->onOccurrence(nullptr);
    --ActiveRequests;
  }
  if (!Current.Socket.is_open())
    co_return false;
  // Ends the wait of watchDisconnect, the only operation outstanding.
  boost::system::error_code Ignored;
  Current.Socket.cancel(Ignored);
  Current.enter(SessionPhase::Writing, TimeSource.now());
  KeepAlive = KeepAlive && !IsStopping && !IsClosingAfterAnswer;
  Response.keep_alive(KeepAlive);
  const auto [WriteError, WrittenBytes] =
      co_await http::async_write(Current.Socket, Response, UseTuple);
  co_return !WriteError && KeepAlive;
}

void HttpServer::watchDisconnect(
    const std::shared_ptr<Session> &Current,
    const std::shared_ptr<Disconnect> &CallerLeft) {
  // Bytes already buffered belong to the next request; the caller is there.
  if (Current->Buffer.size() > 0)
    return;
  Current->Socket.async_wait(
      TcpSocket::wait_read,
      [Current, CallerLeft](const boost::system::error_code &Code) {
        if (Code)
          return;
        char Byte = 0;
        const auto Count = ::recv(Current->Socket.native_handle(), &Byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
        const bool WouldBlock =
            Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (Count <= 0 && !WouldBlock)
          CallerLeft->notify();
      });
}

Awaitable<void> HttpServer::sweep() {
  while (true) {
    SweepTimer.expires_after(SweepInterval);
    const auto [Code] = co_await SweepTimer.async_wait(UseTuple);
    if (Code || (IsStopping && Sessions.empty()))
      co_return;
    const TimePoint Now = TimeSource.now();
    for (const auto &Current : Sessions) {
      if (Current->Phase == SessionPhase::Idle && Current->Buffer.size() > 0)
        Current->enter(SessionPhase::Reading, Now);
      const Duration Age = Now - Current->PhaseSince;
      const bool IsSlow = (Current->Phase == SessionPhase::Reading ||
                           Current->Phase == SessionPhase::Writing) &&
                          Age > Limits.MessageTime;
      const bool IsIdle =
          Current->Phase == SessionPhase::Idle && Age > Limits.IdleTime;
      if (IsSlow || IsIdle)
        Current->close();
    }
  }
}

} // namespace comfreyrill
