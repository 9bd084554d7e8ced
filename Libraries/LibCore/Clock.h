#pragma once

#include <chrono>

namespace comfreyrill {

/// Monotonic clock that also counts the time while the machine is suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using Duration = std::chrono::nanoseconds;
using TimePoint = BootClock::time_point;

/// Source of the current time. Tests use ManualClock in its place.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// Clock that returns the current BootClock time.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
};

/// Clock for tests; its time changes only through advance().
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Current; }
  void advance(Duration Step) { Current += Step; }

private:
  TimePoint Current{std::chrono::hours(1)};
};

} // namespace comfreyrill
