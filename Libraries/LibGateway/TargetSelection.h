#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibRouting/LoadReport.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace comfreyrill {

/// A target that a request may go to, before it is probed.
struct TargetCandidate {
  TargetId Id;
  /// In the failure domain of this host.
  bool IsInLocalDomain = false;
  /// One of the far targets that this host uses before the others, so that its
  /// connections to them stay in use.
  bool IsInPreferredSubset = true;
  /// Slow because it has just started.
  bool IsCold = false;
  /// Failed lately, or its registration is missing; used only when no other
  /// target is left.
  bool IsSuspect = false;
  /// Has failed requests lately and not answered one since; used only for
  /// requests that may run again.
  bool IsOnProbation = false;
  /// What was last heard of its load, and how long ago.
  std::optional<LoadReport> LastLoad;
  Duration LoadAge{0};
  /// Requests of this host that are there now.
  std::uint32_t OwnInFlight = 0;
};

/// A candidate and what a probe has just found.
struct ProbedCandidate {
  TargetCandidate Target;
  LoadReport Load;
  /// False when the target calls itself unhealthy.
  bool IsHealthy = true;
};

/// Time that one request is expected to take at a target, as a multiple of the
/// usual work time; queueing, slowdown and a cold start included.
double expectedLatencyFactor(const ProbedCandidate &Candidate);

/// Slots of a target that are worth filling. Targets slow down when nearly all
/// slots are busy, so that one with six slots finishes more work with four busy
/// than with six; with two slots, both are worth filling.
std::uint32_t usefulSlots(std::uint32_t Slots);

/// True when one of the useful slots of the target is free.
bool hasFreeSlot(const LoadReport &Load);

/// Candidates to probe, at most Count: trusted ones before doubtful ones, then
/// those that were last seen idle and fast, with a preference for near ones.
/// What was heard long ago counts little, so all of them are looked at again
/// from time to time.
std::vector<TargetCandidate>
selectProbeCandidates(std::vector<TargetCandidate> Candidates,
                      std::size_t Count, Random &Generator);

/// Index of a target that what is remembered shows to be free and at its usual
/// speed, for times when no probe may be sent. None when nothing is known that
/// is recent enough.
std::optional<std::size_t>
selectFromCachedLoad(const std::vector<TargetCandidate> &Candidates,
                     Random &Generator);

/// True when probing further targets is not worth its price: a useful slot is
/// free and the target is about as fast as usual.
bool isGoodEnough(const ProbedCandidate &Candidate);

/// Index of the target to use: healthy ones first, then the least expected
/// effort, where a far target has to be clearly better than a near one. None
/// when there is no candidate.
std::optional<std::size_t>
selectTarget(const std::vector<ProbedCandidate> &Probed);

} // namespace comfreyrill
