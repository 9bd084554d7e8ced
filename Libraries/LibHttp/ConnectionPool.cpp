#include <LibHttp/ConnectionPool.h>

namespace comfreyrill {

ConnectionPool::ConnectionPool(const Executor &Context, const Clock &TimeSource,
                               Duration IdleTime)
    : Context(Context), TimeSource(TimeSource), IdleTime(IdleTime) {}

// The most recently used connection is reused first, so that surplus
// connections stay idle when the load falls and are then closed.
Awaitable<Result<std::shared_ptr<HttpConnection>>>
ConnectionPool::acquire(Endpoint Remote, TimePoint Deadline) {
  auto Position = Idle.find(Remote);
  while (Position != Idle.end() && !Position->second.empty()) {
    auto Connection = std::move(Position->second.back().Connection);
    Position->second.pop_back();
    if (Connection->isReusable())
      co_return Connection;
  }
  co_return co_await connect(std::move(Remote), Deadline);
}

Awaitable<Result<std::shared_ptr<HttpConnection>>>
ConnectionPool::connect(Endpoint Remote, TimePoint Deadline) {
  auto Connection = std::make_shared<HttpConnection>(Context);
  CO_TRY(co_await Connection->connect(std::move(Remote), Deadline));
  co_return Connection;
}

void ConnectionPool::release(const Endpoint &Remote,
                             std::shared_ptr<HttpConnection> Connection) {
  if (Connection->isReusable())
    Idle[Remote].push_back({std::move(Connection), TimeSource.now()});
}

void ConnectionPool::closeExpired() {
  const TimePoint OldestKept = TimeSource.now() - IdleTime;
  for (auto Position = Idle.begin(); Position != Idle.end();) {
    std::erase_if(Position->second, [&](const IdleEntry &Entry) {
      return Entry.IdleSince < OldestKept;
    });
    Position =
        Position->second.empty() ? Idle.erase(Position) : std::next(Position);
  }
}

} // namespace comfreyrill
