#pragma once

#include "Trace.h"

#include <LibRouting/Routing.h>

#include <string>
#include <vector>

namespace comfreyrill::replay {

/// How targets are chosen. All but Chosen exist for comparison only.
enum class Policy {
  Chosen,
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  Oracle
};

struct PolicySpec {
  std::string Name;
  Policy Kind = Policy::Chosen;
  bool Hedging = false;
  /// Factor on the measuring budget of the service.
  double LoadProbingFactor = 1;
  /// How often a host sends its in-flight counts to its peers; 0 for never.
  Duration ExchangeInterval{0};
};

/// True state of a target, which only the oracle sees.
struct TrueLoad {
  /// Calls running, waiting there or on the way.
  std::uint32_t Calls = 0;
};

/// State of a policy other than the chosen one on one host.
struct BaselineState {
  std::size_t NextTarget = 0;
};

/// Picks a target by a baseline policy from the calls that this host has in
/// flight.
TargetChoice chooseByBaseline(Policy Kind, BaselineState &Baseline,
                              const RoutingState &State,
                              comfreyrill::Random &Source);

/// Picks the target with the least true load at its true speed.
TargetChoice chooseByOracle(const Trace &Input,
                            const std::vector<TrueLoad> &Loads,
                            const std::vector<TargetIndex> &Tried,
                            TimePoint Now, comfreyrill::Random &Source);

} // namespace comfreyrill::replay
