#pragma once

#include <LibGateway/Configuration.h>

#include <string_view>

namespace comfreyrill {

/// What one attempt at a target came to.
enum class AttemptOutcome {
  /// The whole answer of the target.
  Answered,
  /// The whole answer of the target, which says that the request failed.
  TargetError,
  /// Bytes that are not the whole answer of the target.
  InvalidAnswer,
  /// Proof that the target has not run the request and never will.
  NotRun,
  /// No answer; the request may have run or may still run.
  Lost,
  /// The time was up before the answer came.
  TimedOut,
  /// The caller has left.
  Cancelled,
};

std::string_view attemptOutcomeName(AttemptOutcome Outcome);

/// True when a request may be sent to another target after this outcome, as far
/// as running it twice is concerned.
bool isSafeToRetry(ExecutionSemantics Semantics, AttemptOutcome Outcome);

} // namespace comfreyrill
