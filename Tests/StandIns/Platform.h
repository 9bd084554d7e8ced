#pragma once

#include "HttpHelpers.h"
#include "PlatformStore.h"

#include <memory>
#include <set>

namespace comfreyrill::standins {

enum class OutageKind { None, Refuse, Unavailable };

/// Injected faults. They apply until they are replaced or their duration ends.
struct PlatformFaults {
  OutageKind Outage = OutageKind::None;
  /// Delay added to each response.
  Duration Delay{};
  /// Number of next updates that are stored but whose responses are dropped.
  std::uint32_t DroppedResponses = 0;
  /// Reads return the version that is this many versions older than the newest.
  std::uint32_t StaleVersions = 0;
  /// Duration of the faults; 0 means unlimited.
  Duration Length{};
};

Result<PlatformFaults> parseFaults(const boost::json::object &Object);

/// Number of calls since the start, by kind.
struct PlatformCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Updates = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Watches = 0;
  /// Calls that were rejected during an outage of kind Unavailable.
  std::uint64_t Unavailable = 0;
};

/// Serves the platform's object API and a test control API over HTTP. The
/// control API has its own listener, because it must stay reachable while the
/// object API refuses connections.
class Platform : public std::enable_shared_from_this<Platform> {
public:
  Platform(const Executor &Context, const Clock &TimeSource);

  Result<void> listen(const Endpoint &Objects, const Endpoint &Control);
  Endpoint objectsEndpoint() const { return ObjectsAddress; }
  Endpoint controlEndpoint() const { return ControlServer->localEndpoint(); }

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);
  void setFaults(const PlatformFaults &NewFaults);
  void close();

  PlatformStore &store() { return Store; }
  const PlatformCounts &counts() const { return Counts; }
  std::size_t pendingWatches() const { return Watchers.size(); }

private:
  struct Watcher;

  Result<void> openObjects();
  void closeObjects();
  Awaitable<HttpResponse> handleObject(HttpRequest Request,
                                       std::shared_ptr<Disconnect> CallerLeft,
                                       RequestTarget Target);
  HttpResponse handleControl(const HttpRequest &Request,
                             const RequestTarget &Target);
  HttpResponse read(const std::string &Key);
  HttpResponse update(const std::string &Key, const HttpRequest &Request);
  Awaitable<HttpResponse> watch(std::string Key, RequestTarget Target,
                                std::shared_ptr<Disconnect> CallerLeft);
  void notifyWatchers(const std::string &Key);

  Executor Context;
  const Clock &TimeSource;
  PlatformStore Store;
  PlatformFaults Faults;
  PlatformCounts Counts;
  std::map<std::string, std::uint64_t> CallsByKey;
  Endpoint ObjectsAddress;
  std::shared_ptr<HttpServer> ObjectsServer;
  std::shared_ptr<HttpServer> ControlServer;
  Timer FaultsTimer;
  std::set<std::shared_ptr<Watcher>> Watchers;
};

} // namespace comfreyrill::standins
