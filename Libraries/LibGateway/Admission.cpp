#include <LibGateway/Admission.h>

#include <algorithm>
#include <array>

namespace comfreyrill {

namespace {

// A refusal within this part of the latency objective costs the caller nothing
// (RULES, prices), so a request may look for a target for so long.
constexpr int FreeWaitDivisor = 8;

// How late an answer may be expected to be, relative to the latency objective,
// for a request to be queued at a target. Urgent requests may queue longer, so
// that under overload the slots go to them first.
constexpr std::array<double, 3> QueueTolerance{2.0, 1.5, 1.0};

double tolerance(std::uint32_t Priority) {
  return QueueTolerance[std::min<std::size_t>(Priority,
                                              QueueTolerance.size() - 1)];
}

} // namespace

AdmissionKind decideAdmission(const AdmissionInput &Input) {
  const Duration Expected = Input.Waited + Input.ExpectedTime;
  if (Expected <= Input.TargetLatency && Input.ExpectedTime <= Input.TimeLeft)
    return AdmissionKind::Dispatch;
  if (Input.Waited + LookAgainInterval <
          Input.TargetLatency / FreeWaitDivisor &&
      LookAgainInterval < Input.TimeLeft)
    return AdmissionKind::LookAgain;
  if (Input.ExpectedTime > Input.TimeLeft)
    return AdmissionKind::Refuse;
  // A slot that is free now serves nobody else sooner.
  if (Input.HasFreeSlot)
    return AdmissionKind::Dispatch;
  const auto Longest = std::chrono::duration_cast<Duration>(
      Input.TargetLatency * tolerance(Input.Priority));
  return Expected <= Longest ? AdmissionKind::Dispatch : AdmissionKind::Refuse;
}

Duration retryAfter(Duration WorkTime, Random &Generator) {
  // Spread over one work time, in which each slot frees up about once, so that
  // refused callers do not return together.
  std::uniform_real_distribution<double> Part(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(WorkTime * Part(Generator));
}

} // namespace comfreyrill
