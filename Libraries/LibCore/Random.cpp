#include <LibCore/Random.h>

#include <cstdlib>
#include <openssl/rand.h>

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

// Without a secret every key could be forged, so the process ends when the
// operating system has no randomness.
std::string randomSecret(std::size_t Bytes) {
  std::string Secret(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Secret.data()),
                 static_cast<int>(Bytes)) != 1)
    std::abort();
  return Secret;
}

} // namespace comfreyrill
