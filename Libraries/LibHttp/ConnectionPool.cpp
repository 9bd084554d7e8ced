#include <LibHttp/ConnectionPool.h>

namespace comfreyrill {

ConnectionPool::ConnectionPool(const Executor &Context, const Clock &TimeSource,
                               Duration IdleTime, MessageMemory *Memory)
    : Context(Context), TimeSource(TimeSource), IdleTime(IdleTime),
      Memory(Memory) {}

Awaitable<Result<std::shared_ptr<HttpConnection>>>
ConnectionPool::acquire(Endpoint Remote, TimePoint Deadline,
                        std::optional<RequestDigest> Request) {
  if (const auto Position = Idle.find(Remote); Position != Idle.end()) {
    auto Connection = takeIdle(Position->second, Request);
    if (Position->second.empty())
      Idle.erase(Position);
    if (Connection)
      co_return Connection;
  }
  co_return co_await connect(std::move(Remote), Deadline);
}

// The most recently used connection is reused first, so that surplus
// connections stay idle when the load falls and are then closed.
std::shared_ptr<HttpConnection>
ConnectionPool::takeIdle(std::vector<IdleEntry> &Entries,
                         std::optional<RequestDigest> Request) {
  for (std::size_t Index = Entries.size(); Index-- > 0;) {
    const auto Position =
        Entries.begin() +
        static_cast<std::vector<IdleEntry>::difference_type>(Index);
    const bool IsReusable = Position->Connection->isReusable();
    if (IsReusable && Request && Position->Connection->hasCarried(*Request))
      continue;
    auto Connection = std::move(Position->Connection);
    Entries.erase(Position);
    if (IsReusable)
      return Connection;
  }
  return nullptr;
}

Awaitable<Result<std::shared_ptr<HttpConnection>>>
ConnectionPool::connect(Endpoint Remote, TimePoint Deadline) {
  auto Connection = std::make_shared<HttpConnection>(Context, Memory);
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
