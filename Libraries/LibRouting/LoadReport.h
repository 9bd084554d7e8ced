#pragma once

#include <cstdint>

namespace comfreyrill {

/// Load that a target states in an answer or a probe. The answered request
/// itself is not counted.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
  bool Draining = false;
  /// Time that work takes there now, relative to the usual time.
  double Slowdown = 1;
};

} // namespace comfreyrill
