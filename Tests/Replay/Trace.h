#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill::replay {

/// An interval in which a condition applies to a range of targets or domains,
/// or to one host.
struct Interval {
  std::uint32_t First = 0;
  std::uint32_t Count = 1;
  TimePoint From;
  TimePoint Until;
  /// Relative speed of a target that is slow.
  double Value = 0;
};

/// One call as it arrives from a caller.
struct Arrival {
  TimePoint At;
  std::uint32_t Host = 0;
  /// Seconds of work for the first attempt and for each later one.
  double Work = 0;
  double LaterAttemptWork = 0;
  bool Idempotent = false;
};

struct SpeedStep {
  TimePoint From;
  double Speed = 1;
};

/// Behaviour of one target over the time of the trace.
struct TargetBehaviour {
  /// Sorted by time; the first step starts with the trace.
  std::vector<SpeedStep> Speeds;
  std::vector<Interval> Down;
  std::vector<Interval> Failing;
  /// The target reports no in-flight and no queued calls, whatever its load is.
  std::vector<Interval> Misreporting;
  std::vector<Interval> Draining;
};

/// Arrivals and target behaviour, generated from a description and its seed.
struct Trace {
  std::string Name;
  std::uint64_t Seed = 0;
  std::uint32_t Hosts = 15;
  std::uint32_t Slots = 6;
  std::uint32_t Domains = 3;
  double Load = 0.5;
  TimePoint Start;
  TimePoint End;
  /// Length of the queue of a target, beyond which the target sheds calls.
  std::uint32_t TargetQueue = 0;
  ServiceConfig Service;
  std::vector<Arrival> Arrivals;
  std::vector<TargetBehaviour> Targets;
  std::vector<Interval> HostsLost;
  std::vector<Interval> HostsFrozen;
};

/// Reads a trace description and generates the trace. Throws std::runtime_error
/// on a description that cannot be read.
Trace loadTrace(const std::string &Path);

/// Returns the paths of the trace descriptions in a directory, sorted by name.
std::vector<std::string> listTraces(const std::string &Directory);

bool isWithin(const std::vector<Interval> &Intervals, TimePoint Now);
double speedAt(const TargetBehaviour &Target, TimePoint Now);
/// Returns when work of that many seconds at speed 1 ends if it starts now.
TimePoint finishTime(const TargetBehaviour &Target, TimePoint Now, double Work);

} // namespace comfreyrill::replay
