#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace comfreyrill {

/// Source of random numbers. Decisions take it as an argument; tests seed it.
using Random = std::mt19937_64;

/// A generator seeded from the operating system.
Random systemRandom();

/// A uniform index below Count; Count must not be 0.
std::size_t randomIndex(Random &Generator, std::size_t Count);

/// Bytes that nobody can guess.
std::string randomSecret(std::size_t Bytes);

} // namespace comfreyrill
