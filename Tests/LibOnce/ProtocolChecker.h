#pragma once

#include "ProtocolModel.h"

namespace comfreyrill::testing {

struct CheckResult {
  std::size_t States = 0;
  std::size_t Transitions = 0;
  std::size_t Depth = 0;
  /// False when the limit on states ended the search.
  bool Exhausted = false;
  /// Empty when all invariants hold.
  std::string Violation;
  /// The actions that lead to the violation.
  std::vector<std::string> Trace;
  /// States in which some caller has been told so.
  std::size_t ToldAnswer = 0;
  std::size_t ToldNotRun = 0;
};

/// Explores all worlds breadth-first, up to a number of states, and stops at
/// the first violation, which is one of the shortest.
CheckResult checkProtocol(const ModelParameters &Parameters,
                          std::size_t StatesMaximum);

/// One line of figures, and the trace of a violation.
std::string summary(const CheckResult &Result);

} // namespace comfreyrill::testing
