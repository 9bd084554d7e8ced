#include <LibPlatform/Backoff.h>

#include <algorithm>

namespace comfreyrill {

Duration retryDelay(std::uint32_t Failures, const BackoffPolicy &Policy,
                    Random &Generator) {
  Duration Full = Policy.First;
  // Doubling one step at a time stops at the maximum before it can overflow.
  for (std::uint32_t Step = 1; Step < Failures && Full < Policy.Maximum; ++Step)
    Full *= 2;
  Full = std::min(Full, Policy.Maximum);
  std::uniform_real_distribution<double> Reduction(0, 0.5);
  return Full -
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::nano>(
                 static_cast<double>(Full.count()) * Reduction(Generator)));
}

} // namespace comfreyrill
