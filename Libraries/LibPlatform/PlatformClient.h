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
  /// Longest time for one call to one endpoint, besides the wait of a watch.
  Duration AttemptTimeout = std::chrono::seconds(1);
  BackoffPolicy Backoff;
};

/// HTTP calls made, for the metrics; the platform charges each one.
struct PlatformCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Updates = 0;
  std::uint64_t Watches = 0;
  /// Calls and connection attempts without a usable answer.
  std::uint64_t Failures = 0;
};

/// Client of the platform's object API. It keeps to one endpoint while that
/// answers, and goes to the next one when it does not.
class PlatformClient {
public:
  PlatformClient(const Executor &Context, const Clock &TimeSource,
                 PlatformSettings Settings, Random Generator);

  /// Reads an object, trying all endpoints in turn with growing pauses until
  /// the deadline. Fails with NotFound, InvalidInput or TooLarge (unusable
  /// answers from every endpoint), or Unavailable.
  Awaitable<Result<StoredObject>> read(std::string Key, TimePoint Deadline);

  /// Stores a value if the object still has the version; 0 creates it. Another
  /// endpoint is tried only while no byte of the update can have arrived.
  Awaitable<UpdateResult> update(std::string Key, std::string Value,
                                 ObjectVersion BasedOn, TimePoint Deadline);

  /// Waits until the object's version exceeds the given one. Yields nothing
  /// when it has not within the wait. Each endpoint is tried once; the caller
  /// pauses with retryDelay after a failure. Fails like read.
  Awaitable<Result<std::optional<StoredObject>>>
  watch(std::string Key, ObjectVersion After, Duration Wait);

  /// Ends all calls in progress, which then fail, and refuses new ones.
  void close();

  /// Closes connections that have been idle for too long.
  void closeExpired() { Pool.closeExpired(); }

  const PlatformCallCounts &counts() const { return Counts; }

private:
  using ReadResult = Result<std::optional<StoredObject>>;

  Awaitable<ReadResult> readRound(std::string Target, std::uint64_t &Counter,
                                  Duration AttemptTime, TimePoint Deadline);
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
  std::unordered_set<std::shared_ptr<HttpConnection>> Active;
  PlatformCallCounts Counts;
  std::size_t Preferred = 0;
  bool IsClosed = false;
};

} // namespace comfreyrill
