#pragma once

#include "Policies.h"
#include "Trace.h"

#include <cstdint>
#include <vector>

namespace comfreyrill::replay {

/// What came of a trace under one policy.
struct Outcome {
  std::uint64_t Calls = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  /// Calls whose host was lost; they count nowhere else.
  std::uint64_t LostWithHost = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ExchangeMessages = 0;
  /// Moments at which the fleet had spent more than its measuring budget.
  std::uint64_t BudgetOverruns = 0;
  double ControlBytesPerHostSecond = 0;
  /// Attempts sent to a target while it was draining for over 2 s or to one
  /// that was down for over 2 s.
  std::uint64_t LateAttempts = 0;
  /// Attempts started on each target.
  std::vector<std::uint64_t> AttemptsByTarget;
  /// Answer times in seconds, sorted; a call without an answer counts with its
  /// timeout, except under overload, where refusals are unavoidable.
  std::vector<double> Times;
};

/// Runs the trace under a policy. The same trace and policy give the same
/// outcome.
Outcome replayTrace(const Trace &Input, const PolicySpec &Spec);

/// The answer time that the given share of calls does not exceed, in ms.
double quantileMilliseconds(const Outcome &Result, double Share);

} // namespace comfreyrill::replay
