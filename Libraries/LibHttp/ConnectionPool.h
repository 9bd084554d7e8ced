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
  /// servers, so that these do not close a connection first. The memory, if
  /// there is one, bounds the responses of all connections.
  ConnectionPool(const Executor &Context, const Clock &TimeSource,
                 Duration IdleTime, MessageMemory *Memory = nullptr);

  /// Returns an idle connection, or a new one established before the deadline.
  /// With a request, it is a connection that has not carried this request.
  Awaitable<Result<std::shared_ptr<HttpConnection>>>
  acquire(Endpoint Remote, TimePoint Deadline,
          std::optional<RequestDigest> Request = std::nullopt);

  /// True if an idle connection to the endpoint may be reusable.
  bool hasIdle(const Endpoint &Remote) const { return Idle.contains(Remote); }

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

  /// Removes the connection to use from the entries and returns it, or null if
  /// there is none.
  static std::shared_ptr<HttpConnection>
  takeIdle(std::vector<IdleEntry> &Entries,
           std::optional<RequestDigest> Request);

  Executor Context;
  const Clock &TimeSource;
  Duration IdleTime;
  MessageMemory *Memory;
  std::unordered_map<Endpoint, std::vector<IdleEntry>> Idle;
};

} // namespace comfreyrill
