#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <optional>

namespace comfreyrill {

/// State of a request for which all targets that it could use are paused.
struct PauseWaitInput {
  /// Time until the first of the pauses ends; zero or less when a target is
  /// resuming and has as many requests as it may have.
  Duration UntilPauseEnd{0};
  /// Expected processing time of the request.
  Duration ExpectedTime{0};
  /// Time since the request was read.
  Duration Waited{0};
  /// Response time that the route aims for.
  Duration LatencyObjective{0};
  /// Time until the deadline of the caller or the route, whichever is earlier.
  Duration TimeLeft{0};
  /// The request has already waited for the end of a pause.
  bool HasWaitedForPause = false;
};

/// Returns the time for which the request is to wait before it selects again,
/// or nothing when it is to be refused at once. The time is randomized, so that
/// waiting requests do not all select at the same moment.
std::optional<Duration> pauseWait(const PauseWaitInput &Input,
                                  Random &Generator);

/// Randomized delay after which a caller that is refused for a pause should
/// retry: never before the pause ends.
Duration retryAfterPause(Duration UntilPauseEnd, Duration ProcessingTime,
                         Random &Generator);

} // namespace comfreyrill
