#include <LibGateway/Attempt.h>

namespace comfreyrill {

std::string_view attemptOutcomeName(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::TargetError:
    return "target_error";
  case AttemptOutcome::InvalidAnswer:
    return "invalid_answer";
  case AttemptOutcome::NotRun:
    return "not_run";
  case AttemptOutcome::Lost:
    return "lost";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool isSafeToRetry(ExecutionSemantics Semantics, AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::NotRun:
    return true;
  case AttemptOutcome::TargetError:
  case AttemptOutcome::InvalidAnswer:
  case AttemptOutcome::Lost:
    return Semantics == ExecutionSemantics::Idempotent;
  case AttemptOutcome::Answered:
  case AttemptOutcome::TimedOut:
  case AttemptOutcome::Cancelled:
    return false;
  }
  return false;
}

} // namespace comfreyrill
