#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>
#include <LibHttp/MessageMemory.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Progress of writing a request before its exchange failed. With
/// NothingWritten, the peer cannot have received any part of the request.
enum class WriteProgress { NothingWritten, MayHaveBeenRead };

/// Cause of a failed exchange, and whether the peer may have received any part
/// of the request.
struct ExchangeFailure {
  Error Cause;
  WriteProgress Progress = WriteProgress::MayHaveBeenRead;
  /// Set when the header of a response arrived completely, but not its body.
  /// The body is empty.
  std::optional<HttpResponse> IncompleteResponse;
};

template <typename T>
using ExchangeResult =
    outcome::basic_result<T, ExchangeFailure, outcome::policy::terminate>;

/// Digest of what identifies a request in its responses.
using RequestDigest = std::uint64_t;

/// HTTP/1.1 client connection. It carries one exchange, a request and its
/// response, at a time. An exchange that does not complete closes the
/// connection.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Without a MessageMemory, only the limits of each exchange bound the memory
  /// of its response.
  explicit HttpConnection(const Executor &Context,
                          MessageMemory *Memory = nullptr);

  /// Connects, and fails with TimedOut when the deadline passes.
  Awaitable<Result<void>> connect(Endpoint Remote, TimePoint Deadline);

  using ResponseMatcher =
      std::function<ResponseMatch(const HttpResponse &Response)>;

  /// Sends a request and reads the whole response before the deadline. A few
  /// interim responses and late responses to other requests are discarded; an
  /// unidentified response is a failure. Without a matcher the first final
  /// response is taken.
  Awaitable<ExchangeResult<HttpResponse>> exchange(const HttpRequest &Request,
                                                   const HttpLimits &Limits,
                                                   TimePoint Deadline,
                                                   ResponseMatcher Match = {});

  /// Records a request that is about to be sent. A connection becomes
  /// unusable for further exchanges after about a thousand of them.
  void recordCarried(RequestDigest Request);
  /// Returns true if a second copy of a response to this request may still
  /// arrive, and would be mistaken for the response to the same request sent
  /// once more.
  bool hasCarried(RequestDigest Request) const;

  /// Aborts the exchange in progress by closing the connection.
  void cancel();

  /// Returns true if the connection can carry another exchange.
  bool isReusable();

private:
  Awaitable<ExchangeResult<HttpResponse>>
  readResponse(const HttpRequest &Request, const HttpLimits &Limits);
  Awaitable<boost::system::error_code>
  readWhole(http::response_parser<http::string_body> &Parser);
  void enableTcpKeepAlive();
  void setDeadline(TimePoint Deadline);
  void armTimer(TimePoint Expiry);
  void onTimer();
  void close();
  Error failureCause(const boost::system::error_code &Code,
                     std::string_view Step) const;

  TcpSocket Socket;
  MessageMemory *Memory;
  Timer DeadlineTimer;
  std::vector<RequestDigest> Carried;
  beast::flat_buffer Buffer{ReadBufferBytes};
  TimePoint ActiveDeadline = TimePoint::max();
  TimePoint TimerExpiry = TimePoint::max();
  bool TimedOut = false;
  bool Cancelled = false;
  /// The memory of the process did not suffice for the response.
  bool IsMemoryShort = false;
  bool KeepAlive = false;
};

} // namespace comfreyrill
