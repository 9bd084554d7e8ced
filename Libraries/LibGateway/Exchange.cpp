#include <LibGateway/Exchange.h>

namespace comfreyrill {

namespace {

// Statuses by which this system promises its callers that a request has not run
// and never will. From a target that does not prove it they would be a false
// promise.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

AttemptOutcome classifyAnswer(const TargetAnswer &Answer) {
  if (Answer.IsProvedNotRun)
    return AttemptOutcome::NotRun;
  if (Answer.IsEncoded || promisesNotRun(Answer.Status))
    return AttemptOutcome::InvalidAnswer;
  const bool IsSuccess = Answer.Status >= 200 && Answer.Status < 300;
  if (IsSuccess && !Answer.IsSigned)
    return AttemptOutcome::InvalidAnswer;
  return Answer.Status >= 500 ? AttemptOutcome::TargetError
                              : AttemptOutcome::Answered;
}

} // namespace comfreyrill
