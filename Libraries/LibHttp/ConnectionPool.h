#pragma once

#include <LibHttp/HttpConnection.h>

#include <unordered_map>
#include <vector>

namespace comfreyrill {

/// Idle connections to other processes, by endpoint.
class ConnectionPool {
public:
  /// Connections that stay idle longer than the time are closed. It should be
  /// shorter than the peers' own idle time, so that they do not close first.
  ConnectionPool(const Executor &Context, const Clock &TimeSource,
                 Duration IdleTime);

  /// An idle connection, or a new one made before the deadline.
  Awaitable<Result<std::shared_ptr<HttpConnection>>>
  acquire(Endpoint Remote, TimePoint Deadline);

  /// A new connection made before the deadline.
  Awaitable<Result<std::shared_ptr<HttpConnection>>>
  connect(Endpoint Remote, TimePoint Deadline);

  /// Gives a connection back; one that is not reusable is closed.
  void release(const Endpoint &Remote,
               std::shared_ptr<HttpConnection> Connection);

  /// Closes idle connections whose time is up.
  void closeExpired();

private:
  struct IdleEntry {
    std::shared_ptr<HttpConnection> Connection;
    TimePoint Since;
  };

  Executor Context;
  const Clock &TimeSource;
  Duration IdleTime;
  std::unordered_map<Endpoint, std::vector<IdleEntry>> Idle;
};

} // namespace comfreyrill
