#pragma once

#include "Web.h"

#include <LibCore/Random.h>

namespace comfreyrill::standins {

enum class ServiceTimeKind { Fixed, Exponential, Bimodal };
enum class LoadReportKind { Truthful, Lagging, Lying };
enum class CrashScope { Target, Process };

/// How a target behaves. The defaults describe a healthy, fast target.
struct TargetBehaviour {
  std::uint32_t Slots = 6;
  /// Requests that may wait for a slot; more are shed before start.
  std::uint32_t Queue = 12;
  ServiceTimeKind ServiceTime = ServiceTimeKind::Exponential;
  Duration MeanTime = std::chrono::milliseconds(2);
  /// The slower part of a bimodal service time.
  Duration SlowMeanTime = std::chrono::milliseconds(20);
  double SlowShare = 0.05;
  /// Mean time between slow-downs by a noisy neighbour; 0 means none.
  Duration SlowDownEvery{};
  Duration SlowDownLength = std::chrono::milliseconds(50);
  double SlowDownSpeed = 0.25;
  /// Time after a start during which the target works at ColdSpeed.
  Duration ColdLength{};
  double ColdSpeed = 0.25;
  LoadReportKind LoadReport = LoadReportKind::Truthful;
  Duration ReportLag = std::chrono::milliseconds(100);
  /// Share of the requests that are answered 500 at once.
  double FailureShare = 0;
  bool Draining = false;
  /// Stops a run at the deadline that came with it; false works on.
  bool RespectsDeadline = true;
  /// What a request marked crash=1 takes down, and for how long.
  CrashScope Crash = CrashScope::Target;
  Duration DownTime = std::chrono::milliseconds(500);
};

/// Changes the members that the object has. Fails with InvalidInput.
Result<void> applySettings(const boost::json::object &Object,
                           TargetBehaviour &Behaviour);

/// Work of one request, as time at full speed.
Duration drawServiceTime(const TargetBehaviour &Behaviour, Random &Generator);

/// The speed of a target over time: full, slowed or cold.
class SpeedProfile {
public:
  struct Segment {
    double Speed = 1;
    /// The speed may differ from here on.
    TimePoint Until = TimePoint::max();
  };

  /// The target starts, cold if the behaviour says so.
  void restart(TimePoint Now) { Started = Now; }
  /// Times must not decrease from call to call.
  Segment at(const TargetBehaviour &Behaviour, TimePoint Now,
             Random &Generator);

private:
  TimePoint Started;
  TimePoint SlowFrom = TimePoint::min();
  TimePoint SlowUntil = TimePoint::min();
};

} // namespace comfreyrill::standins
