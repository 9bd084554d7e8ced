#pragma once

#include "ProtocolModel.h"

namespace comfreyrill::testing {

struct CheckResult {
  std::size_t States = 0;
  std::size_t Transitions = 0;
  std::size_t Depth = 0;
  /// False when the limit on the number of states ended the search.
  bool Exhausted = false;
  /// Empty when all invariants hold.
  std::string Violation;
  /// The actions from the initial state to the violation.
  std::vector<std::string> Trace;
  /// Number of states in which some caller has got an answer.
  std::size_t ReportedAnswer = 0;
  /// Number of states in which some caller has got "not run".
  std::size_t ReportedNotRun = 0;
};

/// Explores all reachable states breadth-first, up to a maximum number, and
/// stops at the first violation. No other violation has a shorter trace.
CheckResult checkProtocol(const ModelParameters &Parameters,
                          std::size_t StatesMaximum);

/// Formats the counters in one line, followed by the trace of a violation.
std::string summary(const CheckResult &Result);

} // namespace comfreyrill::testing
