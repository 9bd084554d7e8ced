#pragma once

#include <LibCore/Clock.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace comfreyrill::standins {

enum class RunEnd {
  Running,
  Answered,
  Failed,
  Cancelled,
  DeadlinePassed,
  Crashed
};

/// One execution of a request at a target. A request that was shed, or
/// cancelled while it was queued, has no run.
struct Run {
  std::string Target;
  std::string Token;
  std::string IdempotencyKey;
  std::string RequestId;
  std::string BodyDigest;
  TimePoint Started;
  RunEnd End = RunEnd::Running;
};

/// Records all runs of the targets of one process in the order in which they
/// started.
class RunLog {
public:
  /// Records the start of a run and returns the number to pass to finish.
  std::size_t start(Run Started);
  void finish(std::size_t Number, RunEnd End);
  const std::vector<Run> &runs() const { return Runs; }
  /// Returns {"columns":[...],"next":N,"runs":[[target,token,key,request id,
  /// digest,start in ms,end],...]}. Rows have no member names, which keeps the
  /// output for 100,000 runs small. From is the index of the first row to
  /// return; "next" is the index to pass in a later call.
  boost::json::object toJson(std::size_t From) const;

private:
  std::vector<Run> Runs;
};

std::string_view runEndName(RunEnd End);

} // namespace comfreyrill::standins
