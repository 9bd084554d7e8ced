#include <LibGateway/Admission.h>

#include <algorithm>
#include <array>

namespace comfreyrill {

namespace {

// Maximum time that a request spends on target selection, as a share of the
// latency objective, by priority. A rejection within an eighth of the objective
// costs the caller nothing. Requests of higher priority search longer, so that
// under overload they get the slots that become free first.
constexpr std::array<double, 3> SearchTimeShares{0.5, 0.35, 0.125};

} // namespace

Duration maximumSearchTime(Duration LatencyObjective, std::uint32_t Priority) {
  const std::size_t Index =
      std::min<std::size_t>(Priority, SearchTimeShares.size() - 1);
  return std::chrono::duration_cast<Duration>(LatencyObjective *
                                              SearchTimeShares[Index]);
}

// A request is never queued at a target: the queue would be served at the
// reduced speed of a congested target, and a queued request cannot use slots
// that become free at other targets.
AdmissionDecision decideAdmission(const AdmissionInput &Input) {
  const Duration Expected = Input.Waited + Input.ExpectedTime;
  if (Input.HasFreeSlot && Expected <= Input.LatencyObjective &&
      Input.ExpectedTime <= Input.TimeLeft)
    return AdmissionDecision::Dispatch;
  if (Input.Waited + SelectionRetryInterval <
          maximumSearchTime(Input.LatencyObjective, Input.Priority) &&
      SelectionRetryInterval < Input.TimeLeft)
    return AdmissionDecision::RetrySelection;
  // The free slot is used although the objective is missed: the time for
  // further searching is up, and no other request would use the slot sooner.
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
  case RefusalCause::Paused:
    return "paused";
  case RefusalCause::Cold:
    return "cold";
  case RefusalCause::RateLimited:
    return "rate_limited";
  case RefusalCause::CutOff:
    return "cut_off";
  case RefusalCause::Quarantined:
    return "quarantined";
  case RefusalCause::Draining:
    return "draining";
  case RefusalCause::RetryBudget:
    return "retry_budget";
  }
  return "unknown";
}

// The delay is randomized, so that rejected callers do not retry at the same
// time. Under overload the delays spread over one processing time, in which
// each slot becomes free about once. When only the retry budget is exhausted or
// this host shuts down or is cut off, there is free capacity, and the caller's
// retry is a new request that the budget allows and that goes to another host.
Duration retryAfter(RefusalCause Cause, Duration ProcessingTime,
                    Random &Generator) {
  const bool HasFreeCapacity = Cause == RefusalCause::RetryBudget ||
                               Cause == RefusalCause::Draining ||
                               Cause == RefusalCause::CutOff;
  std::uniform_real_distribution<double> Factor(HasFreeCapacity ? 0.05 : 0.5,
                                                HasFreeCapacity ? 0.25 : 1.5);
  return std::chrono::duration_cast<Duration>(ProcessingTime *
                                              Factor(Generator));
}

} // namespace comfreyrill
