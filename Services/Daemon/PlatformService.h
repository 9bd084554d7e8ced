#pragma once

#include "ActiveDocuments.h"
#include "CallExecution.h"

#include <LibMembership/HostsObject.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/Roles.h>
#include <LibPlatform/PlatformClient.h>

#include <functional>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Reads and watches the platform's objects, registers this host there, and
/// writes the host report when this host is the reporter.
class PlatformService : public std::enable_shared_from_this<PlatformService> {
public:
  PlatformService(const DaemonDependencies &Dependencies,
                  std::vector<Endpoint> Endpoints, MemberTable &Members,
                  ActiveDocuments &Documents, std::function<void()> Announce);

  void start();
  const PlatformCallCounts &counts() const { return Client.counts(); }
  /// Removes this host from the object `hosts`; gives up after a timeout.
  Awaitable<void> unregister();

private:
  enum class Document { Manifest, Fleet };

  Awaitable<void> syncDocument(Document Subject);
  /// Reads a document, or waits for WatchTime until it changes.
  Awaitable<void> fetchDocument(Document Subject, ObjectVersion &Version,
                                std::optional<Duration> WatchTime);
  Awaitable<void> maintainHosts();
  Awaitable<void> refreshHosts();
  Awaitable<void> writeReports();
  Awaitable<void> writeReport();
  /// Applies a change to the object `hosts` with optimistic concurrency control
  /// and retries after conflicts, a limited number of times. Returns true when
  /// the change has taken effect or was not needed.
  Awaitable<bool> updateHosts(std::function<bool(HostsObject &)> Change);
  void applyObject(Document Subject, const StoredObject &Object);
  TimePoint callDeadline() const;
  void recordReachability(bool IsReached);
  Awaitable<void> pause(Duration Length);

  DaemonDependencies Dependencies;
  PlatformClient Client;
  MemberTable &Members;
  ActiveDocuments &Documents;
  std::function<void()> Announce;
  std::string LastReport;
  ObjectVersion ReportVersion;
};

} // namespace comfreyrill
