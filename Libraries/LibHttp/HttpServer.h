#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>

#include <functional>
#include <memory>
#include <unordered_set>

namespace comfreyrill {

/// Tells a request handler that its caller has closed the connection.
class Disconnect {
public:
  bool hasOccurred() const { return Occurred; }
  /// Calls the function when the caller leaves; replaces an earlier function.
  void onOccurrence(std::function<void()> NewFunction);
  void notify();

private:
  bool Occurred = false;
  std::function<void()> Function;
};

/// HTTP/1.1 server on one listening socket. Requests of one connection are
/// handled one after another.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  using Handler = std::function<Awaitable<HttpResponse>(
      HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft)>;
  /// Makes the answer to a message that was refused before its handler.
  using RefusalWriter =
      std::function<HttpResponse(http::status Status, const Error &Cause)>;

  HttpServer(const Executor &Context, const Clock &TimeSource,
             HttpLimits Limits, Handler HandleRequest,
             RefusalWriter WriteRefusal);

  /// Binds and starts to accept. Port 0 takes a free port.
  Result<void> listen(const Endpoint &Local);
  Endpoint localEndpoint() const { return Local; }

  /// Applies to messages and idle times from now on.
  void setLimits(const HttpLimits &NewLimits) { Limits = NewLimits; }

  /// Closes each connection with its next answer, while new ones are accepted.
  /// Callers then move to other hosts between two requests, where no request
  /// can meet a closing connection.
  void endKeepAlive() { IsClosingAfterAnswer = true; }
  /// Ends accepting; open connections go on, and each is told to close with
  /// its next answer.
  void stopAccepting();
  /// Closes connections that have no request in progress.
  void closeIdleSessions();
  /// Closes everything.
  void close();

  std::size_t sessions() const { return Sessions.size(); }
  /// Requests that have been read and are not answered yet.
  std::size_t activeRequests() const { return ActiveRequests; }

private:
  struct Session;

  Awaitable<void> accept();
  Awaitable<void> serve(std::shared_ptr<Session> Current);
  Awaitable<bool> serveRequest(Session &Current);
  Awaitable<void> sweep();
  static void watchDisconnect(const std::shared_ptr<Session> &Current,
                              const std::shared_ptr<Disconnect> &CallerLeft);

  Executor Context;
  const Clock &TimeSource;
  HttpLimits Limits;
  Handler HandleRequest;
  RefusalWriter WriteRefusal;
  TcpAcceptor Acceptor;
  Timer SweepTimer;
  Endpoint Local;
  bool IsStopping = false;
  bool IsClosingAfterAnswer = false;
  std::size_t ActiveRequests = 0;
  std::unordered_set<std::shared_ptr<Session>> Sessions;
};

} // namespace comfreyrill
