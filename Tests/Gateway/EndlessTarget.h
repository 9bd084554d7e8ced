#pragma once

#include <LibCore/Endpoint.h>
#include <LibHttp/Http.h>

#include <string>

namespace comfreyrill {

/// A faulty target. It answers probes, and each request with a body that ends
/// only with the connection of the host.
class EndlessTarget {
public:
  explicit EndlessTarget(asio::io_context &Loop)
      : Acceptor(Loop, asio::ip::tcp::endpoint(
                           asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(Loop, accept(), asio::detached);
  }

  Endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  static constexpr std::size_t PieceBytes = std::size_t{16} * 1024;

  Awaitable<void> accept() {
    while (true) {
      auto [Code, Accepted] = co_await Acceptor.async_accept(UseTuple);
      if (Code)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(Accepted)),
                     asio::detached);
    }
  }

  static Awaitable<void> serve(TcpSocket Socket) {
    beast::flat_buffer Buffer;
    while (true) {
      HttpRequest Request;
      const auto [ReadError, ReadCount] =
          co_await http::async_read(Socket, Buffer, Request, UseTuple);
      if (ReadError)
        co_return;
      const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: " +
                               std::string(Request["Request-Id"].data(),
                                           Request["Request-Id"].size()) +
                               "\r\n";
      if (Request.target() == "/health") {
        const std::string Health =
            Head + "Backend-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(Socket, asio::buffer(Health), UseTuple);
        continue;
      }
      std::string Bytes = Head + "Response-Signature: 3e1b\r\n\r\n";
      while (true) {
        const auto [WriteError, WriteCount] =
            co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
        if (WriteError)
          co_return;
        Bytes.assign(PieceBytes, 'x');
      }
    }
  }

  TcpAcceptor Acceptor;
};

} // namespace comfreyrill
