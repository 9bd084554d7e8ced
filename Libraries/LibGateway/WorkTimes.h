#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/Configuration.h>

#include <cstdint>
#include <map>
#include <string>

namespace comfreyrill {

/// Moving average of the work time of some requests.
struct WorkTimeMean {
  Duration Mean = std::chrono::milliseconds(100);
  std::uint32_t Samples = 0;
  TimePoint LastSampleAt;
};

/// Mean time that an idle target of usual speed needs for a request of one
/// service, by route.
struct WorkTimes {
  /// Over all requests of the service.
  WorkTimeMean OfService;
  /// By the name of the route. Bounded; the route whose last sample is the
  /// oldest is dropped first.
  std::map<std::string, WorkTimeMean, std::less<>> ByRoute;
};

/// Returns the expected work time of a request of the route.
Duration expectedWorkTime(const WorkTimes &Times, const Route &Matched,
                          TimePoint Now);

/// Records the measured work time of an answered request of the route.
void recordWorkTime(WorkTimes &Times, const Route &Matched, Duration Measured,
                    TimePoint Now);

/// Drops the routes that the configuration does not have.
void forgetRemovedRoutes(WorkTimes &Times, const Configuration &Active);

} // namespace comfreyrill
