#pragma once

#include <LibGateway/CandidateListing.h>
#include <LibGateway/DrainSchedule.h>
#include <LibGateway/ProbeTokenBucket.h>
#include <LibGateway/RefusalDecision.h>
#include <LibGateway/WaitingOrder.h>

#include <optional>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// State of the host for the selection of a target for one request. It is a
/// copy, on which the decisions are tried out.
struct SelectionInput {
  /// The candidates that the request may use, after all exclusions.
  std::vector<TargetCandidate> Candidates;
  /// Slots that the candidates have registered, in the same order.
  std::vector<std::uint32_t> Slots;
  /// The service has candidates, whether or not this request may use them.
  bool HasServiceCandidates = false;
  std::optional<Duration> UntilPauseEnd;
  std::optional<Duration> UntilColdRoom;
  std::optional<Duration> UntilLimitRoom;
  RemoteFactors Factors;
  /// False when the service has no health path, so that it is not probed.
  bool IsProbed = true;
  ProbeTokenBucket ProbeTokens;
  ProbeRatePolicy ProbePolicy;
  WaitingOrder Waiting;
  SearchingRequest Searching;
  Duration LatencyObjective{0};
  ReturnSchedule Returns;
  /// Set while the host shuts down.
  std::optional<DrainSchedule> Drain;
};

enum class ExplainedResult {
  /// The request would be sent to a target at once.
  Send,
  /// The request would wait on the host first.
  Hold,
  Refuse,
};

/// Share of the simulated selections in which a target appears.
struct TargetShare {
  TargetId Id;
  double Share = 0;
};

struct SelectionExplanation {
  ExplainedResult Result = ExplainedResult::Refuse;
  /// For Send: "free_slot". For Hold: "no_free_slot", "paused" or
  /// "others_first", because requests that wait have a higher rank. For Refuse:
  /// the name of the cause.
  std::string_view Reason;
  /// Share of the simulated selections with this result.
  double Likelihood = 1;
  /// Targets that would be probed first, the most likely ones first.
  std::vector<TargetShare> ProbedFirst;
  /// Targets that would be selected if the known loads hold.
  std::vector<TargetShare> Selected;
  /// For Hold: longest time for which the request would be held.
  std::optional<Duration> HeldFor;
  /// For Refuse, and for Hold if the request would be refused when nothing
  /// changes until then.
  std::optional<RefusalDecision> Refusal;
};

/// Load reports older than this say nothing about the load of a target now. It
/// counts as free and as fast as usual then, which its probe would correct.
inline constexpr Duration KnownLoadAgeMaximum = std::chrono::seconds(1);

/// Explains what would happen to a request whose caller is authorized. The
/// selection is simulated repeatedly, because it is randomized; the cached
/// loads take the place of the results of probes.
SelectionExplanation explainSelection(SelectionInput Input, Random &Generator,
                                      TimePoint Now);

} // namespace comfreyrill
