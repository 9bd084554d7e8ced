#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <cstdint>

namespace comfreyrill {

/// Bounds of the exponential backoff between retries.
struct BackoffPolicy {
  Duration First = std::chrono::milliseconds(50);
  Duration Maximum = std::chrono::seconds(10);
};

/// Returns the delay before the next attempt after a number of consecutive
/// failures, at least 1. The delay doubles with each failure up to the maximum
/// and is reduced by a random share of up to one half, so that hosts that
/// failed at the same time do not retry at the same time.
Duration retryDelay(std::uint32_t Failures, const BackoffPolicy &Policy,
                    Random &Generator);

} // namespace comfreyrill
