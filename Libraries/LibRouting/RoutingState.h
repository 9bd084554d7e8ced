#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>
#include <LibRouting/AnswerTime.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/Outlier.h>
#include <LibRouting/ProbeBudget.h>
#include <LibRouting/RatioBudget.h>
#include <LibRouting/TargetPause.h>
#include <LibRouting/WaitQueue.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Position of a target in the service's list in RoutingState.
using TargetIndex = std::uint32_t;

/// Outcome of an attempt as routing distinguishes it.
enum class AttemptEnd {
  Answered,
  Failed,
  Shed,
  ConnectionFailed,
  Cancelled,
  /// Nothing was sent, because the target began to drain or to pause after it
  /// had been chosen.
  Withdrawn
};

/// Calls that another host has in flight at one target.
struct PeerTargetLoad {
  TargetIndex Target = 0;
  std::uint32_t InFlight = 0;
};

/// Most recent in-flight counts received from one other host.
struct PeerState {
  HostId Host;
  TimePoint ReceivedAt;
  /// One entry for each target.
  std::vector<std::uint32_t> InFlight;
};

/// Routing state of one target, as one host sees it.
struct TargetState {
  // The members that each decision reads come first, so that they share cache
  // lines.
  std::uint32_t InFlight = 0;
  /// This host's share of the connections that the target accepts.
  std::uint32_t ConnectionShare = 1;
  /// The target receives no calls: it reports that it drains, or its machine is
  /// leaving.
  bool Draining = false;
  bool InSlowStart = false;
  bool HasReport = false;
  /// The target is in the failure domain RoutingState::HostDomain.
  bool InHostDomain = false;
  /// Load that the other hosts caused at the time of the last trusted report.
  double OthersLoadAtReport = 0;
  TimePoint ReportedAt;
  double Slots = 1;
  double InverseSlots = 1;
  /// Mean answer time as a multiple of the service's mean, at least 1.
  double RelativeAnswerTime = 1;
  OutlierState Outlier;
  TargetPause Pause;

  TargetConfig Config;

  /// Start times of this host's attempts that are still in flight.
  std::vector<TimePoint> AttemptStarts;
  /// Sum of the in-flight counts of the other hosts.
  std::uint32_t PeerInFlight = 0;
  /// Start of the slow start that follows an addition, a drain or an ejection.
  TimePoint SlowStartSince;

  ReportTrust Trust;
  TargetAnswerTime AnswerTime;
  /// Time of the last probe of the target by this host or, if reported, by
  /// another.
  TimePoint ProbedAt;
  /// Time at which the last report of the draining state arrived.
  TimePoint DrainingReportedAt;
  bool ReportsDraining = false;
  bool IsOnLeavingMachine = false;
  /// No attempt has started since the last pause.
  bool AwaitsResumption = false;
};

/// Pause of a target that the manifest in force does not list.
struct RemovedPause {
  TargetId Id;
  Endpoint Address;
  TargetPause Pause;
  bool AwaitsResumption = false;
};

/// Routing state of one service on one host.
struct RoutingState {
  ServiceConfig Config;
  std::vector<TargetState> Targets;
  /// Failure domain for which TargetState::InHostDomain was computed.
  FailureDomain HostDomain;
  /// Maximum number of hosts that run at the same time; fleet-wide limits are
  /// divided by it.
  std::uint32_t HostsMaximum = 20;
  /// Attempts of this host in flight at all targets.
  std::uint32_t InFlight = 0;

  RatioBudget Retries;
  RatioBudget Hedges;
  ProbeBudget Probes;
  ServiceAnswerTimes AnswerTimes;
  WaitQueue Queue;
  PausePolicy Pauses;
  std::vector<RemovedPause> RemovedPauses;
  std::vector<PeerState> Peers;
  /// Ring buffer of targets that reported their load recently. In large
  /// services, these are candidates in addition to a random sample.
  std::vector<TargetIndex> RecentReports;
  std::size_t NextRecentReport = 0;
  /// Moving average over targets of the load that the other hosts cause per
  /// slot.
  double MeanOthersLoadPerSlot = 0;
  bool HasMeanOthersLoad = false;
};

/// Properties of a call that needs a target.
struct TargetChoiceInput {
  FailureDomain HostDomain;
  TimePoint Deadline;
  /// Targets of earlier attempts of this call; these are not chosen again.
  std::vector<TargetIndex> Tried;
};

enum class TargetChoiceKind { Dispatch, Wait, Refuse };

struct TargetChoice {
  TargetChoiceKind Kind = TargetChoiceKind::Refuse;
  TargetIndex Target = 0;
  /// Reason as written to the decision log, for example "no_target".
  std::string_view Reason;
};

struct AttemptResult {
  TargetIndex Target = 0;
  AttemptEnd End = AttemptEnd::Answered;
  Duration Elapsed{0};
};

} // namespace comfreyrill
