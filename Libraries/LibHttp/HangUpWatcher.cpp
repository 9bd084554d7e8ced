#include <LibHttp/HangUpWatcher.h>

#include <array>
#include <sys/epoll.h>

namespace comfreyrill {

namespace {

constexpr int EventsPerCall = 32;

} // namespace

Result<void> HangUpWatcher::start() {
  const int Descriptor = ::epoll_create1(EPOLL_CLOEXEC);
  if (Descriptor < 0)
    return Error{ErrorKind::Unavailable, "cannot create a poll set"};
  boost::system::error_code Code;
  Polled.assign(Descriptor, Code);
  if (Code) {
    ::close(Descriptor);
    return Error{ErrorKind::Unavailable,
                 "cannot wait for a poll set: " + Code.message()};
  }
  asio::co_spawn(
      Polled.get_executor(),
      [Self = shared_from_this()] { return Self->run(); }, asio::detached);
  return outcome::success();
}

void HangUpWatcher::close() {
  boost::system::error_code Ignored;
  Polled.close(Ignored);
  Watched.clear();
}

bool HangUpWatcher::watch(int Socket, std::function<void()> OnHangUp) {
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLONESHOT;
  Event.data.fd = Socket;
  if (::epoll_ctl(Polled.native_handle(), EPOLL_CTL_ADD, Socket, &Event) != 0)
    return false;
  Watched.insert_or_assign(Socket, std::move(OnHangUp));
  return true;
}

void HangUpWatcher::forget(int Socket) {
  if (Watched.erase(Socket) > 0)
    ::epoll_ctl(Polled.native_handle(), EPOLL_CTL_DEL, Socket, nullptr);
}

Awaitable<void> HangUpWatcher::run() {
  while (Polled.is_open()) {
    const auto [Code] = co_await Polled.async_wait(
        asio::posix::descriptor_base::wait_read, UseTuple);
    if (Code)
      co_return;
    dispatch();
  }
}

void HangUpWatcher::dispatch() {
  std::array<epoll_event, EventsPerCall> Events{};
  const int Count =
      ::epoll_wait(Polled.native_handle(), Events.data(), EventsPerCall, 0);
  for (int Index = 0; Index < Count; ++Index) {
    const auto Entry =
        Watched.find(Events.at(static_cast<std::size_t>(Index)).data.fd);
    if (Entry == Watched.end())
      continue;
    // The callback may forget the socket.
    const auto OnHangUp = Entry->second;
    OnHangUp();
  }
}

} // namespace comfreyrill
