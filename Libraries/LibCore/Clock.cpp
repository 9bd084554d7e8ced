#include <LibCore/Clock.h>

#include <ctime>

namespace comfreyrill {

// CLOCK_MONOTONIC stops while a machine is suspended, so after a resume a
// deadline would seem not to have passed although the caller has given up.
TimePoint BootClock::now() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

TimePoint SystemClock::now() const { return BootClock::now(); }

} // namespace comfreyrill
