#pragma once

#include <LibCore/Clock.h>

#include <cstddef>

namespace comfreyrill {

/// Graceful shutdown of this host. The drain starts when the host announces the
/// state Leaving.
struct Drain {
  TimePoint Started;
  /// How long callers keep an address, as set by the manifest in force.
  Duration AddressLifetime = std::chrono::seconds(30);
  /// Time that calls in flight may take after the address lifetime has ended.
  /// At least the longest timeout of a call.
  Duration MaximumCallTime = std::chrono::seconds(60);
};

enum class DrainPhase {
  /// Callers may still hold the address: keep accepting calls and connections.
  Serve,
  /// All copies of the address have expired: finish the calls in flight, close
  /// idle connections and accept no new ones.
  Finish,
  /// No call is in flight, or the time for the remaining calls is over.
  Exit,
};

DrainPhase drainPhase(const Drain &Current, std::size_t CallsInFlight,
                      TimePoint Now);

} // namespace comfreyrill
