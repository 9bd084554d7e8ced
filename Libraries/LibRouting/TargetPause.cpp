#include <LibRouting/TargetPause.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr std::uint32_t FirstResumeLimit = 1;
// One host rarely has more requests in flight at a target, so a limit above
// this has no effect.
constexpr std::uint32_t HighestResumeLimit = 16;

} // namespace

void beginPause(TargetPause &Pause, Duration Requested,
                const PausePolicy &Policy, TimePoint Now) {
  const Duration Length = std::min(Requested, Policy.Maximum);
  if (Length <= Duration::zero())
    return;
  if (!isPaused(Pause, Now))
    Pause.BeganAt = Now;
  Pause.EndsAt = std::max(Pause.EndsAt, Now + Length);
  Pause.ResumeLimit = FirstResumeLimit;
}

bool isPaused(const TargetPause &Pause, TimePoint Now) {
  return Now < Pause.EndsAt;
}

bool admitsRequest(const TargetPause &Pause, std::uint32_t OwnInFlight,
                   TimePoint Now) {
  return !isPaused(Pause, Now) &&
         (Pause.ResumeLimit == 0 || OwnInFlight < Pause.ResumeLimit);
}

// Requests that were in flight when the pause began may still be answered in
// it. Their answers do not show that the target has room again.
bool recordAnswerAfterPause(TargetPause &Pause, TimePoint Now) {
  if (isPaused(Pause, Now) || Pause.ResumeLimit == 0)
    return false;
  Pause.ResumeLimit *= 2;
  if (Pause.ResumeLimit <= HighestResumeLimit)
    return false;
  Pause.ResumeLimit = 0;
  return true;
}

} // namespace comfreyrill
