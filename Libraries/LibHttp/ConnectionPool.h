#pragma once

#include <LibHttp/HttpConnection.h>

#include <unordered_map>
#include <vector>

namespace comfreyrill {

/// Pool of idle client connections, by remote endpoint.
class ConnectionPool {
public:
  /// closeExpired() closes connections that have been idle for longer than
  /// IdleTime. IdleTime should be shorter than the idle timeout of the remote
  /// servers, so that these do not close a connection first.
  ConnectionPool(const Executor &Context, const Clock &TimeSource,
                 Duration IdleTime);

  /// Returns an idle connection, or a new one established before the deadline.
  Awaitable<Result<std::shared_ptr<HttpConnection>>>
  acquire(Endpoint Remote, TimePoint Deadline);

  /// Returns a new connection established before the deadline.
  Awaitable<Result<std::shared_ptr<HttpConnection>>>
  connect(Endpoint Remote, TimePoint Deadline);

  /// Returns a connection to the pool; one that is not reusable is dropped.
  void release(const Endpoint &Remote,
               std::shared_ptr<HttpConnection> Connection);

  /// Closes connections that have been idle for longer than IdleTime.
  void closeExpired();

private:
  struct IdleEntry {
    std::shared_ptr<HttpConnection> Connection;
    TimePoint IdleSince;
  };

  Executor Context;
  const Clock &TimeSource;
  Duration IdleTime;
  std::unordered_map<Endpoint, std::vector<IdleEntry>> Idle;
};

} // namespace comfreyrill
