#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// 64-bit digest of several parts; the parts are length-prefixed, so that
/// ("ab", "c") and ("a", "bc") differ. Stable across processes and versions.
std::uint64_t stableHash(std::initializer_list<std::string_view> Parts);

/// First 64 bits of an HMAC-SHA-256, as 16 hexadecimal digits.
std::string messageTag(std::string_view Secret, std::string_view Message);

/// A number as 16 lower-case hexadecimal digits.
std::string hexadecimal(std::uint64_t Value);

/// Reads exactly what hexadecimal writes; nothing for any other text.
std::optional<std::uint64_t> parseHexadecimal(std::string_view Text);

} // namespace comfreyrill
