#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/Http.h>

#include <optional>

namespace comfreyrill {

/// Returns the delay of the Retry-After header, or nothing when the response
/// has none that can be used. The delay is a number of seconds, also with a
/// fraction. Of several values the longest counts. A date is not used, because
/// the clocks of hosts differ and jump; neither is a negative, an empty or any
/// other value. The delay is at most about three years.
std::optional<Duration> parseRetryAfter(const HttpResponse &Response);

} // namespace comfreyrill
