#pragma once

#include "ActiveDocuments.h"
#include "CallService.h"

#include <LibMembership/MemberTable.h>

#include <functional>

namespace comfreyrill {

/// Updates the metrics that are read from other services before GET /metrics
/// prints all of them.
using MetricsUpdater = std::function<void(Metrics &ProcessMetrics)>;

/// HTTP interface for operators: status, manifest, decision log, metrics and
/// drain.
class AdminApi {
public:
  AdminApi(const DaemonDependencies &Dependencies, const MemberTable &Members,
           const ActiveDocuments &Documents, MetricsUpdater UpdateMetrics,
           std::function<void()> StartDrain);

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);

private:
  std::string status() const;
  Awaitable<HttpResponse> decisions(std::string Path);

  DaemonDependencies Dependencies;
  const MemberTable &Members;
  const ActiveDocuments &Documents;
  MetricsUpdater UpdateMetrics;
  std::function<void()> StartDrain;
};

/// Names of host states in the status and the host report: starting, ready,
/// leaving, suspect or lost. A peer that is not alive is suspect or lost,
/// whatever state it announced.
std::string_view hostStateName(HostState State);
std::string_view peerStateName(Liveness PeerLiveness, HostState AnnouncedState);

} // namespace comfreyrill
