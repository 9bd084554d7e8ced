#pragma once

#include <LibCore/Async.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Random.h>

#include <memory>
#include <set>

namespace comfreyrill::soak {

/// What a proxy does to the bytes that it carries.
enum class LinkFault {
  None,
  /// Each piece is passed on after the delay.
  Delay,
  /// Open connections are reset, and new ones at once.
  Reset,
  /// Nothing is passed on from the listening side.
  SilentForward,
  /// Nothing is passed on towards the listening side.
  SilentBackward,
  /// Nothing is passed on at all; connections stay open.
  Silent,
};

std::string_view linkFaultName(LinkFault Fault);

/// A TCP relay on loopback that injects faults between two processes.
class LoopbackProxy : public std::enable_shared_from_this<LoopbackProxy> {
public:
  LoopbackProxy(const Executor &Context, Endpoint Remote);

  /// Listens on a free port of the address.
  Result<void> listen(const std::string &Address);
  Endpoint endpoint() const { return Local; }

  void inject(LinkFault NewFault, Duration NewDelay);
  /// Ends the fault. Connections that were silent are reset, as by a router
  /// that has lost their state.
  void heal();

private:
  struct Pair;

  Awaitable<void> accept();
  Awaitable<void> relay(std::shared_ptr<Pair> Both);
  Awaitable<void> copy(std::shared_ptr<Pair> Both, bool IsForward);
  bool isSilent(bool IsForward) const;
  void resetAll();

  Executor Context;
  Endpoint Remote;
  Endpoint Local;
  TcpAcceptor Acceptor;
  LinkFault Fault = LinkFault::None;
  Duration Delay{0};
  std::set<std::shared_ptr<Pair>> Open;
};

} // namespace comfreyrill::soak
