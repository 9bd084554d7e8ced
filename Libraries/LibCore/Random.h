#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
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

/// Draws an element in proportion to its weight. Elements without a positive
/// weight are not drawn; returns the end if there is no other one.
template <typename Elements, typename Weight>
auto randomByWeight(Random &Generator, const Elements &Listed,
                    const Weight &WeightOf) {
  double Total = 0;
  for (const auto &Element : Listed)
    Total += std::max(WeightOf(Element), 0.0);
  auto Drawn = std::end(Listed);
  if (Total <= 0)
    return Drawn;
  double Left = std::uniform_real_distribution<double>(0, Total)(Generator);
  // Rounding may leave a rest after the last element.
  for (auto Position = std::begin(Listed);
       Position != std::end(Listed) && Left >= 0; ++Position)
    if (WeightOf(*Position) > 0) {
      Drawn = Position;
      Left -= WeightOf(*Position);
    }
  return Drawn;
}

/// Returns cryptographically secure random bytes.
std::string randomSecret(std::size_t Bytes);

} // namespace comfreyrill
