#include <LibPlatform/Backoff.h>

#include <algorithm>

namespace comfreyrill {

Duration retryDelay(std::uint32_t Failures, const BackoffPolicy &Policy,
                    Random &Generator) {
  Duration FullDelay = Policy.First;
  // The loop stops at the maximum, before doubling can overflow.
  for (std::uint32_t Step = 1; Step < Failures && FullDelay < Policy.Maximum;
       ++Step)
    FullDelay *= 2;
  FullDelay = std::min(FullDelay, Policy.Maximum);
  std::uniform_real_distribution<double> Reduction(0, 0.5);
  return FullDelay - std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double, std::nano>(
                             static_cast<double>(FullDelay.count()) *
                             Reduction(Generator)));
}

} // namespace comfreyrill
