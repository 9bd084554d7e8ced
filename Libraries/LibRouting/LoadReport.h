#pragma once

#include <LibCore/Clock.h>

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
  /// When the request that the report answers was sent. By default the report
  /// counts as current when it is recorded.
  TimePoint RequestedAt = TimePoint::max();
};

} // namespace comfreyrill
