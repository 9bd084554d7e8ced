#include "ReachabilityMonitor.h"

#include <utility>

namespace comfreyrill {

ReachabilityMonitor::ReachabilityMonitor(const Clock &TimeSource,
                                         const TargetDirectory &Directory,
                                         RateLimitedLog &Events)
    : TimeSource(TimeSource), Directory(Directory), Events(Events) {}

void ReachabilityMonitor::recordConnectionFailure(const TargetId &Target,
                                                  TimePoint BeganAt) {
  comfreyrill::recordConnectionFailure(State, Target, BeganAt);
  update();
}

void ReachabilityMonitor::recordConnection() {
  comfreyrill::recordConnection(State, TimeSource.now());
  update();
}

void ReachabilityMonitor::recordSilence(const TargetId &Target,
                                        TimePoint SentAt) {
  comfreyrill::recordSilence(State, Target, SentAt);
  update();
}

void ReachabilityMonitor::recordAnswer() {
  comfreyrill::recordAnswer(State, TimeSource.now());
  update();
}

void ReachabilityMonitor::update() {
  const std::size_t Known = Directory.Targets.size();
  const bool WasCutOff =
      std::exchange(IsCutOff, comfreyrill::isCutOff(State, Known));
  const bool CouldNotConnect =
      std::exchange(CannotConnect, comfreyrill::cannotConnect(State, Known));
  const auto Log = [&](std::string_view Event) {
    LogLine Line(Event);
    Line.field("targets", std::uint64_t{Known});
    Events.writeAlways(LogLevel::Warning, Line);
  };
  if (CannotConnect != CouldNotConnect)
    Log(CannotConnect ? "target_connections_failing"
                      : "target_connections_restored");
  if (IsCutOff == WasCutOff)
    return;
  Log(IsCutOff ? "targets_unreachable" : "targets_reachable");
  CutOffCount += IsCutOff ? 1 : 0;
  if (IsCutOff && Listener)
    Listener();
}

} // namespace comfreyrill
