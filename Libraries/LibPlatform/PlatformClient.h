#pragma once

#include <LibCore/Random.h>
#include <LibHttp/ConnectionPool.h>
#include <LibPlatform/Backoff.h>
#include <LibPlatform/PlatformAnswer.h>

#include <unordered_set>
#include <vector>

namespace comfreyrill {

struct PlatformSettings {
  std::vector<Endpoint> Endpoints;
  /// Timeout of one call to one endpoint, not including the wait of a watch.
  Duration AttemptTimeout = std::chrono::seconds(1);
  BackoffPolicy Backoff;
};

/// Counts of HTTP calls for the metrics; the platform charges for each call.
struct PlatformCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Updates = 0;
  std::uint64_t Watches = 0;
  /// Calls and connection attempts without a usable response.
  std::uint64_t Failures = 0;
};

/// Client of the platform's object API. The client uses one endpoint until a
/// call to it fails, and then fails over to the next endpoint.
class PlatformClient {
public:
  PlatformClient(const Executor &Context, const Clock &TimeSource,
                 PlatformSettings Settings, Random Generator);

  /// Reads an object, trying all endpoints in turn and retrying with backoff
  /// until the deadline. Fails with NotFound, InvalidInput or TooLarge
  /// (unusable responses from every endpoint), or Unavailable.
  Awaitable<Result<StoredObject>> read(std::string Key, TimePoint Deadline);

  /// Stores a value if the object still has the version BasedOn; 0 creates the
  /// object. The client fails over to another endpoint only if the update was
  /// not executed.
  Awaitable<UpdateResult> update(std::string Key, std::string Value,
                                 ObjectVersion BasedOn, TimePoint Deadline);

  /// Waits until the object's version exceeds After. Returns nothing if the
  /// version does not change within the wait. Each endpoint is tried once; the
  /// caller waits for retryDelay after a failure. Fails like read.
  Awaitable<Result<std::optional<StoredObject>>>
  watch(std::string Key, ObjectVersion After, Duration Wait);

  /// Cancels all calls in progress, which then fail, and refuses new calls.
  void close();

  /// Closes pooled connections whose idle timeout has expired.
  void closeExpired() { Pool.closeExpired(); }

  const PlatformCallCounts &counts() const { return Counts; }

private:
  using ReadResult = Result<std::optional<StoredObject>>;

  Awaitable<ReadResult> readFromAnyEndpoint(std::string Target,
                                            std::uint64_t &Counter,
                                            Duration AttemptDuration,
                                            TimePoint Deadline);
  Awaitable<ReadResult> readOnce(Endpoint Remote, std::string Target,
                                 std::uint64_t &Counter, TimePoint Deadline);
  Awaitable<UpdateResult> updateOnce(Endpoint Remote, HttpRequest Request,
                                     TimePoint Deadline);
  void useNextEndpoint();
  Error unavailable(const Error &Cause) const;

  Executor Context;
  const Clock &TimeSource;
  PlatformSettings Settings;
  Random Generator;
  ConnectionPool Pool;
  std::unordered_set<std::shared_ptr<HttpConnection>> ActiveConnections;
  PlatformCallCounts Counts;
  std::size_t PreferredEndpoint = 0;
  bool IsClosed = false;
};

} // namespace comfreyrill
