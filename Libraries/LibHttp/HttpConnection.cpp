#include <LibHttp/HttpConnection.h>

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace comfreyrill {

namespace {

// With these values a peer that does not respond is detected within three
// seconds, the time within which the platform expects a host to detect a
// network partition.
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;
constexpr int UserTimeoutMilliseconds = 3000;
// Responses that one exchange discards. More of them come from a peer that is
// out of step or sends without end.
constexpr int DiscardedResponsesMaximum = 8;
constexpr std::size_t CarriedRequestsMaximum = 1024;

bool holdsStatusLine(std::string_view Text) {
  constexpr std::string_view Protocol = "HTTP/1.";
  constexpr std::size_t CodeBegin = Protocol.size() + 2;
  constexpr std::size_t CodeEnd = CodeBegin + 3;
  for (std::size_t Begin = Text.find(Protocol); Begin != std::string_view::npos;
       Begin = Text.find(Protocol, Begin + 1)) {
    const std::string_view Line = Text.substr(Begin);
    if (Line.size() >= CodeEnd && Line[CodeBegin - 1] == ' ' &&
        std::all_of(Line.begin() + CodeBegin, Line.begin() + CodeEnd,
                    [](char Digit) { return Digit >= '0' && Digit <= '9'; }) &&
        (Line.size() == CodeEnd || Line[CodeEnd] == ' '))
      return true;
  }
  return false;
}

// RFC 9110, section 15.
bool isDefinedStatus(unsigned Status) { return Status >= 100 && Status < 600; }

// A response that broke off within a line of its header takes the status line
// of the next response for the rest of that line. The two then look like one
// response, with fields of both.
bool isMergedWithNext(const HttpResponse &Response) {
  if (holdsStatusLine({Response.reason().data(), Response.reason().size()}))
    return true;
  return std::any_of(Response.begin(), Response.end(), [](const auto &Field) {
    return holdsStatusLine({Field.value().data(), Field.value().size()});
  });
}

} // namespace

HttpConnection::HttpConnection(const Executor &Context, MessageMemory *Memory)
    : Socket(Context), Memory(Memory), DeadlineTimer(Context) {}

Awaitable<Result<void>> HttpConnection::connect(Endpoint Remote,
                                                TimePoint Deadline) {
  const auto Self = shared_from_this();
  boost::system::error_code AddressError;
  const auto Address = asio::ip::make_address(Remote.Address, AddressError);
  if (AddressError)
    co_return Error{ErrorKind::InvalidInput,
                    "'" + Remote.Address +
                        "' is not an IP address; correct the address"};
  setDeadline(Deadline);
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
  enableTcpKeepAlive();
  KeepAlive = true;
  co_return outcome::success();
}

Awaitable<ExchangeResult<HttpResponse>>
HttpConnection::exchange(const HttpRequest &Request, const HttpLimits &Limits,
                         TimePoint Deadline, ResponseMatcher Match) {
  const auto Self = shared_from_this();
  KeepAlive = false;
  setDeadline(Deadline);
  const auto [WriteError, WrittenBytes] =
      co_await http::async_write(Socket, Request, UseTuple);
  if (WriteError) {
    const Error Cause = failureCause(WriteError, "send the request");
    close();
    co_return ExchangeFailure{Cause,
                              WrittenBytes == 0
                                  ? WriteProgress::NothingWritten
                                  : WriteProgress::MayHaveBeenRead,
                              {}};
  }
  bool IsSynchronized = true;
  auto Response = co_await readResponse(Request, Limits);
  for (int Discarded = 0; Response; ++Discarded) {
    const bool IsInterim = Response.value().result_int() < 200;
    const ResponseMatch Found =
        IsInterim || !Match ? ResponseMatch::Own : Match(Response.value());
    if (!IsInterim && Found == ResponseMatch::Own)
      break;
    if (Found == ResponseMatch::Unidentified || !Socket.is_open() ||
        Discarded == DiscardedResponsesMaximum) {
      const bool IsLost = !Socket.is_open();
      close();
      co_return ExchangeFailure{
          Error{IsLost ? ErrorKind::ConnectionLost : ErrorKind::InvalidInput,
                "the peer sent no response to this request but others; check "
                "that it sends one response for each request"},
          WriteProgress::MayHaveBeenRead,
          {}};
    }
    IsSynchronized = IsSynchronized && IsInterim;
    Response = co_await readResponse(Request, Limits);
  }
  // A connection that delivered a response to another request is not reused,
  // because an unknown number of such responses may follow.
  if (!IsSynchronized)
    close();
  ActiveDeadline = TimePoint::max();
  co_return Response;
}

Awaitable<ExchangeResult<HttpResponse>>
HttpConnection::readResponse(const HttpRequest &Request,
                             const HttpLimits &Limits) {
  http::response_parser<http::string_body> Parser;
  Parser.header_limit(Limits.HeaderBytes);
  Parser.body_limit(Limits.BodyBytes);
  if (Request.method() == http::verb::head)
    Parser.skip(true);
  const auto ReadError = co_await readWhole(Parser);
  if (ReadError) {
    ExchangeFailure Failure{failureCause(ReadError, "read the response"),
                            WriteProgress::MayHaveBeenRead,
                            {}};
    close();
    if (Parser.is_header_done()) {
      Failure.IncompleteResponse = Parser.release();
      Failure.IncompleteResponse->body().clear();
    }
    co_return Failure;
  }
  if (!isDefinedStatus(Parser.get().result_int())) {
    close();
    co_return ExchangeFailure{
        Error{ErrorKind::InvalidInput,
              "the response has the status " +
                  std::to_string(Parser.get().result_int()) +
                  ", which HTTP does not define; check the peer"},
        WriteProgress::MayHaveBeenRead,
        {}};
  }
  if (isMergedWithNext(Parser.get())) {
    close();
    co_return ExchangeFailure{
        Error{ErrorKind::InvalidInput,
              "the header of the response holds the start of another response; "
              "check that the peer sends whole responses"},
        WriteProgress::MayHaveBeenRead,
        {}};
  }
  // Bytes after the response would be mistaken for the response to the next
  // request.
  KeepAlive = Parser.keep_alive() && Buffer.size() == 0 && !Cancelled;
  if (!KeepAlive && Buffer.size() == 0)
    close();
  if (Buffer.size() == 0 && Buffer.capacity() > IdleBufferBytes)
    Buffer.shrink_to_fit();
  co_return Parser.release();
}

// Takes memory before it reads on. The connection is closed when another
// response needs the memory more.
Awaitable<boost::system::error_code>
HttpConnection::readWhole(http::response_parser<http::string_body> &Parser) {
  MessageShare Share(Memory, MessageKind::Response, [this] {
    IsMemoryShort = true;
    close();
  });
  Parser.eager(true);
  while (!Parser.is_done()) {
    if (!Share.resize(Parser.get().body().size() + Buffer.capacity())) {
      IsMemoryShort = true;
      co_return make_error_code(http::error::body_limit);
    }
    const auto [ReadError, ReadBytes] =
        co_await http::async_read_some(Socket, Buffer, Parser, UseTuple);
    if (ReadError)
      co_return ReadError;
  }
  co_return boost::system::error_code{};
}

// A peer that lost power, or is behind a network partition, sends no packets at
// all. TCP keep-alive probes detect this on connections that wait for a
// response.
void HttpConnection::enableTcpKeepAlive() {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(Idle(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(Interval(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(Count(KeepAliveProbeCount), Ignored);
  Socket.set_option(UserTimeout(UserTimeoutMilliseconds), Ignored);
}

void HttpConnection::recordCarried(RequestDigest Request) {
  Carried.push_back(Request);
}

bool HttpConnection::hasCarried(RequestDigest Request) const {
  return std::find(Carried.begin(), Carried.end(), Request) != Carried.end();
}

void HttpConnection::cancel() {
  Cancelled = true;
  close();
}

bool HttpConnection::isReusable() {
  if (!KeepAlive || !Socket.is_open() ||
      Carried.size() >= CarriedRequestsMaximum)
    return false;
  // The socket is readable if the target has closed the idle connection.
  // Writing to it would cause a reset, which does not prove that the target has
  // not executed the request.
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Deadlines mostly move forward, so a pending timer is kept and re-armed when
// it fires. This saves two timer operations on nearly every exchange.
void HttpConnection::setDeadline(TimePoint Deadline) {
  ActiveDeadline = Deadline;
  TimedOut = false;
  Cancelled = false;
  IsMemoryShort = false;
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
  if (IsMemoryShort)
    return {ErrorKind::TooLarge,
            Prefix + "the messages of all connections exceed the memory of "
                     "the process; give it more, or send less"};
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
