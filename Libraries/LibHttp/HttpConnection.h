#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// How far a request got before its exchange failed.
enum class WriteProgress { NothingWritten, MayHaveBeenRead };

/// Why an exchange has no answer, and whether the peer can have seen any of it.
struct ExchangeFailure {
  Error Cause;
  WriteProgress Progress = WriteProgress::MayHaveBeenRead;
};

template <typename T>
using ExchangeResult =
    outcome::basic_result<T, ExchangeFailure, outcome::policy::terminate>;

/// One client connection. It carries one exchange at a time; an exchange that
/// does not complete leaves the connection closed.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  explicit HttpConnection(const Executor &Context);

  /// Connects before the deadline.
  Awaitable<Result<void>> connect(Endpoint Remote, TimePoint Deadline);

  /// True when an answer belongs to the request that was sent.
  using AnswerFilter = std::function<bool(const HttpResponse &Answer)>;

  /// Sends a request and reads the whole answer before the deadline. Answers
  /// that the filter does not take are late ones to earlier requests; they are
  /// dropped and the next one is read. An empty filter takes every answer.
  Awaitable<ExchangeResult<HttpResponse>> exchange(const HttpRequest &Request,
                                                   const HttpLimits &Limits,
                                                   TimePoint Deadline,
                                                   AnswerFilter Accepts = {});

  /// Ends the exchange in progress; the peer sees a closed connection.
  void cancel();

  /// True when the connection can carry another exchange.
  bool isReusable();

private:
  Awaitable<ExchangeResult<HttpResponse>> readAnswer(const HttpRequest &Request,
                                                     const HttpLimits &Limits);
  void detectSilentPeer();
  void startDeadline(TimePoint Deadline);
  void armTimer(TimePoint Expiry);
  void onTimer();
  void close();
  Error failureCause(const boost::system::error_code &Code,
                     std::string_view Step) const;

  TcpSocket Socket;
  Timer DeadlineTimer;
  beast::flat_buffer Buffer;
  TimePoint ActiveDeadline = TimePoint::max();
  TimePoint TimerExpiry = TimePoint::max();
  bool TimedOut = false;
  bool Cancelled = false;
  bool KeepAlive = false;
};

} // namespace comfreyrill
