#pragma once

#include "Broadcast.h"
#include "CallExecution.h"

#include <LibQuarantine/Quarantine.h>

namespace comfreyrill {

/// Evidence of requests that crash targets, shared with the other hosts.
class QuarantineService {
public:
  QuarantineService(const DaemonDependencies &Dependencies,
                    Broadcast &PeerBroadcast);

  /// False while no request is suspected; then nothing has to be asked.
  bool hasEvidence() const { return !State.Requests.empty(); }
  bool isQuarantined(std::uint64_t Fingerprint) const;

  /// Called by executions; tells the peers.
  void onCrash(std::uint64_t Fingerprint, const TargetId &Target);
  void onAnswer(std::uint64_t Fingerprint);
  CrashRetryDecision retryDecision(std::uint64_t Fingerprint,
                                   TimePoint CrashedAt) const;

  bool hasCrashEvidence(std::uint64_t Fingerprint) const {
    return comfreyrill::hasCrashEvidence(State, Fingerprint);
  }

  /// Tells a host that has just started what is known. Without it the new
  /// process would run requests that all others refuse.
  void sendSnapshot(const Endpoint &Remote);

  /// Evidence of another host.
  void onEvidence(const wire::CrashEvidence &Message);

private:
  void log(std::uint64_t Fingerprint, const TargetId &Target,
           std::string_view Decision) const;

  DaemonDependencies Dependencies;
  Broadcast &PeerBroadcast;
  QuarantineState State;
};

/// The hooks by which an execution reports to the quarantine. The fingerprint
/// is only computed when it is needed.
CrashHooks makeCrashHooks(QuarantineService &Quarantine,
                          std::function<std::uint64_t()> Fingerprint);

} // namespace comfreyrill
