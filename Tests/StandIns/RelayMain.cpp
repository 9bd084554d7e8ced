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
    R"(Copies bytes between callers and one endpoint: the baseline of the
processor time per proxied call.

Usage:
  byte-relay --to ADDRESS [--listen ADDRESS]

Options:
  --to ADDRESS      Where each accepted connection is continued.
  --listen ADDRESS  Where the relay listens [default: 127.0.0.1:0].
)";

struct Pair {
  explicit Pair(TcpSocket Accepted)
      : Caller(std::move(Accepted)), Target(Caller.get_executor()) {}
  TcpSocket Caller;
  TcpSocket Target;
};

// The owner keeps both sockets open until the other direction ends too.
Awaitable<void> copy([[maybe_unused]] std::shared_ptr<Pair> Owner,
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
  const auto Both = std::make_shared<Pair>(std::move(Accepted));
  const auto [Code] = co_await Both->Target.async_connect(Remote, UseTuple);
  if (Code)
    co_return;
  Both->Caller.set_option(asio::ip::tcp::no_delay(true));
  Both->Target.set_option(asio::ip::tcp::no_delay(true));
  asio::co_spawn(Both->Caller.get_executor(),
                 copy(Both, Both->Target, Both->Caller), asio::detached);
  co_await copy(Both, Both->Caller, Both->Target);
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
