#pragma once

#include <LibCore/Clock.h>
#include <LibManifest/Manifest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill::replay {

/// A time during which something holds for some targets or one host.
struct Span {
  std::uint32_t First = 0;
  std::uint32_t Count = 1;
  TimePoint From;
  TimePoint Until;
  /// Speed while a target is slow, or load while it lies.
  double Value = 0;
};

/// One call as it arrives from a caller.
struct Arrival {
  TimePoint At;
  std::uint32_t Host = 0;
  /// Seconds of work for the first and each further attempt.
  double Work = 0;
  double SecondWork = 0;
  bool Idempotent = false;
};

struct SpeedStep {
  TimePoint From;
  double Speed = 1;
};

/// What one target does over the time of the trace.
struct TargetBehaviour {
  /// Sorted; the first one starts with the trace.
  std::vector<SpeedStep> Speeds;
  std::vector<Span> Down;
  std::vector<Span> Failing;
  std::vector<Span> Lying;
  std::vector<Span> Draining;
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
  /// Calls that wait at a target before it sheds.
  std::uint32_t TargetQueue = 0;
  ServiceConfig Service;
  std::vector<Arrival> Arrivals;
  std::vector<TargetBehaviour> Targets;
  std::vector<Span> HostsLost;
  std::vector<Span> HostsFrozen;
};

/// Reads a description and generates the trace. Throws std::runtime_error on a
/// description that cannot be read.
Trace loadTrace(const std::string &Path);

/// The descriptions in a directory, in order of name.
std::vector<std::string> listTraces(const std::string &Directory);

bool isWithin(const std::vector<Span> &Spans, TimePoint Now);
double speedAt(const TargetBehaviour &Target, TimePoint Now);
/// When work that starts now is done.
TimePoint finishTime(const TargetBehaviour &Target, TimePoint Now, double Work);

} // namespace comfreyrill::replay
