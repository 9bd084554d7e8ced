#pragma once

#include <cstddef>

namespace comfreyrill {

/// Size of the largest value that the platform's object API stores.
inline constexpr std::size_t MaximumPlatformValueBytes = 1'000'000;

} // namespace comfreyrill
