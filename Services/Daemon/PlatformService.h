#pragma once

#include "CallExecution.h"
#include "ManifestKeeper.h"

#include <LibMembership/MemberTable.h>

#include <functional>
#include <vector>

namespace comfreyrill {

/// Reads and watches the platform's objects, registers this host, and writes
/// the report when this host is the reporter.
class PlatformService : public std::enable_shared_from_this<PlatformService> {
public:
  PlatformService(const ExecutionContext &Environment,
                  std::vector<Endpoint> Endpoints, MemberTable &Members,
                  ManifestKeeper &Documents, std::function<void()> Announce);

  void start();
  /// Takes this host out of the list of hosts; gives up after a short time.
  Awaitable<void> unregister();

private:
  ExecutionContext Environment;
};

} // namespace comfreyrill
