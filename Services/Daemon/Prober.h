#pragma once

#include "Broadcast.h"
#include "CallExecution.h"

namespace comfreyrill {

/// Probes targets for their load, within the probe budget of each service.
class Prober {
public:
  Prober(const DaemonDependencies &Dependencies, Broadcast &PeerBroadcast);

  /// Starts a probe when the budget allows one and a target is due for it.
  void probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime);

  /// Records the result of another host's probe.
  void onNotice(const wire::ProbeNotice &Message);

private:
  void notifyPeers(const ServiceName &Name, const TargetId &Target,
                   bool IsDraining);
  Awaitable<void> probe(std::shared_ptr<ServiceRuntime> Runtime,
                        TargetIndex Index, TargetConfig Target);

  DaemonDependencies Dependencies;
  Broadcast &PeerBroadcast;
};

/// Parses the answer to GET /load. Fails with InvalidInput.
Result<LoadReport> parseLoadAnswer(std::string_view Text);

} // namespace comfreyrill
