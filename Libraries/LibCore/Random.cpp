#include <LibCore/Random.h>

namespace comfreyrill {

Random systemRandom() {
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device(),
                     Device(), Device(), Device(), Device()};
  return Random(Seed);
}

// The multiplication maps 32 random bits to the range without a division; the
// bias is below 2^-20 for the few thousand entries that are indexed here.
std::size_t randomIndex(Random &Generator, std::size_t Count) {
  return static_cast<std::size_t>(((Generator() >> 32) * Count) >> 32);
}

} // namespace comfreyrill
