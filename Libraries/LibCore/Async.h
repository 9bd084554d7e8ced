#pragma once

#include <LibCore/Clock.h>

#include <boost/asio.hpp>

namespace comfreyrill {

namespace asio = boost::asio;

// The concrete executor type avoids the type-erased any_io_executor, whose
// virtual calls measurably add to the CPU time per proxied request.
using Executor = asio::io_context::executor_type;
template <typename T> using Awaitable = asio::awaitable<T, Executor>;
using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer =
    asio::basic_waitable_timer<BootClock, asio::wait_traits<BootClock>,
                               Executor>;

/// Completion token of co_await that returns the error code in a tuple.
inline constexpr auto UseTuple =
    asio::as_tuple(asio::use_awaitable_t<Executor>{});
/// Completion token of co_await for operations without an error code.
inline constexpr asio::use_awaitable_t<Executor> UseAwaitable{};

} // namespace comfreyrill
