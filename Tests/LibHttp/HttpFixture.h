#pragma once

#include <LibHttp/ConnectionPool.h>
#include <LibHttp/HttpServer.h>

#include <gtest/gtest.h>

namespace comfreyrill {

/// An event loop with helpers for raw TCP peers.
class HttpFixture {
public:
  /// Runs a coroutine to its end.
  template <typename T> T run(Awaitable<T> Work) {
    std::optional<T> Result;
    asio::co_spawn(Loop, std::move(Work),
                   [&](const std::exception_ptr &, T Value) {
                     Result = std::move(Value);
                   });
    Loop.restart();
    while (!Result && Loop.run_one() > 0) {
    }
    return std::move(*Result);
  }

  /// A listener that sends fixed bytes to its first connection after it has
  /// read something, and then closes it.
  Endpoint rawServer(std::string Bytes) {
    return startServer(std::move(Bytes), false);
  }

  /// The same, but it resets the connection in place of closing it.
  Endpoint resettingServer(std::string Bytes) {
    return startServer(std::move(Bytes), true);
  }

  TimePoint soon() const { return TimeSource.now() + std::chrono::seconds(5); }

  asio::io_context Loop;
  SystemClock TimeSource;

private:
  Endpoint startServer(std::string Bytes, bool IsResetting) {
    auto Acceptor = std::make_shared<TcpAcceptor>(
        Loop.get_executor(),
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto Port = Acceptor->local_endpoint().port();
    asio::co_spawn(Loop,
                   serveRaw(std::move(Acceptor), std::move(Bytes), IsResetting),
                   asio::detached);
    return {"127.0.0.1", Port};
  }

  static Awaitable<void> serveRaw(std::shared_ptr<TcpAcceptor> Acceptor,
                                  std::string Bytes, bool IsResetting) {
    auto [AcceptError, Socket] = co_await Acceptor->async_accept(UseTuple);
    std::array<char, 4096> Received{};
    co_await Socket.async_read_some(asio::buffer(Received), UseTuple);
    co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
    if (IsResetting) {
      // The bytes are read before the reset throws them away.
      Timer Pause(Socket.get_executor());
      Pause.expires_after(std::chrono::milliseconds(20));
      co_await Pause.async_wait(UseTuple);
      Socket.set_option(asio::socket_base::linger(true, 0));
      // The destructor would turn the option off again.
      Socket.close();
    }
  }
};

} // namespace comfreyrill
