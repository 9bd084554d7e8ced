#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>

#include <cstdint>
#include <string_view>

namespace comfreyrill {

enum class AdmissionDecision {
  /// Send the request to the selected target.
  Dispatch,
  /// Repeat target selection after a short pause, in which a slot may become
  /// free.
  RetrySelection,
  /// Reject the request at once and tell the caller that it was not run.
  Refuse,
};

/// State of a request after one round of target selection.
struct AdmissionInput {
  /// Expected processing time of the request at the selected target.
  Duration ExpectedTime{0};
  /// The selected target has a free slot.
  bool HasFreeSlot = false;
  /// Time since the request was read.
  Duration Waited{0};
  /// Response time that the route aims for; a later answer is worth less to the
  /// caller.
  Duration LatencyObjective{0};
  /// Time until the deadline of the caller or the route, whichever is earlier.
  Duration TimeLeft{0};
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
};

/// Maximum time that a request spends on target selection.
Duration maximumSearchTime(Duration LatencyObjective, std::uint32_t Priority);

/// Admission control for a request when the targets are nearly or fully busy.
AdmissionDecision decideAdmission(const AdmissionInput &Input);

/// Reason for the rejection of a request.
enum class RefusalCause {
  /// No target of the service is reachable.
  NoTarget,
  /// All useful slots of the targets are busy.
  Overloaded,
  /// All targets that the request could use are paused.
  Paused,
  /// All targets that the request could use are cold and have got as many
  /// requests as they bear.
  Cold,
  /// All targets that the request could use limit their requests and have got
  /// as many as they take.
  RateLimited,
  /// This host reaches no target, and no other host has taken the request.
  CutOff,
  /// Copies of the request have crashed targets.
  Quarantined,
  /// The host shuts down before the request would have ended.
  Draining,
  /// A target proved that it did not run the request, and the retry budget of
  /// the fleet allows no further attempt.
  RetryBudget,
};

std::string_view refusalCauseName(RefusalCause Cause);

/// Randomized delay after which a rejected caller should retry, derived from
/// the typical processing time of the service.
Duration retryAfter(RefusalCause Cause, Duration ProcessingTime,
                    Random &Generator);

/// Retry-After of a host that has no configuration for the request. A host gets
/// a configuration within a second of reaching the store.
inline constexpr Duration RetryWithoutConfiguration =
    std::chrono::milliseconds(300);

/// Time that a request has when its caller names no deadline.
inline constexpr Duration DefaultTimeLeft = std::chrono::seconds(10);

/// Pause between two rounds of target selection for one request.
inline constexpr Duration SelectionRetryInterval =
    std::chrono::milliseconds(12);

} // namespace comfreyrill
