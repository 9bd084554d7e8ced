#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Hashes several strings to 64 bits. Each part is length-prefixed, so that
/// ("ab", "c") and ("a", "bc") differ. The hash is stable across processes and
/// versions.
std::uint64_t stableHash(std::initializer_list<std::string_view> Parts);

/// Spreads the bits of a number over all of its bits, as the last step of
/// SplitMix64 does. Cheap enough to rank hundreds of hosts for one decision;
/// not for input that somebody may choose to collide.
constexpr std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xBF58476D1CE4E5B9U;
  Value = (Value ^ (Value >> 27U)) * 0x94D049BB133111EBU;
  return Value ^ (Value >> 31U);
}

/// Returns the first 64 bits of an HMAC-SHA-256 as 16 hexadecimal digits.
std::string messageTag(std::string_view Secret, std::string_view Message);

/// Formats a number as 16 lower-case hexadecimal digits.
std::string hexadecimal(std::uint64_t Value);

/// Parses the output of hexadecimal(). Returns nullopt for any other text, also
/// for upper-case digits or another length.
std::optional<std::uint64_t> parseHexadecimal(std::string_view Text);

} // namespace comfreyrill
