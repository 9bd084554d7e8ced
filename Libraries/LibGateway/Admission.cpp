#include <LibGateway/Admission.h>

#include <algorithm>
#include <array>

namespace comfreyrill {

namespace {

// How long a request looks for a free slot, relative to the latency objective.
// A refusal within an eighth of the objective costs the caller nothing (RULES,
// prices). Urgent requests look longer, so that under overload the slots that
// become free go to them first.
constexpr std::array<double, 3> Patience{0.5, 0.35, 0.125};

Duration patience(const AdmissionInput &Input) {
  const std::size_t Rank =
      std::min<std::size_t>(Input.Priority, Patience.size() - 1);
  return std::chrono::duration_cast<Duration>(Input.LatencyObjective *
                                              Patience[Rank]);
}

} // namespace

// A request is never queued at a target: the queue would be served at the speed
// of a crowded target, and it hides the slots that become free elsewhere.
AdmissionDecision decideAdmission(const AdmissionInput &Input) {
  const Duration Expected = Input.Waited + Input.ExpectedTime;
  if (Input.HasFreeSlot && Expected <= Input.LatencyObjective &&
      Input.ExpectedTime <= Input.TimeLeft)
    return AdmissionDecision::Dispatch;
  if (Input.Waited + SelectionRetryInterval < patience(Input) &&
      SelectionRetryInterval < Input.TimeLeft)
    return AdmissionDecision::RetrySelection;
  // A slot that is free now serves nobody else sooner.
  if (Input.HasFreeSlot && Input.ExpectedTime <= Input.TimeLeft)
    return AdmissionDecision::Dispatch;
  return AdmissionDecision::Refuse;
}

std::string_view refusalCauseName(RefusalCause Cause) {
  switch (Cause) {
  case RefusalCause::NoTarget:
    return "no_target";
  case RefusalCause::Overloaded:
    return "overloaded";
  case RefusalCause::RetryBudget:
    return "retry_budget";
  }
  return "unknown";
}

// Refused callers are spread, so that they do not return together. Without a
// free slot they are spread over one work time, in which each slot frees up
// about once. When only the budget is used up there is room elsewhere, and the
// caller's own return is a new request that the budget allows.
Duration retryAfter(RefusalCause Cause, Duration WorkTime, Random &Generator) {
  const bool HasRoom = Cause == RefusalCause::RetryBudget;
  std::uniform_real_distribution<double> Part(HasRoom ? 0.05 : 0.5,
                                              HasRoom ? 0.25 : 1.5);
  return std::chrono::duration_cast<Duration>(WorkTime * Part(Generator));
}

} // namespace comfreyrill
