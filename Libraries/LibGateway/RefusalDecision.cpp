#include <LibGateway/RefusalDecision.h>

#include <LibGateway/PauseWait.h>

#include <algorithm>

namespace comfreyrill {

// The caller comes back as a new request, which may use the targets that this
// one has tried. It must wait for a pause only if all targets are paused,
// whatever has ended this request.
RefusalDecision decideRefusal(const RefusalInput &Input,
                              ReturnSchedule &Schedule, TimePoint Now,
                              Random &Generator) {
  if (!Input.HasCandidates && Input.UntilPauseEnd)
    return {
        RefusalCause::Paused,
        retryAfterPause(*Input.UntilPauseEnd, Input.ExpectedTime, Generator)};
  if (!Input.HasCandidates && Input.UntilColdRoom)
    return {RefusalCause::Cold, retryAfterPause(*Input.UntilColdRoom,
                                                Input.ExpectedTime, Generator)};
  if (!Input.HasCandidates && Input.UntilLimitRoom)
    return {
        RefusalCause::RateLimited,
        retryAfterPause(*Input.UntilLimitRoom, Input.ExpectedTime, Generator)};
  const RefusalCause Cause = Input.Cause == RefusalCause::Paused
                                 ? RefusalCause::NoTarget
                                 : Input.Cause;
  if (Cause == RefusalCause::Overloaded && Input.ComesBack)
    return {Cause,
            scheduleReturn(Schedule, {Input.ExpectedTime, Input.TimeLeft}, Now,
                           Generator)};
  return {Cause, std::min(retryAfter(Cause, Input.ExpectedTime, Generator),
                          honouredRetryAfter(Input.TimeLeft))};
}

} // namespace comfreyrill
