#pragma once

#include "Broadcast.h"
#include "CallExecution.h"

#include <LibQuarantine/Quarantine.h>

namespace comfreyrill {

/// Records evidence of requests that crash targets and shares it with the other
/// hosts.
class QuarantineService {
public:
  QuarantineService(const DaemonDependencies &Dependencies,
                    Broadcast &PeerBroadcast);

  /// False while no request is suspected; callers can then skip the fingerprint
  /// and the lookups.
  bool hasEvidence() const { return !State.Requests.empty(); }
  bool isQuarantined(std::uint64_t Fingerprint) const;

  /// Called by executions; both notify the peers of new evidence or of its
  /// removal.
  void onCrash(std::uint64_t Fingerprint, const TargetId &Target);
  void onAnswer(std::uint64_t Fingerprint);
  CrashRetryDecision retryDecision(std::uint64_t Fingerprint,
                                   TimePoint CrashedAt) const;

  bool hasCrashEvidence(std::uint64_t Fingerprint) const {
    return comfreyrill::hasCrashEvidence(State, Fingerprint);
  }

  /// Sends the current evidence to a host that has just started. Without the
  /// snapshot the new process would run requests that all other hosts refuse.
  void sendSnapshot(const Endpoint &Remote);

  /// Records evidence from another host.
  void onEvidence(const wire::CrashEvidence &Message);

private:
  void log(std::uint64_t Fingerprint, const TargetId &Target,
           std::string_view Decision) const;

  DaemonDependencies Dependencies;
  Broadcast &PeerBroadcast;
  QuarantineState State;
};

/// Returns the hooks through which an execution reports to the quarantine. The
/// fingerprint is only computed when it is needed.
CrashHooks makeCrashHooks(QuarantineService &Quarantine,
                          std::function<std::uint64_t()> Fingerprint);

} // namespace comfreyrill
