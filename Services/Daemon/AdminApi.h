#pragma once

#include "ActiveDocuments.h"
#include "CallService.h"

#include <LibMembership/MemberTable.h>

#include <functional>

namespace comfreyrill {

/// Figures that GET /metrics adds to those of the calls.
using MetricsUpdater = std::function<void(Metrics &ProcessMetrics)>;

/// What operators see of a host: status, decisions, metrics and drain.
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

/// The state of a host as in the status and the report: starting, ready,
/// leaving, suspect or lost.
std::string_view hostStateName(HostState State);
std::string_view peerStateName(Liveness PeerLiveness, HostState AnnouncedState);

} // namespace comfreyrill
