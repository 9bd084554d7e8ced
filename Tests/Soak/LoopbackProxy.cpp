#include "LoopbackProxy.h"

#include <LibCore/Listen.h>

#include <array>

namespace comfreyrill::soak {

namespace {

constexpr std::size_t BufferBytes = 16384;
// How often a silent direction looks whether the fault is over.
constexpr Duration SilencePoll = std::chrono::milliseconds(20);

void resetSocket(TcpSocket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

Awaitable<void> sleep(Executor Context, Duration Length) {
  Timer Pause(Context);
  Pause.expires_after(Length);
  co_await Pause.async_wait(UseTuple);
}

} // namespace

std::string_view linkFaultName(LinkFault Fault) {
  switch (Fault) {
  case LinkFault::None:
    return "none";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::Reset:
    return "reset";
  case LinkFault::SilentForward:
    return "silent-forward";
  case LinkFault::SilentBackward:
    return "silent-backward";
  case LinkFault::Silent:
    return "silent";
  }
  return "unknown";
}

struct LoopbackProxy::Pair {
  explicit Pair(TcpSocket Accepted)
      : Near(std::move(Accepted)), Far(Near.get_executor()) {}

  void reset() {
    resetSocket(Near);
    resetSocket(Far);
  }

  TcpSocket Near;
  TcpSocket Far;
};

LoopbackProxy::LoopbackProxy(const Executor &Context, Endpoint Remote)
    : Context(Context), Remote(std::move(Remote)), Acceptor(Context) {}

Result<void> LoopbackProxy::listen(const std::string &Address) {
  TRY(Local, listenOn(Acceptor, Endpoint{Address, 0}));
  asio::co_spawn(
      Context, [Self = shared_from_this()] { return Self->accept(); },
      asio::detached);
  return outcome::success();
}

void LoopbackProxy::inject(LinkFault NewFault, Duration NewDelay) {
  Fault = NewFault;
  Delay = NewDelay;
  if (Fault == LinkFault::Reset)
    resetAll();
}

void LoopbackProxy::heal() {
  const bool WasSilent = isSilent(true) || isSilent(false);
  Fault = LinkFault::None;
  if (WasSilent)
    resetAll();
}

Awaitable<void> LoopbackProxy::accept() {
  while (true) {
    auto [Code, Accepted] = co_await Acceptor.async_accept(UseTuple);
    if (Code)
      co_return;
    if (Fault == LinkFault::Reset) {
      resetSocket(Accepted);
      continue;
    }
    asio::co_spawn(Context, relay(std::make_shared<Pair>(std::move(Accepted))),
                   [Self = shared_from_this()](const std::exception_ptr &) {});
  }
}

Awaitable<void> LoopbackProxy::relay(std::shared_ptr<Pair> Both) {
  const auto Self = shared_from_this();
  const auto [Code] = co_await Both->Far.async_connect(
      {asio::ip::make_address(Remote.Address), Remote.Port}, UseTuple);
  if (Code) {
    Both->reset();
    co_return;
  }
  Both->Near.set_option(asio::ip::tcp::no_delay(true));
  Both->Far.set_option(asio::ip::tcp::no_delay(true));
  Open.insert(Both);
  asio::co_spawn(Context, copy(Both, false), asio::detached);
  co_await copy(Both, true);
  Open.erase(Both);
}

Awaitable<void> LoopbackProxy::copy(std::shared_ptr<Pair> Both,
                                    bool IsForward) {
  const auto Self = shared_from_this();
  TcpSocket &From = IsForward ? Both->Near : Both->Far;
  TcpSocket &To = IsForward ? Both->Far : Both->Near;
  std::array<char, BufferBytes> Buffer{};
  while (true) {
    const auto [ReadError, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
    while (isSilent(IsForward) && From.is_open())
      co_await sleep(Context, SilencePoll);
    if (Fault == LinkFault::Delay)
      co_await sleep(Context, Delay);
    if (ReadError)
      break;
    const auto [WriteError, Written] = co_await asio::async_write(
        To, asio::buffer(Buffer.data(), Count), UseTuple);
    if (WriteError)
      break;
  }
  boost::system::error_code Ignored;
  To.shutdown(TcpSocket::shutdown_send, Ignored);
}

bool LoopbackProxy::isSilent(bool IsForward) const {
  return Fault == LinkFault::Silent ||
         Fault ==
             (IsForward ? LinkFault::SilentForward : LinkFault::SilentBackward);
}

void LoopbackProxy::resetAll() {
  for (const auto &Both : Open)
    Both->reset();
}

} // namespace comfreyrill::soak
