#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyrill {

/// A call that waits for a slot. The user of the queue assigns WaiterId.
struct WaitingCall {
  std::uint64_t WaiterId = 0;
  TimePoint Deadline;
  TimePoint QueuedAt;
};

/// FIFO queue of the calls of one service that wait on one host.
struct WaitQueue {
  std::vector<WaitingCall> Calls;
  /// Moving average of the share of calls that had to wait.
  double WaitShare = 0;
  /// No call can leave the queue before this time, because each target is
  /// paused or draining. A time that has passed has no effect on new calls.
  TimePoint PausedUntil = TimePoint::min();
};

enum class Admission {
  Admitted,
  QueueFull,
  DeadlineTooClose,
  Overloaded,
  /// The pauses of the targets end too late for the deadline.
  Paused
};

/// Counts a call that arrives, before it is dispatched or queued.
void countArrival(WaitQueue &Queue);

/// Returns true while a large share of the recent calls had to wait. A short
/// burst does not raise the share that far.
bool isOverloaded(const WaitQueue &Queue);

/// Expected waiting time of a call that joins the queue now, if each of the
/// InFlight calls of this host takes AnswerTime.
Duration expectedWait(const WaitQueue &Queue, std::uint32_t InFlight,
                      Duration AnswerTime);

/// Appends the call to the queue, or returns the reason why it is refused. A
/// refused call has not been executed.
Admission joinQueue(WaitQueue &Queue, const WaitingCall &Call,
                    std::uint32_t Length, std::uint32_t InFlight,
                    Duration AnswerTime, TimePoint Now);

/// Returns the first waiting call without removing it, or nullopt if the queue
/// is empty.
std::optional<std::uint64_t> headOfQueue(const WaitQueue &Queue);

/// Removes a call that was dispatched, refused or cancelled.
void removeFromQueue(WaitQueue &Queue, std::uint64_t WaiterId);

/// True when no call whose deadline is this can be answered after the pauses of
/// the targets.
bool isPausedTooLong(TimePoint PauseEnd, TimePoint Deadline,
                     Duration AnswerTime);

/// Removes and returns the calls that can no longer be answered before their
/// deadline and, under overload, those that have waited too long.
std::vector<std::uint64_t> removeExpired(WaitQueue &Queue, Duration AnswerTime,
                                         TimePoint Now);

} // namespace comfreyrill
