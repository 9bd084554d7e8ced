#include <LibRouting/Queue.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// About 64 calls: at the smallest service a second of one host's traffic.
constexpr double WaitShareWeight = 1.0 / 64;
constexpr double OverloadWaitShare = 0.2;

// Under overload a queue only adds its length to each answer time, so calls may
// wait no longer than this part of an answer time. CoDel draws the same line
// between a queue that absorbs a burst and one that stands.
constexpr int OverloadWaitDivisor = 16;

Duration overloadWait(Duration AnswerTime) {
  return AnswerTime / OverloadWaitDivisor;
}

} // namespace

void countArrival(WaitQueue &Queue) {
  Queue.WaitShare -= WaitShareWeight * Queue.WaitShare;
}

bool isOverloaded(const WaitQueue &Queue) {
  return Queue.WaitShare > OverloadWaitShare;
}

// Calls leave at the rate InFlight / AnswerTime. The time between past answers
// would not do: on a quiet host it tells how rarely calls come.
Duration expectedWait(const WaitQueue &Queue, std::uint32_t InFlight,
                      Duration AnswerTime) {
  return AnswerTime * (Queue.Calls.size() + 1) / std::max(InFlight, 1U);
}

Admission joinQueue(WaitQueue &Queue, const WaitingCall &Call,
                    std::uint32_t Length, std::uint32_t InFlight,
                    Duration AnswerTime, TimePoint Now) {
  const Duration Wait = expectedWait(Queue, InFlight, AnswerTime);
  Queue.WaitShare += WaitShareWeight;
  if (Queue.Calls.size() >= Length)
    return Admission::QueueFull;
  if (Now + Wait + AnswerTime > Call.Deadline)
    return Admission::DeadlineTooClose;
  if (isOverloaded(Queue) && !Queue.Calls.empty() &&
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

std::vector<std::uint64_t> takeExpired(WaitQueue &Queue, Duration AnswerTime,
                                       TimePoint Now) {
  std::vector<std::uint64_t> Expired;
  const bool Overloaded = isOverloaded(Queue);
  std::erase_if(Queue.Calls, [&](const WaitingCall &Call) {
    const bool IsLate =
        Now + AnswerTime > Call.Deadline ||
        (Overloaded && Now - Call.Since > overloadWait(AnswerTime));
    if (IsLate)
      Expired.push_back(Call.WaiterId);
    return IsLate;
  });
  return Expired;
}

} // namespace comfreyrill
