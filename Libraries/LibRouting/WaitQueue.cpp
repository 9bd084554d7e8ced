#include <LibRouting/WaitQueue.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// The moving average covers about 64 calls, which is one second of one host's
// traffic for the smallest service.
constexpr double WaitShareWeight = 1.0 / 64;
constexpr double OverloadWaitShare = 0.2;

// Under overload a standing queue adds delay to every call without increasing
// throughput, so calls may wait no longer than this fraction of the mean answer
// time. CoDel likewise distinguishes a queue that absorbs a burst from a
// standing queue.
constexpr int OverloadWaitDivisor = 16;

Duration overloadWait(Duration AnswerTime) {
  return AnswerTime / OverloadWaitDivisor;
}

// Calls that wait because the targets are paused, and those behind them after
// the pause, do not show that the targets have too few slots.
bool waitsForPause(const WaitQueue &Queue, TimePoint Now) {
  return Now < Queue.PausedUntil ||
         (!Queue.Calls.empty() &&
          Queue.Calls.front().QueuedAt < Queue.PausedUntil);
}

} // namespace

void countArrival(WaitQueue &Queue) {
  Queue.WaitShare -= WaitShareWeight * Queue.WaitShare;
}

bool isOverloaded(const WaitQueue &Queue) {
  return Queue.WaitShare > OverloadWaitShare;
}

// Calls leave at the rate InFlight / AnswerTime. The interval between past
// answers is no substitute: on a host with little traffic it reflects the rate
// of arrivals.
Duration expectedWait(const WaitQueue &Queue, std::uint32_t InFlight,
                      Duration AnswerTime) {
  return AnswerTime * (Queue.Calls.size() + 1) / std::max(InFlight, 1U);
}

Admission joinQueue(WaitQueue &Queue, const WaitingCall &Call,
                    std::uint32_t Length, std::uint32_t InFlight,
                    Duration AnswerTime, TimePoint Now) {
  const bool WaitsForPause = waitsForPause(Queue, Now);
  const Duration Wait = expectedWait(Queue, InFlight, AnswerTime);
  if (!WaitsForPause)
    Queue.WaitShare += WaitShareWeight;
  if (Now < Queue.PausedUntil &&
      isPausedTooLong(Queue.PausedUntil, Call.Deadline, AnswerTime))
    return Admission::Paused;
  if (Queue.Calls.size() >= Length)
    return Admission::QueueFull;
  if (std::max(Now, Queue.PausedUntil) + Wait + AnswerTime > Call.Deadline)
    return Admission::DeadlineTooClose;
  if (!WaitsForPause && isOverloaded(Queue) && !Queue.Calls.empty() &&
      Wait > overloadWait(AnswerTime))
    return Admission::Overloaded;
  Queue.Calls.push_back(Call);
  return Admission::Admitted;
}

std::optional<std::uint64_t> headOfQueue(const WaitQueue &Queue) {
  if (Queue.Calls.empty())
    return std::nullopt;
  return Queue.Calls.front().WaiterId;
}

void removeFromQueue(WaitQueue &Queue, std::uint64_t WaiterId) {
  std::erase_if(Queue.Calls, [&](const WaitingCall &Call) {
    return Call.WaiterId == WaiterId;
  });
}

bool isPausedTooLong(TimePoint PauseEnd, TimePoint Deadline,
                     Duration AnswerTime) {
  return PauseEnd + AnswerTime > Deadline;
}

std::vector<std::uint64_t> removeExpired(WaitQueue &Queue, Duration AnswerTime,
                                         TimePoint Now) {
  std::vector<std::uint64_t> Expired;
  const bool Overloaded = isOverloaded(Queue) && !waitsForPause(Queue, Now);
  const TimePoint Earliest = std::max(Now, Queue.PausedUntil);
  std::erase_if(Queue.Calls, [&](const WaitingCall &Call) {
    const bool IsLate =
        isPausedTooLong(Earliest, Call.Deadline, AnswerTime) ||
        (Overloaded && Now - Call.QueuedAt > overloadWait(AnswerTime));
    if (IsLate)
      Expired.push_back(Call.WaiterId);
    return IsLate;
  });
  return Expired;
}

} // namespace comfreyrill
