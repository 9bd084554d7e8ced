#pragma once

#include <cstdint>

namespace comfreyrill {

/// Load that a target reports in a response to a request or a probe. The
/// request being answered is not counted.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
  bool Draining = false;
  /// Current processing time at the target as a multiple of its usual time.
  double Slowdown = 1;
};

} // namespace comfreyrill
