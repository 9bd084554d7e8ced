#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibRouting/LoadReport.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace comfreyrill {

/// How much better a target of another failure domain must be than a local one
/// to be used instead.
struct RemoteFactors {
  /// Traffic between failure domains has a price, so a remote target is used
  /// only when its expected latency is lower by this factor.
  double Selection = 1.25;
  /// A remote target is probed before a local one only when the latest report
  /// of the local one shows congestion or slowness, because the probe itself is
  /// traffic between failure domains.
  double Probe = 1.7;
};

/// A target that is eligible for a request, before it is probed.
struct TargetCandidate {
  TargetId Id;
  /// The target is in the failure domain of this host.
  bool IsInLocalDomain = false;
  /// The target belongs to the subset of local or remote targets that this host
  /// prefers, so that its connections to them are reused.
  bool IsInPreferredSubset = true;
  /// The target started recently and is still slow.
  bool IsCold = false;
  /// The target failed recently, or its registration is missing; it is used
  /// only when no other target is left.
  bool IsSuspect = false;
  /// The target failed requests recently and has not answered one since. It
  /// counts as suspect for requests that must run at most once.
  bool IsOnProbation = false;
  /// The latest known load report, and its age.
  std::optional<LoadReport> LastLoad;
  Duration LoadAge{0};
  /// In-flight requests of this host at the target.
  std::uint32_t OwnInFlight = 0;
  /// Start of the target's process in Unix milliseconds.
  std::uint64_t StartedAtMilliseconds = 0;
  /// The target gets no request unless an answer to a probe admits it.
  bool NeedsProbe = false;
  /// This host has an idle connection to the target.
  bool HasIdleConnection = true;
  /// The target has registered only lately, after this host had learned of the
  /// others.
  bool HasJoinedLately = false;
};

/// A candidate with the result of its probe.
struct ProbedCandidate {
  TargetCandidate Target;
  LoadReport Load;
  /// False when the target reports itself as unhealthy.
  bool IsHealthy = true;
};

/// Expected latency of one request at a target, as a multiple of the typical
/// processing time. Queueing, slowdown and a cold start are included.
double expectedLatencyFactor(const ProbedCandidate &Candidate);

/// Number of slots that give a target its highest throughput. Targets slow down
/// when nearly all slots are busy, so that a target with six slots finishes
/// more requests with four of them busy than with six. With two slots, the
/// throughput is higher with both busy.
std::uint32_t usefulSlots(std::uint32_t Slots);

/// True when fewer than the useful slots of the target are busy and no request
/// is queued there.
bool hasFreeSlot(const LoadReport &Load);

/// Cost by which the candidates for a probe are ranked, without its random
/// part.
struct ProbeCost {
  bool IsSuspect = false;
  double Cost = 1;
};

std::vector<ProbeCost>
probeCosts(const std::vector<TargetCandidate> &Candidates,
           const RemoteFactors &Factors);

/// Returns the indices of at most Count candidates in the order in which they
/// are probed.
std::vector<std::size_t> rankProbes(const std::vector<ProbeCost> &Costs,
                                    std::size_t Count, Random &Generator);

/// Selects at most Count candidates to probe: suspect ones come last, then the
/// lowest expected latency by the cached load report comes first, with a
/// preference for the local failure domain. The weight of a report decreases
/// with its age, so that each candidate is probed again from time to time.
std::vector<TargetCandidate>
selectProbeCandidates(std::vector<TargetCandidate> Candidates,
                      std::size_t Count, Random &Generator,
                      const RemoteFactors &Factors = {});

/// Selects a target by the cached load reports, for times when the probe rate
/// limit allows no probe. Returns the index of a candidate with a free slot and
/// its usual speed, or nothing when no recent report shows one.
std::optional<std::size_t>
selectFromCachedLoad(const std::vector<TargetCandidate> &Candidates,
                     Random &Generator);

/// True when further probes are not worth their cost, because the target is
/// healthy, has a free useful slot and is about as fast as usual.
bool isGoodEnough(const ProbedCandidate &Candidate);

/// Returns the index of the target to use, or nothing without a candidate.
/// Healthy targets come before unhealthy ones and suspect ones come last within
/// each group; among the rest the lowest expected latency wins, where a remote
/// target must be faster than a local one by the factor.
std::optional<std::size_t>
selectTarget(const std::vector<ProbedCandidate> &Probed,
             const RemoteFactors &Factors = {});

} // namespace comfreyrill
