#include <LibHttp/HttpConnection.h>

#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// Together they find a silent peer within three seconds, the time after which
// the platform expects a host to have noticed a cut.
constexpr int SilenceBeforeProbeSeconds = 1;
constexpr int SilentProbesMaximum = 2;
constexpr int SilenceMaximumMilliseconds = 3000;

} // namespace

HttpConnection::HttpConnection(const Executor &Context)
    : Socket(Context), DeadlineTimer(Context) {}

Awaitable<Result<void>> HttpConnection::connect(Endpoint Remote,
                                                TimePoint Deadline) {
  const auto Self = shared_from_this();
  boost::system::error_code AddressError;
  const auto Address = asio::ip::make_address(Remote.Address, AddressError);
  if (AddressError)
    co_return Error{ErrorKind::InvalidInput,
                    "'" + Remote.Address +
                        "' is not an IP number; correct the address"};
  startDeadline(Deadline);
  const auto [ConnectError] = co_await Socket.async_connect(
      asio::ip::tcp::endpoint(Address, Remote.Port), UseTuple);
  ActiveDeadline = TimePoint::max();
  if (ConnectError) {
    Error Cause =
        failureCause(ConnectError, "connect to " + formatEndpoint(Remote));
    if (Cause.Kind == ErrorKind::ConnectionLost)
      Cause.Kind = ErrorKind::ConnectionFailed;
    close();
    co_return Cause;
  }
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  detectSilentPeer();
  KeepAlive = true;
  co_return outcome::success();
}

Awaitable<ExchangeResult<HttpResponse>>
HttpConnection::exchange(const HttpRequest &Request, const HttpLimits &Limits,
                         TimePoint Deadline, AnswerFilter Accepts) {
  const auto Self = shared_from_this();
  KeepAlive = false;
  startDeadline(Deadline);
  const auto [WriteError, WrittenBytes] =
      co_await http::async_write(Socket, Request, UseTuple);
  if (WriteError) {
    const Error Cause = failureCause(WriteError, "send the request");
    close();
    co_return ExchangeFailure{Cause, WrittenBytes == 0
                                         ? WriteProgress::NothingWritten
                                         : WriteProgress::MayHaveBeenRead};
  }
  auto Answer = co_await readAnswer(Request, Limits);
  bool IsInStep = true;
  while (Answer && Accepts && !Accepts(Answer.value())) {
    if (!Socket.is_open())
      co_return ExchangeFailure{
          Error{ErrorKind::ConnectionLost,
                "the connection ended with the answer to another request; "
                "check the target"},
          WriteProgress::MayHaveBeenRead};
    IsInStep = false;
    Answer = co_await readAnswer(Request, Limits);
  }
  // A connection that carried an extra answer is not used again: it is unknown
  // how many more belong to no request.
  if (!IsInStep)
    close();
  ActiveDeadline = TimePoint::max();
  co_return Answer;
}

Awaitable<ExchangeResult<HttpResponse>>
HttpConnection::readAnswer(const HttpRequest &Request,
                           const HttpLimits &Limits) {
  http::response_parser<http::string_body> Parser;
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  if (Request.method() == http::verb::head)
    Parser.skip(true);
  const auto [ReadError, ReadBytes] =
      co_await http::async_read(Socket, Buffer, Parser, UseTuple);
  if (ReadError) {
    const Error Cause = failureCause(ReadError, "read the answer");
    close();
    co_return ExchangeFailure{Cause, WriteProgress::MayHaveBeenRead};
  }
  // Bytes after the answer would be taken for the answer to the next request.
  KeepAlive = Parser.keep_alive() && Buffer.size() == 0 && !Cancelled;
  if (!KeepAlive && Buffer.size() == 0)
    close();
  co_return Parser.release();
}

// A peer without power, or behind a cut, does not answer at all. Keep-alive
// probes of the kernel find that out on connections that wait for an answer.
void HttpConnection::detectSilentPeer() {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  using Option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(Option(SilenceBeforeProbeSeconds), Ignored);
  Socket.set_option(Interval(SilenceBeforeProbeSeconds), Ignored);
  Socket.set_option(Count(SilentProbesMaximum), Ignored);
  Socket.set_option(UserTimeout(SilenceMaximumMilliseconds), Ignored);
}

void HttpConnection::cancel() {
  Cancelled = true;
  close();
}

bool HttpConnection::isReusable() {
  if (!KeepAlive || !Socket.is_open())
    return false;
  // A target that closed an idle connection shows as readable here. Writing to
  // it would end in a reset, which is no proof that the request was not run.
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Deadlines mostly move forward, so a timer that is already pending is left
// alone and set again when it fires. This spares two timer operations on
// nearly every exchange.
void HttpConnection::startDeadline(TimePoint Deadline) {
  ActiveDeadline = Deadline;
  TimedOut = false;
  Cancelled = false;
  if (Deadline < TimerExpiry)
    armTimer(Deadline);
}

void HttpConnection::armTimer(TimePoint Expiry) {
  TimerExpiry = Expiry;
  DeadlineTimer.expires_at(Expiry);
  DeadlineTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (Self && !Code)
          Self->onTimer();
      });
}

void HttpConnection::onTimer() {
  TimerExpiry = TimePoint::max();
  if (ActiveDeadline == TimePoint::max())
    return;
  if (BootClock::now() < ActiveDeadline) {
    armTimer(ActiveDeadline);
    return;
  }
  TimedOut = true;
  close();
}

void HttpConnection::close() {
  KeepAlive = false;
  ActiveDeadline = TimePoint::max();
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

Error HttpConnection::failureCause(const boost::system::error_code &Code,
                                   std::string_view Step) const {
  const std::string Prefix = "cannot " + std::string(Step) + ": ";
  if (TimedOut)
    return {ErrorKind::TimedOut,
            Prefix + "the deadline has passed; allow more time or try later"};
  if (Cancelled)
    return {ErrorKind::ConnectionLost, Prefix + "the exchange was cancelled"};
  if (Code == http::error::body_limit || Code == http::error::header_limit ||
      Code == http::error::buffer_overflow)
    return {ErrorKind::TooLarge,
            Prefix + "the message exceeds the size limit; raise the limit in "
                     "the settings or send less"};
  if (Code.category() ==
      make_error_code(http::error::end_of_stream).category()) {
    if (Code != http::error::end_of_stream &&
        Code != http::error::partial_message)
      return {ErrorKind::InvalidInput,
              Prefix + "the peer does not speak HTTP/1.1 (" + Code.message() +
                  "); check its address"};
  }
  return {ErrorKind::ConnectionLost,
          Prefix + Code.message() + "; check that the peer is running"};
}

} // namespace comfreyrill
