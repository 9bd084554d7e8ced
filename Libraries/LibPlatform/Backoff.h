#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <cstdint>

namespace comfreyrill {

/// Pauses between attempts that fail.
struct BackoffPolicy {
  Duration First = std::chrono::milliseconds(50);
  Duration Maximum = std::chrono::seconds(10);
};

/// Pause after a number of failures in a row, at least 1: it doubles with each
/// one up to the maximum, and a random part of up to a half is taken off, so
/// that hosts that failed together do not return together.
Duration retryDelay(std::uint32_t Failures, const BackoffPolicy &Policy,
                    Random &Generator);

} // namespace comfreyrill
