#include <LibCore/Async.h>
#include <LibCore/Endpoint.h>

#include <array>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <memory>

namespace {

using namespace comfreyrill;

constexpr const char *Usage =
    R"(Copies bytes between callers and one endpoint, as a baseline for the CPU
time per proxied call.

Usage:
  byte-relay --to ADDRESS [--listen ADDRESS]

Options:
  --to ADDRESS      Address to which each accepted connection is forwarded.
  --listen ADDRESS  Listen address of the relay [default: 127.0.0.1:0].
)";

struct ConnectionPair {
  explicit ConnectionPair(TcpSocket Accepted)
      : Caller(std::move(Accepted)), Target(Caller.get_executor()) {}
  TcpSocket Caller;
  TcpSocket Target;
};

// The shared pointer keeps both sockets open until both directions have ended.
Awaitable<void> copy([[maybe_unused]] std::shared_ptr<ConnectionPair> KeepAlive,
                     TcpSocket &From, TcpSocket &To) {
  std::array<char, 16384> Buffer{};
  while (true) {
    const auto [ReadError, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
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

Awaitable<void> relay(TcpSocket Accepted, asio::ip::tcp::endpoint Remote) {
  const auto Connections =
      std::make_shared<ConnectionPair>(std::move(Accepted));
  const auto [Code] =
      co_await Connections->Target.async_connect(Remote, UseTuple);
  if (Code)
    co_return;
  Connections->Caller.set_option(asio::ip::tcp::no_delay(true));
  Connections->Target.set_option(asio::ip::tcp::no_delay(true));
  asio::co_spawn(Connections->Caller.get_executor(),
                 copy(Connections, Connections->Target, Connections->Caller),
                 asio::detached);
  co_await copy(Connections, Connections->Caller, Connections->Target);
}

Awaitable<void> accept(TcpAcceptor &Acceptor, asio::ip::tcp::endpoint Remote) {
  while (true) {
    auto [Code, Accepted] = co_await Acceptor.async_accept(UseTuple);
    if (Code)
      co_return;
    asio::co_spawn(Acceptor.get_executor(), relay(std::move(Accepted), Remote),
                   asio::detached);
  }
}

asio::ip::tcp::endpoint toAsio(const Endpoint &Address) {
  return {asio::ip::make_address(Address.Address), Address.Port};
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Options =
      docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  const auto Listen = parseEndpoint(Options.at("--listen").asString());
  const auto Remote = parseEndpoint(Options.at("--to").asString());
  if (!Listen || !Remote) {
    std::cerr << (Listen ? Remote : Listen).error().Message << "\n";
    return 2;
  }
  asio::io_context Context(1);
  TcpAcceptor Acceptor(Context, toAsio(Listen.value()));
  asio::co_spawn(Context, accept(Acceptor, toAsio(Remote.value())),
                 asio::detached);
  std::cout << "{\"listen\":\"" << Listen.value().Address << ":"
            << Acceptor.local_endpoint().port() << "\"}" << std::endl;
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Context.stop(); });
  Context.run();
  return 0;
}
