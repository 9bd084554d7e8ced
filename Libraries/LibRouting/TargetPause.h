#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace comfreyrill {

struct PausePolicy {
  /// Longest pause that a target can ask for; a longer one is cut to this. With
  /// 0, pauses are ignored.
  Duration Maximum = std::chrono::minutes(5);
};

/// Pause that a target has asked this host for, and the gradual resumption
/// after it. A default-constructed value has neither. The state belongs to one
/// process of the target: a new process starts with a default-constructed one.
struct TargetPause {
  TimePoint BeganAt = TimePoint::min();
  TimePoint EndsAt = TimePoint::min();
  /// Requests of this host that may be in flight at the target after the pause;
  /// 0 means no limit.
  std::uint32_t ResumeLimit = 0;
};

/// Starts a pause, or extends the current one. A request for a shorter pause
/// does not shorten the current one, because both hold.
void beginPause(TargetPause &Pause, Duration Requested,
                const PausePolicy &Policy, TimePoint Now);

/// True while the target must receive nothing from this host.
bool isPaused(const TargetPause &Pause, TimePoint Now);

/// True when the target may receive one more request beside those that this
/// host has in flight there.
bool admitsRequest(const TargetPause &Pause, std::uint32_t OwnInFlight,
                   TimePoint Now);

/// Raises the limit after a pause when the target has answered a request.
/// Returns true when the resumption is complete.
bool recordAnswerAfterPause(TargetPause &Pause, TimePoint Now);

} // namespace comfreyrill
