#pragma once

#include <LibCore/Clock.h>

namespace comfreyrill {

/// Times of a graceful shutdown.
struct DrainSchedule {
  /// New connections are accepted until then, because callers may have cached
  /// the address of the host.
  TimePoint AcceptUntil;
  /// Requests that have not arrived whole by then are rejected.
  TimePoint ReadUntil;
  /// All connections are closed.
  TimePoint End;
};

/// StopTime is the time between the signal to stop and the end by force.
DrainSchedule drainSchedule(TimePoint Begin, Duration StopTime);

/// A request that is about to be sent to a target of a draining host.
struct DrainingRequest {
  /// The attempt ends by itself at this time at the latest.
  TimePoint Deadline;
  /// Expected processing time at the target.
  Duration ExpectedTime{0};
};

/// True if an attempt that begins now ends before the drain does: in any case
/// because of its deadline, or, while connections are accepted, very likely by
/// its expected time.
bool endsWithinDrain(const DrainSchedule &Schedule,
                     const DrainingRequest &Request, TimePoint Now);

} // namespace comfreyrill
