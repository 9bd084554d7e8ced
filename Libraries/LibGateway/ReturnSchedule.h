#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

namespace comfreyrill {

/// When the callers that this host has refused for lack of a free slot come
/// back, for one service.
struct ReturnSchedule {
  /// Requests of the last seconds; older ones count less.
  double Completed = 0;
  double Refused = 0;
  /// Time over which they were counted, in seconds, decayed like the counts.
  double CountedSeconds = 0;
  TimePoint CountedAt;
  /// Time at which the next refused caller may come back. Those refused before
  /// come back until then.
  TimePoint NextReturnAt;
};

/// What limits the Retry-After of one refusal.
struct ReturnLimits {
  /// Expected processing time of the request.
  Duration ExpectedTime{0};
  /// Time until the deadline of the caller or the route, whichever is earlier.
  Duration TimeLeft{0};
};

/// Longest Retry-After that a caller honours, who gives up or comes back too
/// early after a longer one.
Duration honouredRetryAfter(Duration TimeLeft);

/// Counts an answered request.
void recordCompletion(ReturnSchedule &Schedule, TimePoint Now);

/// Counts a refusal and returns the Retry-After: callers come back in the order
/// in which they were refused, at the rate at which requests are completed.
Duration scheduleReturn(ReturnSchedule &Schedule, const ReturnLimits &Limits,
                        TimePoint Now, Random &Generator);

} // namespace comfreyrill
