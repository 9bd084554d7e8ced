#pragma once

#include "Trace.h"

#include <LibRouting/Routing.h>

#include <string>
#include <vector>

namespace comfreyrill::replay {

/// Upstream selection policy. Production is the policy of LibRouting; the
/// others exist for comparison only.
enum class Policy {
  Production,
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  Oracle
};

struct PolicySpec {
  std::string Name;
  Policy Kind = Policy::Production;
  bool Hedging = false;
  /// Factor applied to the probe budget of the service.
  double ProbeBudgetFactor = 1;
  /// How often a host sends its in-flight counts to its peers; 0 for never.
  Duration ExchangeInterval{0};
};

/// Actual load of a target, which only the oracle can see.
struct TrueLoad {
  /// Calls that are running or queued at the target or in transit to it.
  std::uint32_t Calls = 0;
};

/// State that a baseline policy keeps on one host.
struct BaselineState {
  std::size_t NextTarget = 0;
};

/// Picks a target by a baseline policy from the calls that this host has in
/// flight.
TargetChoice chooseByBaseline(Policy Kind, BaselineState &Baseline,
                              const RoutingState &State,
                              comfreyrill::Random &Generator);

/// Picks the target with the least actual load relative to its actual speed.
TargetChoice chooseByOracle(const Trace &Input,
                            const std::vector<TrueLoad> &Loads,
                            const std::vector<TargetIndex> &Tried,
                            TimePoint Now, comfreyrill::Random &Generator);

} // namespace comfreyrill::replay
