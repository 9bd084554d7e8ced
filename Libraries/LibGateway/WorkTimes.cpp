#include <LibGateway/WorkTimes.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Weight of one request in a moving average that has enough samples.
constexpr double SampleWeight = 0.05;
// The start value of a mean counts as this many samples.
constexpr double StartSamples = 3;
// A route with fewer samples is expected to meet its objective.
constexpr std::uint32_t FewSamples = 3;
// A mean without a sample for this time starts again. Otherwise a mean that
// exceeds the time limit of the route would never be corrected, because its
// requests would all be refused.
constexpr Duration MeanLifetime = std::chrono::seconds(10);
// Share of the latency objective that is expected at most without samples.
constexpr double ObjectiveShare = 0.5;
constexpr std::size_t RoutesMaximum = 256;

bool isCurrent(const WorkTimeMean &Entry, TimePoint Now) {
  return Entry.Samples > 0 && Now - Entry.LastSampleAt < MeanLifetime;
}

void addSample(WorkTimeMean &Entry, Duration Measured, TimePoint Now) {
  const double Weight =
      std::max(SampleWeight, 1 / (Entry.Samples + StartSamples + 1));
  Entry.Mean +=
      std::chrono::duration_cast<Duration>((Measured - Entry.Mean) * Weight);
  ++Entry.Samples;
  Entry.LastSampleAt = Now;
}

Duration atMostShareOfObjective(Duration Time, const Route &Matched) {
  if (Matched.LatencyObjective <= Duration::zero())
    return Time;
  return std::min(Time, std::chrono::duration_cast<Duration>(
                            Matched.LatencyObjective * ObjectiveShare));
}

} // namespace

// A route without samples starts with the mean of its service, but not above
// half of its objective: a new short route of a slow service would otherwise be
// refused before its first sample.
Duration expectedWorkTime(const WorkTimes &Times, const Route &Matched,
                          TimePoint Now) {
  const auto Known = Times.ByRoute.find(Matched.Name);
  if (Known == Times.ByRoute.end() || !isCurrent(Known->second, Now))
    return atMostShareOfObjective(Times.OfService.Mean, Matched);
  if (Known->second.Samples < FewSamples)
    return atMostShareOfObjective(Known->second.Mean, Matched);
  return Known->second.Mean;
}

void recordWorkTime(WorkTimes &Times, const Route &Matched, Duration Measured,
                    TimePoint Now) {
  auto Known = Times.ByRoute.find(Matched.Name);
  if (Known == Times.ByRoute.end()) {
    if (Times.ByRoute.size() >= RoutesMaximum)
      Times.ByRoute.erase(std::min_element(
          Times.ByRoute.begin(), Times.ByRoute.end(),
          [](const auto &One, const auto &Other) {
            return One.second.LastSampleAt < Other.second.LastSampleAt;
          }));
    Known = Times.ByRoute.emplace(Matched.Name, WorkTimeMean{}).first;
  }
  if (!isCurrent(Known->second, Now))
    Known->second = {expectedWorkTime(Times, Matched, Now), 0, Now};
  addSample(Known->second, Measured, Now);
  addSample(Times.OfService, Measured, Now);
}

void forgetRemovedRoutes(WorkTimes &Times, const Configuration &Active) {
  std::erase_if(Times.ByRoute, [&](const auto &Entry) {
    return std::none_of(
        Active.Routes.begin(), Active.Routes.end(),
        [&](const Route &Listed) { return Listed.Name == Entry.first; });
  });
}

} // namespace comfreyrill
