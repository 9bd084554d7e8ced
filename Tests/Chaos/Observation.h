#pragma once

#include "Fleet.h"

#include <LibCore/Async.h>
#include <LibCore/Random.h>
#include <LibHttp/HttpClient.h>

#include <map>

namespace comfreyrill::chaos {

/// State shared by the coroutines of one run.
struct ChaosRun {
  asio::io_context Context{1};
  SystemClock TimeSource;
  Random Generator;
  /// End of operator changes and faults; monitors continue until Done.
  TimePoint FaultsUntil;
  bool Done = false;
  /// Highest manifest number that an operator has confirmed as accepted.
  std::uint64_t HighestAccepted = 1;
  std::uint64_t Applied = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t ConfirmedAfterLostResponse = 0;
  std::uint64_t Reversions = 0;
  std::vector<std::string> Violations;
  /// Manifest number that each host reported last, kept across its processes,
  /// to detect reversions.
  std::map<std::string, std::uint64_t> ReferenceManifestNumbers;
  /// Latest manifest number of each host; hosts that have not reported one have
  /// no entry.
  std::map<std::string, std::uint64_t> LatestManifestNumbers;
};

Awaitable<void> sleepFor(ChaosRun &Current, Duration Length);

/// Sends one HTTP request; fails after 1 s, or after 20 s for /control/runs.
Awaitable<Result<HttpResponse>> sendRequest(ChaosRun &Current, Endpoint Remote,
                                            http::verb Method, std::string Path,
                                            std::string Body = "",
                                            std::string IfMatch = "");

/// Simulates one of several operators that repeatedly change the manifest.
Awaitable<void> runOperator(ChaosRun &Current, Fleet &Processes,
                            std::string Name);

/// Polls the manifest number of a host and records each reversion.
Awaitable<void> monitorHost(ChaosRun &Current, Host &Watched);

} // namespace comfreyrill::chaos
