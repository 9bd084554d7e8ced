#pragma once

#include <LibCore/Async.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Random.h>

#include <functional>
#include <memory>
#include <set>

namespace comfreyrill::soak {

/// Fault that a proxy injects into its connections.
enum class LinkFault {
  None,
  /// Each chunk of data is forwarded after the delay.
  Delay,
  /// Open connections are reset, and new ones are reset on accept.
  Reset,
  /// No data from the accepted connection is forwarded.
  SilentForward,
  /// No data is forwarded to the accepted connection.
  SilentBackward,
  /// No data is forwarded in either direction; connections stay open.
  Silent,
};

std::string_view linkFaultName(LinkFault Fault);

/// A TCP proxy on loopback that injects faults between two processes.
class LoopbackProxy : public std::enable_shared_from_this<LoopbackProxy> {
public:
  LoopbackProxy(const Executor &Context, Endpoint Remote);

  /// Listens on a free port of the address.
  Result<void> listen(const std::string &Address);
  Endpoint endpoint() const { return Local; }
  /// Receives all data that is forwarded from accepted connections, with the
  /// number of the connection, and may change it.
  using Observer = std::function<void(std::size_t, std::string &)>;
  void observe(Observer NewObserver) { Observe = std::move(NewObserver); }
  /// Connects to another process from now on.
  void redirect(Endpoint NewRemote) { Remote = std::move(NewRemote); }

  void inject(LinkFault NewFault, Duration NewDelay);
  /// Ends the fault. Connections that a silent fault had blocked are reset, as
  /// by a router that has lost their state.
  void clearFault();

private:
  struct ConnectionPair;

  Awaitable<void> accept();
  Awaitable<void> relay(std::shared_ptr<ConnectionPair> Connections);
  Awaitable<void> copy(std::shared_ptr<ConnectionPair> Connections,
                       bool IsForward);
  bool isBlocked(bool IsForward) const;
  void resetConnections();

  Executor Context;
  Endpoint Remote;
  Endpoint Local;
  TcpAcceptor Acceptor;
  Observer Observe;
  std::size_t ConnectionCount = 0;
  LinkFault Fault = LinkFault::None;
  Duration Delay{0};
  std::set<std::shared_ptr<ConnectionPair>> OpenConnections;
};

} // namespace comfreyrill::soak
