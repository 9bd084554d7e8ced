#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/HangUpWatcher.h>
#include <LibHttp/Http.h>
#include <LibHttp/MessageMemory.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace comfreyrill {

/// Notifies a request handler when its caller closes the connection.
class Disconnect {
public:
  explicit Disconnect(std::string CallerAddress = {})
      : Address(std::move(CallerAddress)) {}

  /// Returns the IP address of the caller.
  const std::string &callerAddress() const { return Address; }
  bool hasOccurred() const { return Occurred; }
  /// Sets the function to call when the caller closes the connection, in place
  /// of an earlier one. Calls it at once if the caller has already done so.
  void onOccurrence(std::function<void()> NewCallback);
  void notify();

private:
  std::string Address;
  bool Occurred = false;
  std::function<void()> Callback;
};

struct OpenRequest;

/// HTTP/1.1 server on one listening socket. Requests of one connection are
/// handled sequentially, unless a predicate allows some of them to run
/// concurrently. Responses are sent in the order of the requests.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  using Handler = std::function<Awaitable<HttpResponse>(
      HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft)>;
  /// Creates the response to a message that is rejected before it reaches the
  /// handler.
  using ErrorResponseFactory =
      std::function<HttpResponse(http::status Status, const Error &Cause)>;

  /// Returns true for a request that may run beside others of its connection.
  /// It must be idempotent: its caller may have to repeat it if the connection
  /// is closed while it runs.
  using ConcurrencyPredicate = std::function<bool(const HttpRequest &)>;

  /// The memory, if there is one, bounds the requests of all connections; a
  /// request that finds too little of it is answered 503. Without a predicate,
  /// requests of one connection run one after another.
  HttpServer(const Executor &Context, const Clock &TimeSource,
             HttpLimits Limits, Handler HandleRequest,
             ErrorResponseFactory MakeErrorResponse,
             MessageMemory *Memory = nullptr,
             ConcurrencyPredicate MayRunConcurrently = nullptr);

  /// Binds the socket and starts to accept connections. Port 0 lets the
  /// operating system choose a free port.
  Result<void> listen(const Endpoint &Local);
  Endpoint localEndpoint() const { return Local; }

  /// Replaces the limits; they also apply to connections that are open.
  void setLimits(const HttpLimits &NewLimits) { Limits = NewLimits; }

  /// Closes each connection after its next response, while new connections are
  /// still accepted. Callers then move to other hosts between two requests,
  /// when no request can be sent on a closing connection. A connection with
  /// several open requests is closed after the last of their responses, and
  /// reads no further request before.
  void endKeepAlive() { IsClosingAfterResponse = true; }
  /// Stops accepting connections, after those that the kernel has accepted
  /// already. Open connections stay open until their next response, which is
  /// sent with keep-alive off.
  void stopAccepting();
  /// Closes the connections without a request in progress.
  void closeIdleSessions();
  /// Answers 503 to the requests that have not arrived whole. Their callers are
  /// told that they have not run.
  void rejectUnreadRequests();
  /// Stops accepting and closes all connections.
  void close();

  std::size_t sessions() const { return Sessions.size(); }
  /// Number of requests that the handler is processing.
  std::size_t activeRequests() const { return ActiveRequests; }
  /// Number of requests of which at least one byte has arrived and whose
  /// response has not been written completely.
  std::size_t unfinishedRequests() const;

private:
  struct Session;

  Awaitable<void> accept();
  void startSession(TcpSocket Accepted, const asio::ip::tcp::endpoint &Caller);
  Awaitable<void> serve(std::shared_ptr<Session> ActiveSession);
  /// Closes the sending side, and the connection when its input has been
  /// discarded.
  Awaitable<void> finish(Session &ActiveSession);
  Awaitable<bool> serveRequest(Session &ActiveSession);
  Awaitable<boost::system::error_code> readRequest(Session &ActiveSession,
                                                   MessageShare &Share);
  HttpResponse
  respondToReadError(const boost::system::error_code &ReadError) const;
  Awaitable<void> discardInput(Session &ActiveSession);
  Awaitable<void> sweep();
  static bool isDiscardingOver(const Session &ActiveSession, TimePoint Now);
  static void watchDisconnect(const std::shared_ptr<Session> &ActiveSession,
                              const std::shared_ptr<Disconnect> &CallerLeft);

  // HttpServerPipeline.cpp: connections whose requests may run concurrently.

  void servePipelined(const std::shared_ptr<Session> &ActiveSession);
  /// Begins everything that the state of the session allows. Called after each
  /// event.
  void advance(const std::shared_ptr<Session> &ActiveSession);
  Awaitable<void> readRequests(std::shared_ptr<Session> ActiveSession);
  /// Reads one request or its rejection. Returns false when the connection has
  /// ended.
  Awaitable<bool> readNext(const std::shared_ptr<Session> &ActiveSession);
  Awaitable<void> runHandler(std::shared_ptr<Session> ActiveSession,
                             std::shared_ptr<OpenRequest> Running);
  Awaitable<void> writeResponses(std::shared_ptr<Session> ActiveSession);
  /// Reads no further request of the connection.
  static void endReading(Session &ActiveSession);
  /// Notifies the handlers of running requests, and drops what has left the
  /// pipeline.
  static void cancel(Session &ActiveSession,
                     const std::vector<std::uint64_t> &Numbers);
  /// Cancels the requests of a caller that has closed the connection.
  void handleHangUp(const std::shared_ptr<Session> &ActiveSession);
  /// Closes the connection and cancels its requests.
  void closeSession(const std::shared_ptr<Session> &ActiveSession);
  static void rejectPartialRequest(Session &ActiveSession);
  void sweepPipelined(const std::shared_ptr<Session> &ActiveSession,
                      TimePoint Now);
  bool isDraining() const { return IsStopping || IsClosingAfterResponse; }

  Executor Context;
  const Clock &TimeSource;
  HttpLimits Limits;
  Handler HandleRequest;
  ErrorResponseFactory MakeErrorResponse;
  MessageMemory *Memory;
  ConcurrencyPredicate MayRunConcurrently;
  /// Set if requests may run concurrently.
  std::shared_ptr<HangUpWatcher> HangUps;
  TcpAcceptor Acceptor;
  Timer SweepTimer;
  Endpoint Local;
  bool IsStopping = false;
  bool IsClosingAfterResponse = false;
  std::size_t ActiveRequests = 0;
  std::unordered_set<std::shared_ptr<Session>> Sessions;
};

} // namespace comfreyrill
