#pragma once

#include "Policies.h"
#include "Trace.h"

#include <cstdint>
#include <vector>

namespace comfreyrill::replay {

/// Result of replaying one trace under one policy.
struct ReplayResult {
  std::uint64_t Calls = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  /// Calls whose host was lost; they are in no other count but Calls.
  std::uint64_t LostWithHost = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Probes = 0;
  std::uint64_t ExchangeMessages = 0;
  /// Number of checks that found the probe budget of the fleet or the limit on
  /// control traffic exceeded.
  std::uint64_t BudgetOverruns = 0;
  double ControlBytesPerHostSecond = 0;
  /// Attempts that reached a target which had been draining or down for over
  /// 2 s.
  std::uint64_t MisroutedAttempts = 0;
  /// Attempts started on each target.
  std::vector<std::uint64_t> AttemptsByTarget;
  /// Answer times in seconds, sorted; a call without an answer counts with its
  /// timeout, except under overload, where refusals are unavoidable.
  std::vector<double> AnswerTimes;
};

/// Replays the trace under a policy. The same trace and policy give the same
/// result.
ReplayResult replayTrace(const Trace &Input, const PolicySpec &Spec);

/// Returns a quantile of the answer times in milliseconds, such as 0.99 for the
/// p99.
double quantileMilliseconds(const ReplayResult &Result, double Quantile);

} // namespace comfreyrill::replay
