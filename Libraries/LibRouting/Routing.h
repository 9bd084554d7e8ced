#pragma once

#include <LibRouting/RoutingState.h>
#include <LibRouting/TargetChoice.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Applies a new configuration. Targets that remain keep their state.
void updateTargets(RoutingState &State, const ServiceConfig &Config,
                   TimePoint Now);

/// Sets the number of hosts by which fleet-wide limits are divided.
void setHostsMaximum(RoutingState &State, std::uint32_t HostsMaximum);

/// Counts a call that this host handles. Called once per call, before its first
/// attempt. Each call adds tokens to the retry, hedge and probe budgets.
void recordCall(RoutingState &State, TimePoint Now);

/// Counts an attempt that is about to be sent. Returns true when it is the
/// first one after a pause of the target.
bool recordAttemptStart(RoutingState &State, TargetIndex Target, TimePoint Now);

/// Records the result of an attempt that has ended.
void recordAttemptEnd(RoutingState &State, const AttemptResult &Result,
                      TimePoint Now);

/// Records a load report of a target. It ends draining only if its request was
/// sent after the last report of the draining state had arrived. If an answer
/// carried the report, call this after recordAttemptEnd().
void recordLoadReport(RoutingState &State, TargetIndex Target,
                      const LoadReport &Report, TimePoint Now);

/// Records the result of a probe that another host made at ReportedAt. Only the
/// draining state is used, because the load is out of date on arrival.
void recordPeerProbe(RoutingState &State, TargetIndex Target,
                     const LoadReport &Report, TimePoint ReportedAt,
                     TimePoint Now);

/// Records whether a target says that it drains. The target counts as draining
/// while it says so or its machine is leaving; slow start begins when that
/// ends.
void recordDraining(RoutingState &State, TargetIndex Target, bool Draining,
                    TimePoint Now);

/// Records an answer that says that its target drains and carries no load.
void recordDrainingAnswer(RoutingState &State, TargetIndex Target,
                          TimePoint Now);

/// Records whether the machine of a target is leaving the fleet.
void recordLeavingMachine(RoutingState &State, TargetIndex Target,
                          bool IsLeaving, TimePoint Now);

/// Replaces the in-flight counts of another host. Targets that are not listed
/// count as idle.
void recordPeerLoad(RoutingState &State, const HostId &Peer,
                    const std::vector<PeerTargetLoad> &Loads, TimePoint Now);

/// Removes the in-flight counts of a host that has failed or left.
void removePeer(RoutingState &State, const HostId &Peer);

/// Properties of a call whose last attempt got no answer.
struct RetryInput {
  /// Attempts of this call so far, hedges included.
  std::uint32_t Attempts = 1;
  /// Nesting level of the call; 1 for a call from outside.
  std::uint32_t Depth = 1;
  bool Idempotent = false;
  /// The target is proved not to have executed the attempt.
  bool ProvedNotRun = false;
  TimePoint Deadline;
};

/// Takes a token from the retry budget if the call may be retried. Returns
/// whether it may.
bool tryAcquireRetry(RoutingState &State, const RetryInput &Input,
                     TimePoint Now);

/// Delay between the start of an attempt and its hedge.
Duration hedgeDelay(const RoutingState &State);

/// Properties of a call that may be hedged.
struct HedgeInput {
  std::uint32_t Depth = 1;
  bool Idempotent = false;
  TimePoint Deadline;
};

/// Takes a token from the hedge budget if the call may be hedged. Returns
/// whether it may.
bool tryAcquireHedge(RoutingState &State, const HedgeInput &Input,
                     TimePoint Now);

/// Returns the target to probe now and takes a token from the probe budget.
/// Returns nullopt if the budget does not permit a probe or all reports are
/// recent. The caller passes the result of the probe to recordLoadReport() and
/// to the other hosts, which pass it to recordPeerProbe().
std::optional<TargetIndex> chooseProbeTarget(RoutingState &State,
                                             TimePoint Now);

/// Appends the call to the queue of the service, or returns the reason why it
/// is refused.
Admission admitToQueue(RoutingState &State, std::uint64_t WaiterId,
                       TimePoint Deadline, TimePoint Now);

/// Removes and returns the waiting calls that must be refused now: calls that
/// can no longer be answered before their deadline and, under overload, calls
/// that have waited too long. Called every few milliseconds while calls wait.
/// The other calls leave the queue through headOfQueue() and removeFromQueue().
std::vector<std::uint64_t> removeExpiredCalls(RoutingState &State,
                                              TimePoint Now);

} // namespace comfreyrill
