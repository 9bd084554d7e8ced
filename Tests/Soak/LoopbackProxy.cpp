#include "LoopbackProxy.h"

#include <LibCore/Listen.h>

#include <array>

namespace comfreyrill::soak {

namespace {

constexpr std::size_t BufferBytes = 16384;
// Interval at which a blocked direction checks for the end of the fault.
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

struct LoopbackProxy::ConnectionPair {
  explicit ConnectionPair(TcpSocket Accepted)
      : Downstream(std::move(Accepted)), Upstream(Downstream.get_executor()) {}

  void reset() {
    resetSocket(Downstream);
    resetSocket(Upstream);
  }

  TcpSocket Downstream;
  TcpSocket Upstream;
  std::size_t Number = 0;
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
    resetConnections();
}

void LoopbackProxy::clearFault() {
  const bool WasSilent = isBlocked(true) || isBlocked(false);
  Fault = LinkFault::None;
  if (WasSilent)
    resetConnections();
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
    asio::co_spawn(Context,
                   relay(std::make_shared<ConnectionPair>(std::move(Accepted))),
                   [Self = shared_from_this()](const std::exception_ptr &) {});
  }
}

Awaitable<void>
LoopbackProxy::relay(std::shared_ptr<ConnectionPair> Connections) {
  const auto Self = shared_from_this();
  const auto [Code] = co_await Connections->Upstream.async_connect(
      {asio::ip::make_address(Remote.Address), Remote.Port}, UseTuple);
  if (Code) {
    Connections->reset();
    co_return;
  }
  Connections->Downstream.set_option(asio::ip::tcp::no_delay(true));
  Connections->Upstream.set_option(asio::ip::tcp::no_delay(true));
  Connections->Number = ++ConnectionCount;
  OpenConnections.insert(Connections);
  asio::co_spawn(Context, copy(Connections, false), asio::detached);
  co_await copy(Connections, true);
  OpenConnections.erase(Connections);
}

Awaitable<void> LoopbackProxy::copy(std::shared_ptr<ConnectionPair> Connections,
                                    bool IsForward) {
  const auto Self = shared_from_this();
  TcpSocket &From = IsForward ? Connections->Downstream : Connections->Upstream;
  TcpSocket &To = IsForward ? Connections->Upstream : Connections->Downstream;
  std::array<char, BufferBytes> Buffer{};
  while (true) {
    const auto [ReadError, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
    while (isBlocked(IsForward) && From.is_open())
      co_await sleep(Context, SilencePoll);
    if (Fault == LinkFault::Delay)
      co_await sleep(Context, Delay);
    if (ReadError)
      break;
    std::string Data(Buffer.data(), Count);
    if (IsForward && Observe)
      Observe(Connections->Number, Data);
    const auto [WriteError, Written] =
        co_await asio::async_write(To, asio::buffer(Data), UseTuple);
    if (WriteError)
      break;
  }
  boost::system::error_code Ignored;
  To.shutdown(TcpSocket::shutdown_send, Ignored);
}

bool LoopbackProxy::isBlocked(bool IsForward) const {
  return Fault == LinkFault::Silent ||
         Fault ==
             (IsForward ? LinkFault::SilentForward : LinkFault::SilentBackward);
}

void LoopbackProxy::resetConnections() {
  for (const auto &Connections : OpenConnections)
    Connections->reset();
}

} // namespace comfreyrill::soak
