#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace comfreyrill {

/// Graceful shutdown of this host. It starts when the host has announced that
/// it leaves.
struct Drain {
  TimePoint Started;
  /// How long callers keep an address; from the manifest in force.
  Duration AddressLifetime = std::chrono::seconds(30);
  /// Longest time after the lifetime for calls in flight, at least the longest
  /// timeout of a call.
  Duration MaximumCallTime = std::chrono::seconds(60);
};

enum class DrainPhase {
  /// Callers may still hold the address: accept calls and connections.
  Serve,
  /// Nobody is given the address any more: finish the calls, close connections
  /// that are idle, accept no new ones.
  Finish,
  Exit,
};

DrainPhase drainPhase(const Drain &Current, std::size_t CallsInFlight,
                      TimePoint Now);

} // namespace comfreyrill
