#include <LibRouting/Queue.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr double FinishWeight = 1.0 / 32;

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

void countFinish(WaitQueue &Queue, TimePoint Now) {
  if (Queue.HasFinish) {
    const double Seconds =
        std::chrono::duration<double>(Now - Queue.LastFinish).count();
    Queue.FinishIntervalSeconds +=
        FinishWeight * (Seconds - Queue.FinishIntervalSeconds);
  }
  Queue.HasFinish = true;
  Queue.LastFinish = Now;
}

Duration expectedWait(const WaitQueue &Queue) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Queue.FinishIntervalSeconds * (Queue.Calls.size() + 1)));
}

Admission joinQueue(WaitQueue &Queue, const WaitingCall &Call,
                    std::uint32_t Length, Duration AnswerTime, TimePoint Now) {
  Queue.WaitShare += WaitShareWeight;
  if (Queue.Calls.size() >= Length)
    return Admission::QueueFull;
  if (Now + expectedWait(Queue) + AnswerTime > Call.Deadline)
    return Admission::DeadlineTooClose;
  if (isOverloaded(Queue) && !Queue.Calls.empty() &&
      expectedWait(Queue) > overloadWait(AnswerTime))
    return Admission::Overloaded;
  Queue.Calls.push_back(Call);
  return Admission::Admitted;
}

std::optional<std::uint64_t> headOfQueue(const WaitQueue &Queue) {
  if (Queue.Calls.empty())
    return std::nullopt;
  return Queue.Calls.front().Ticket;
}

void leaveQueue(WaitQueue &Queue, std::uint64_t Ticket) {
  std::erase_if(Queue.Calls,
                [&](const WaitingCall &Call) { return Call.Ticket == Ticket; });
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
      Expired.push_back(Call.Ticket);
    return IsLate;
  });
  return Expired;
}

} // namespace comfreyrill
