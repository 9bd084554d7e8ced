#pragma once

#include "Fleet.h"

#include <LibCore/Async.h>
#include <LibCore/Random.h>
#include <LibHttp/HttpClient.h>

#include <map>

namespace comfreyrill::chaos {

/// State that the coroutines of one run share.
struct Run {
  asio::io_context Context{1};
  SystemClock TimeSource;
  Random Generator;
  /// Operators and faults stop here; monitors go on until Done.
  TimePoint FaultsUntil;
  bool Done = false;
  /// Numbers that an operator knows to be accepted.
  std::uint64_t HighestAccepted = 1;
  std::uint64_t Applied = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t RecognisedAfterLoss = 0;
  std::uint64_t Reversions = 0;
  std::vector<std::string> Violations;
  /// Highest number that each host has shown, over all its processes.
  std::map<std::string, std::uint64_t> HighestShown;
  /// What each host showed last, and whether it answered.
  std::map<std::string, std::uint64_t> ShownNow;
};

Awaitable<void> pause(Run &Current, Duration Length);

/// One exchange; fails with an error after a second.
Awaitable<Result<HttpResponse>> ask(Run &Current, Endpoint Remote,
                                    http::verb Method, std::string Path,
                                    std::string Body = "",
                                    std::string IfMatch = "");

/// Changes the manifest again and again, as one of several operators.
Awaitable<void> operate(Run &Current, Fleet &Processes, std::string Name);

/// Reads the manifest number of a host and notes each step back.
Awaitable<void> watchHost(Run &Current, Host &Watched);

} // namespace comfreyrill::chaos
