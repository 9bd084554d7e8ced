#include <LibGateway/DrainSchedule.h>

namespace comfreyrill {

namespace {

constexpr double AcceptShare = 0.5;
constexpr double ReadShare = 0.85;
// The rest of the stop time is reserved for the exit of the process.
constexpr double EndShare = 0.95;
// Time to write a response after the deadline of its attempt.
constexpr Duration WriteReserve = std::chrono::milliseconds(100);
// Few requests take more than this multiple of the expected time.
constexpr int ExpectedTimeFactor = 2;

TimePoint after(TimePoint Begin, Duration StopTime, double Share) {
  return Begin + std::chrono::duration_cast<Duration>(StopTime * Share);
}

} // namespace

DrainSchedule drainSchedule(TimePoint Begin, Duration StopTime) {
  return {after(Begin, StopTime, AcceptShare),
          after(Begin, StopTime, ReadShare), after(Begin, StopTime, EndShare)};
}

// A caller that is refused sends the request to another host. One whose attempt
// is cut off cannot know whether it has run.
bool endsWithinDrain(const DrainSchedule &Schedule,
                     const DrainingRequest &Request, TimePoint Now) {
  if (Request.Deadline + WriteReserve <= Schedule.End)
    return true;
  return Now < Schedule.AcceptUntil &&
         Now + ExpectedTimeFactor * Request.ExpectedTime + WriteReserve <=
             Schedule.End;
}

} // namespace comfreyrill
