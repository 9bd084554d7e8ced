#pragma once

#include <LibGateway/Configuration.h>

#include <string_view>

namespace comfreyrill {

/// Outcome of one attempt to run a request at a target.
enum class AttemptOutcome {
  /// The complete answer of the target.
  Answered,
  /// The complete answer of the target, which reports that the request failed.
  TargetError,
  /// An answer that cannot be trusted to be the target's complete answer.
  InvalidAnswer,
  /// Proof that the target has not run the request and never will.
  NotRun,
  /// No answer; the request may have run or may still run.
  Lost,
  /// The deadline passed before the answer arrived.
  TimedOut,
  /// The caller disconnected.
  Cancelled,
};

std::string_view attemptOutcomeName(AttemptOutcome Outcome);

/// True when a request with these execution semantics may be sent to another
/// target after this outcome. Only the risk of running it twice is considered,
/// not the retry budget.
bool isSafeToRetry(ExecutionSemantics Semantics, AttemptOutcome Outcome);

} // namespace comfreyrill
