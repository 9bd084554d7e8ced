#pragma once

#include <LibRouting/RoutingState.h>
#include <LibRouting/TargetChoice.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Takes over a new configuration; state of targets that remain is kept.
void updateTargets(RoutingState &State, const ServiceConfig &Config,
                   TimePoint Now);

/// Sets the number by which limits of the fleet are divided.
void setHostsMaximum(RoutingState &State, std::uint32_t HostsMaximum);

/// Counts a call that this host handles, once and before its first attempt.
/// Calls earn the retry, hedge and measuring budgets.
void recordCall(RoutingState &State, TimePoint Now);

/// Counts an attempt that is about to be sent.
void recordAttemptStart(RoutingState &State, TargetIndex Target, TimePoint Now);

/// Takes account of an attempt that has ended.
void recordAttemptEnd(RoutingState &State, const AttemptResult &Result,
                      TimePoint Now);

/// Takes account of a load that the target stated. Follows recordAttemptEnd
/// when an answer carried it.
void recordLoadReport(RoutingState &State, TargetIndex Target,
                      const LoadReport &Report, TimePoint Now);

/// Takes what another host learned from a probe at ReportedAt. Only whether the
/// target drains counts; the load is out of date by then.
void recordPeerProbe(RoutingState &State, TargetIndex Target,
                     const LoadReport &Report, TimePoint ReportedAt,
                     TimePoint Now);

/// Marks a target as leaving, or as back, on other grounds than its own report.
void recordDraining(RoutingState &State, TargetIndex Target, bool Draining,
                    TimePoint Now);

/// Takes the in-flight counts of another host in place of its earlier ones.
/// Targets that are not listed count as idle.
void recordPeerLoad(RoutingState &State, const HostId &Peer,
                    const std::vector<PeerTargetLoad> &Loads, TimePoint Now);

/// Drops the counts of a host that is lost.
void forgetPeer(RoutingState &State, const HostId &Peer);

/// What is known of an attempt that did not bring an answer.
struct RetryInput {
  /// Attempts of this call so far, hedges included.
  std::uint32_t Attempts = 1;
  /// Nesting level of the call; 1 for a call from outside.
  std::uint32_t Depth = 1;
  bool Idempotent = false;
  /// There is proof that the attempt did not run.
  bool ProvedNotRun = false;
  TimePoint Deadline;
};

/// Permits another attempt and takes it from the retry budget.
bool tryAcquireRetry(RoutingState &State, const RetryInput &Input,
                     TimePoint Now);

/// Time after the start of an attempt at which a hedge may start.
Duration hedgeDelay(const RoutingState &State);

/// What is known of the call that would be hedged.
struct HedgeInput {
  std::uint32_t Depth = 1;
  bool Idempotent = false;
  TimePoint Deadline;
};

/// Permits a hedge and takes it from the hedge budget.
bool tryAcquireHedge(RoutingState &State, const HedgeInput &Input,
                     TimePoint Now);

/// The target to probe now, taken from the measuring budget; none when the
/// budget or the state of knowledge does not call for one. The result of a
/// probe goes to recordLoadReport, and to the peers for recordPeerProbe.
std::optional<TargetIndex> chooseProbeTarget(RoutingState &State,
                                             TimePoint Now);

/// Joins the queue of the service, or says why the call is refused.
Admission admitToQueue(RoutingState &State, std::uint64_t WaiterId,
                       TimePoint Deadline, TimePoint Now);

/// Takes out the waiting calls that are to be refused now: those too late for
/// their deadline and, under overload, those that waited too long. Called every
/// few milliseconds while calls wait; headOfQueue() and removeFromQueue() serve
/// the others.
std::vector<std::uint64_t> removeExpiredCalls(RoutingState &State,
                                              TimePoint Now);

} // namespace comfreyrill
