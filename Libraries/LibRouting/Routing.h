#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Position of a target in the service's list in RoutingState.
using TargetIndex = std::uint32_t;

/// Load that a target states in an answer or a probe.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
  bool Draining = false;
};

/// How an attempt ended, as far as routing is concerned.
enum class AttemptEnd { Answered, Failed, Shed, ConnectionFailed, Cancelled };

/// Routing state of one target, as one host sees it.
struct TargetState {
  TargetConfig Config;
  std::uint32_t InFlight = 0;
  bool Draining = false;
};

/// Routing state of one service on one host.
struct RoutingState {
  ServiceConfig Config;
  std::vector<TargetState> Targets;
};

/// What is known of the call for which a target is wanted.
struct ChoiceInput {
  FailureDomain HostDomain;
  TimePoint Deadline;
  /// Targets that this call has tried already.
  std::vector<TargetIndex> Tried;
};

enum class ChoiceKind { Dispatch, Wait, Refuse };

struct Choice {
  ChoiceKind Kind = ChoiceKind::Refuse;
  TargetIndex Target = 0;
  /// Why, as written to the decision log, for example "no_target".
  std::string_view Reason;
};

struct AttemptResult {
  TargetIndex Target = 0;
  AttemptEnd End = AttemptEnd::Answered;
  Duration Elapsed{0};
};

/// Takes over a new configuration; state of targets that remain is kept.
void updateTargets(RoutingState &State, const ServiceConfig &Config,
                   TimePoint Now);

/// Picks a target, or says that the call waits or is refused.
Choice chooseTarget(RoutingState &State, const ChoiceInput &Input,
                    TimePoint Now, Random &Generator);

/// Counts an attempt that is about to be sent.
void recordStart(RoutingState &State, TargetIndex Target, TimePoint Now);

/// Takes account of an attempt that has ended.
void recordFinish(RoutingState &State, const AttemptResult &Result,
                  TimePoint Now);

/// Takes account of a load that the target stated.
void recordLoadReport(RoutingState &State, TargetIndex Target,
                      const LoadReport &Report, TimePoint Now);

} // namespace comfreyrill
