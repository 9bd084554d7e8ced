#pragma once

#include <LibGateway/Admission.h>
#include <LibGateway/ReturnSchedule.h>

#include <optional>

namespace comfreyrill {

/// State of a request that is refused before any attempt may have run it.
struct RefusalInput {
  /// What has ended the request.
  RefusalCause Cause = RefusalCause::NoTarget;
  /// The service has targets that a new request could use.
  bool HasCandidates = false;
  /// Time until the first of the pauses of other targets ends, if there are
  /// any.
  std::optional<Duration> UntilPauseEnd;
  /// Time until a cold target that is left out has room, if there is one.
  std::optional<Duration> UntilColdRoom;
  /// Time until a target that limits its requests and is left out has room, if
  /// there is one.
  std::optional<Duration> UntilLimitRoom;
  Duration ExpectedTime{0};
  /// Time until the deadline of the caller or the route, whichever is earlier.
  Duration TimeLeft{0};
  /// False when the caller has disconnected.
  bool ComesBack = true;
};

struct RefusalDecision {
  /// The cause that the caller is told.
  RefusalCause Cause = RefusalCause::NoTarget;
  Duration RetryAfter{0};
};

/// Returns what the caller of a refused request is told. Counts the refusal in
/// the schedule if the caller comes back for a free slot.
RefusalDecision decideRefusal(const RefusalInput &Input,
                              ReturnSchedule &Schedule, TimePoint Now,
                              Random &Generator);

} // namespace comfreyrill
