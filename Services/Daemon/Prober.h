#pragma once

#include "Broadcast.h"
#include "CallExecution.h"

namespace comfreyrill {

/// Asks targets for their load within the measurement budget.
class Prober {
public:
  Prober(const DaemonDependencies &Dependencies, Broadcast &PeerBroadcast);

  /// Starts a probe when the budget allows one and something is worth asking.
  void probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime);

  /// What another host found.
  void onNotice(const wire::ProbeNotice &Message);

private:
  void notifyPeers(const ServiceName &Name, const TargetId &Target,
                   const LoadReport &ReportedLoad);
  Awaitable<void> probe(std::shared_ptr<ServiceRuntime> Runtime,
                        TargetIndex Index, TargetConfig Target);

  DaemonDependencies Dependencies;
  Broadcast &PeerBroadcast;
};

/// Reads the answer to GET /load. Fails with InvalidInput.
Result<LoadReport> parseLoadAnswer(std::string_view Text);

} // namespace comfreyrill
