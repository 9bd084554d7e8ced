#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>
#include <LibRouting/Budget.h>
#include <LibRouting/LoadReport.h>
#include <LibRouting/Outlier.h>
#include <LibRouting/Probe.h>
#include <LibRouting/Queue.h>
#include <LibRouting/Speed.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Position of a target in the service's list in RoutingState.
using TargetIndex = std::uint32_t;

/// How an attempt ended, as far as routing is concerned.
enum class AttemptEnd { Answered, Failed, Shed, ConnectionFailed, Cancelled };

/// Calls that another host has in flight at one target.
struct PeerTargetLoad {
  TargetIndex Target = 0;
  std::uint32_t InFlight = 0;
};

/// Last in-flight counts that one other host sent.
struct PeerState {
  HostId Host;
  TimePoint At;
  /// One entry for each target.
  std::vector<std::uint32_t> InFlight;
};

/// Routing state of one target, as one host sees it.
struct TargetState {
  // What each decision reads stands first, so that it shares cache lines.
  std::uint32_t InFlight = 0;
  /// This host's share of the connections that the target accepts.
  std::uint32_t ConnectionShare = 1;
  bool Draining = false;
  bool Ramping = false;
  bool HasReport = false;
  /// In the failure domain of RoutingState::HostDomain.
  bool Near = false;
  /// Load of all other hosts at the time of the last trusted report.
  double OthersLoadAtReport = 0;
  TimePoint ReportedAt;
  double Slots = 1;
  double InverseSlots = 1;
  /// Answer time relative to the service, at least 1.
  double Slowness = 1;
  OutlierState Outlier;

  TargetConfig Config;

  /// When this host started the attempts that are still in flight.
  std::vector<TimePoint> Starts;
  /// Sum of the in-flight counts of peers.
  std::uint32_t PeerInFlight = 0;
  /// Weight ramps up from here after a start or an ejection.
  TimePoint RampSince;

  TrustState Trust;
  SpeedState Speed;
  /// When any host that told of it probed the target last.
  TimePoint ProbedAt;
  /// Time of the last report on whether the target drains.
  TimePoint HeardAt;
};

/// Routing state of one service on one host.
struct RoutingState {
  ServiceConfig Config;
  std::vector<TargetState> Targets;
  /// The domain for which TargetState::Near holds.
  FailureDomain HostDomain;
  /// Most hosts that run at a time; fleet-wide limits are divided by it.
  std::uint32_t HostsMaximum = 20;
  /// Attempts of this host in flight at all targets.
  std::uint32_t InFlight = 0;

  RatioBudget Retries;
  RatioBudget Hedges;
  ProbeBudget Probes;
  AnswerTimes Answers;
  WaitQueue Queue;
  std::vector<PeerState> Peers;
  /// Targets whose load became known last; the large services look at these
  /// besides a random sample.
  std::vector<TargetIndex> RecentReports;
  std::size_t NextRecentReport = 0;
  /// Mean of the load of other hosts, relative to the slots of a target.
  double MeanOthersPerSlot = 0;
  bool HasMeanOthers = false;
};

/// What is known of the call for which a target is wanted.
struct TargetChoiceInput {
  FailureDomain HostDomain;
  TimePoint Deadline;
  /// Targets that this call has tried already.
  std::vector<TargetIndex> Tried;
};

enum class TargetChoiceKind { Dispatch, Wait, Refuse };

struct TargetChoice {
  TargetChoiceKind Kind = TargetChoiceKind::Refuse;
  TargetIndex Target = 0;
  /// Why, as written to the decision log, for example "no_target".
  std::string_view Reason;
};

struct AttemptResult {
  TargetIndex Target = 0;
  AttemptEnd End = AttemptEnd::Answered;
  Duration Elapsed{0};
};

} // namespace comfreyrill
