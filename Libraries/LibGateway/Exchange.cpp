#include <LibGateway/Exchange.h>

namespace comfreyrill {

namespace {

// Statuses that guarantee callers of the gateway that a request has not run and
// never will. Such a status of a target is not passed on without proof that the
// target has not run the request, because the guarantee could be false.
bool guaranteesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

bool asksForPause(const TargetSignals &Signals, const TargetId &Addressed) {
  return Signals.Pause && *Signals.Pause > Duration::zero() &&
         (Signals.Responder.Value.empty() || Signals.Responder == Addressed);
}

AttemptOutcome classifyAnswer(const TargetAnswer &Answer) {
  if (Answer.IsProvedNotRun)
    return AttemptOutcome::NotRun;
  if (Answer.IsEncoded || guaranteesNotRun(Answer.Status))
    return AttemptOutcome::InvalidAnswer;
  const bool IsSuccess = Answer.Status >= 200 && Answer.Status < 300;
  if (IsSuccess && !Answer.IsSigned)
    return AttemptOutcome::InvalidAnswer;
  return Answer.Status >= 500 ? AttemptOutcome::TargetError
                              : AttemptOutcome::Answered;
}

} // namespace comfreyrill
