#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace comfreyrill::soak {

/// One process of a target. A target that starts again keeps its id.
struct TargetProcess {
  std::string Id;
  /// Number of the process, counted over the target's restarts.
  std::uint32_t Number = 1;

  bool operator==(const TargetProcess &) const = default;
  bool operator<(const TargetProcess &Other) const {
    return std::tie(Id, Number) < std::tie(Other.Id, Other.Number);
  }
};

std::string describe(const TargetProcess &Process);

/// One request as its caller observed it.
struct CallRecord {
  std::string Request;
  std::size_t Host = 0;
  /// Number of the host's process, counted over its restarts.
  std::uint32_t Lifetime = 0;
  bool IsAtMostOnce = false;
  /// Version of the configuration that added its route.
  std::uint64_t RouteVersion = 1;
  TimePoint SentAt;
  TimePoint EndedAt;
  /// Empty when the connection ended or the caller timed out.
  std::optional<unsigned> Status;
  /// The connection ended after the request may have been read.
  bool IsConnectionLost = false;
  /// The body is the one that targets generate for this request.
  bool HasOwnBody = false;
  /// Process that sent the answer; unset when the host generated it.
  std::optional<TargetProcess> Responder;
};

/// One request as it reached a target.
struct ArrivalRecord {
  std::string Request;
  TargetProcess Target;
  std::size_t Host = 0;
  TimePoint At;
  bool HasRun = false;
  /// The request named another target.
  bool IsMisdirected = false;
  /// The answer said that the target leaves.
  bool IsLeaving = false;
  /// Time for which the target, in the answer that it sent at once, asked the
  /// host for no further request.
  Duration RetryAfter{0};
  /// Number of the connection to the process; 0 when it is unknown.
  std::size_t Connection = 0;
};

/// One probe as it reached a target. It names no host; the requests on the same
/// connection do.
struct ProbeRecord {
  TargetProcess Target;
  std::size_t Connection = 0;
  TimePoint At;
  /// As in ArrivalRecord.
  Duration RetryAfter{0};
};

/// A period in which a fault affected a host or its links. Checks with a time
/// limit do not apply in this period and in the stability window after it.
struct Disturbance {
  /// Empty when all hosts were affected.
  std::optional<std::size_t> Host;
  TimePoint From;
  TimePoint Until;
};

/// A period in which a host was frozen.
struct HostFreeze {
  std::size_t Host = 0;
  TimePoint From;
  TimePoint Until;
};

/// A period in which the link of a target was faulty. A target that starts
/// again may keep its link.
struct TargetLinkFault {
  std::string TargetId;
  TimePoint From;
  TimePoint Until;
};

/// A period in which a target named a limit on the requests of all hosts.
struct RequestLimit {
  TargetProcess Target;
  double PerSecond = 0;
  TimePoint From;
  TimePoint Until;
};

/// The start of a host's next process.
struct HostRestart {
  std::size_t Host = 0;
  TimePoint At;
};

/// A change that the store has acknowledged: a draining target or a
/// configuration version.
struct AcknowledgedChange {
  TimePoint At;
  TargetProcess Target;
  std::uint64_t Version = 0;
};

/// A period in which a process of a target was registered and did not leave.
struct TargetReadiness {
  TargetProcess Target;
  /// Hosts of the target's failure domain, which prefer it over others.
  std::vector<std::size_t> NearHosts;
  TimePoint From;
  TimePoint Until;
};

/// Time limits that the gateway guarantees, and the events of one run.
struct SoakRecords {
  Duration StabilityWindow = std::chrono::seconds(3);
  Duration DrainTime = std::chrono::seconds(2);
  Duration ConfigurationTime = std::chrono::seconds(2);
  Duration RollbackTolerance = std::chrono::milliseconds(250);
  Duration PauseTolerance = std::chrono::milliseconds(500);
  /// Maximum number of requests and probes that a target may receive from a
  /// host that it has asked for none.
  std::size_t RequestsInPauseMaximum = 2;
  /// A limited target may receive LimitFactor times its limit and LimitSlack
  /// requests in any LimitWindow.
  Duration LimitWindow = std::chrono::seconds(4);
  double LimitFactor = 1.5;
  double LimitSlack = 5;
  /// A host that sends this many requests to others in UseTime also sends one
  /// to each ready process of its failure domain.
  Duration UseTime = std::chrono::seconds(4);
  std::size_t RequestsInUseTimeMinimum = 100;

  std::vector<CallRecord> Calls;
  std::vector<ArrivalRecord> Arrivals;
  std::vector<ProbeRecord> Probes;
  std::vector<Disturbance> Disturbances;
  std::vector<HostRestart> Restarts;
  std::vector<HostFreeze> Freezes;
  std::vector<TargetLinkFault> TargetLinkFaults;
  std::vector<RequestLimit> RequestLimits;
  std::vector<TargetReadiness> ReadyTargets;
  std::vector<AcknowledgedChange> DrainedTargets;
  std::vector<AcknowledgedChange> Configurations;
};

/// Returns true if no disturbance affected the host during the time span or in
/// the stability window before it.
bool wasUndisturbed(const SoakRecords &Records, std::size_t Host,
                    TimePoint From, TimePoint Until);

/// An answer of a leaving target as a caller received it from a host.
struct LeavingAnswer {
  std::size_t Host = 0;
  std::uint32_t Lifetime = 0;
  TargetProcess Target;
  TimePoint PassedOnAt;
};

std::vector<LeavingAnswer> findLeavingAnswers(const SoakRecords &Records);

/// Returns the number of probes whose host is known.
std::size_t countAttributedProbes(const SoakRecords &Records);

/// Returns one line for each violated guarantee.
std::vector<std::string> findViolations(const SoakRecords &Records);

/// Returns the share of the calls sent in a time span that succeeded.
double servedShare(const SoakRecords &Records, TimePoint From, TimePoint Until);

} // namespace comfreyrill::soak
