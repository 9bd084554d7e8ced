#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace comfreyrill {

/// Random number generator. Functions take the generator as an argument, so
/// that tests can pass one with a fixed seed.
using Random = std::mt19937_64;

/// Returns a generator seeded from the operating system.
Random systemRandom();

/// Returns a uniformly distributed index below Count; Count must not be 0.
std::size_t randomIndex(Random &Generator, std::size_t Count);

/// Returns cryptographically secure random bytes.
std::string randomSecret(std::size_t Bytes);

} // namespace comfreyrill
