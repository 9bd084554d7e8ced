#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyrill {

/// A call that waits for a slot. The ticket is the caller's own number.
struct WaitingCall {
  std::uint64_t WaiterId = 0;
  TimePoint Deadline;
  TimePoint Since;
};

/// Calls of one service that wait on one host, in order of arrival.
struct WaitQueue {
  std::vector<WaitingCall> Calls;
  /// Share of recent calls that had to wait.
  double WaitShare = 0;
};

enum class Admission { Admitted, QueueFull, DeadlineTooClose, Overloaded };

/// Counts a call that arrives, before it is known whether it waits.
void countArrival(WaitQueue &Queue);

/// True while many calls have to wait, which a burst does not bring about.
bool isOverloaded(const WaitQueue &Queue);

/// Time that a call which joins now is expected to wait when InFlight calls of
/// this host take AnswerTime each.
Duration expectedWait(const WaitQueue &Queue, std::uint32_t InFlight,
                      Duration AnswerTime);

/// Joins the queue, or says why not. Refused calls were not run.
Admission joinQueue(WaitQueue &Queue, const WaitingCall &Call,
                    std::uint32_t Length, std::uint32_t InFlight,
                    Duration AnswerTime, TimePoint Now);

/// The first call in line, which stays there; none when nobody waits.
std::optional<std::uint64_t> headOfQueue(const WaitQueue &Queue);

/// Takes a call out, because it was dispatched, refused or cancelled.
void removeFromQueue(WaitQueue &Queue, std::uint64_t WaiterId);

/// Takes out the calls that cannot be answered in time any more and, under
/// overload, those that have waited too long.
std::vector<std::uint64_t> takeExpired(WaitQueue &Queue, Duration AnswerTime,
                                       TimePoint Now);

} // namespace comfreyrill
