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

// The multiplication maps 32 random bits to the range without a division. The
// bias is below 2^-20 for ranges of a few thousand entries.
std::size_t randomIndex(Random &Generator, std::size_t Count) {
  return static_cast<std::size_t>(((Generator() >> 32) * Count) >> 32);
}

// Keys signed with a predictable secret could be forged, so the process aborts
// when the random generator fails.
std::string randomSecret(std::size_t Bytes) {
  std::string Secret(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Secret.data()),
                 static_cast<int>(Bytes)) != 1)
    std::abort();
  return Secret;
}

} // namespace comfreyrill
