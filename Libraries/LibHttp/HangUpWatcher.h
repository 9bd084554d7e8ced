#pragma once

#include <LibCore/Async.h>
#include <LibCore/Result.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace comfreyrill {

/// Notices that the peers of connections have shut down or reset them, also
/// while received bytes have not been read. The readability of a socket does
/// not tell that, because the unread bytes hide the end of the stream.
class HangUpWatcher : public std::enable_shared_from_this<HangUpWatcher> {
public:
  explicit HangUpWatcher(const Executor &Context) : Polled(Context) {}

  /// Fails with Unavailable when the process has no file descriptors left.
  Result<void> start();
  /// Stops watching all connections.
  void close();

  /// Calls OnHangUp once, after the peer of the socket has shut it down.
  /// Returns false if the system cannot watch the socket.
  bool watch(int Socket, std::function<void()> OnHangUp);
  /// Must be called before the socket is closed.
  void forget(int Socket);

private:
  Awaitable<void> run();
  void dispatch();

  /// A poll set of its own, because the event loop's does not ask for
  /// EPOLLRDHUP.
  asio::posix::basic_stream_descriptor<Executor> Polled;
  std::unordered_map<int, std::function<void()>> Watched;
};

} // namespace comfreyrill
