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

/// One start of a request at a target. A request that was shed or cancelled
/// while it queued has no run.
struct Run {
  std::string Target;
  std::string Token;
  std::string IdempotencyKey;
  std::string RequestId;
  std::string BodyDigest;
  TimePoint Started;
  RunEnd End = RunEnd::Running;
};

/// All runs of the targets of one process, in the order of their starts.
class RunBook {
public:
  /// Records a start; the number addresses the run in finish.
  std::size_t start(Run Started);
  void finish(std::size_t Number, RunEnd End);
  const std::vector<Run> &runs() const { return Runs; }
  /// {"runs":[[target,token,key,request id,digest,start in ms,end],...]}; rows
  /// without member names keep a book of 100,000 runs short. From is the first
  /// row, Next the row to ask for later.
  boost::json::object toJson(std::size_t From) const;

private:
  std::vector<Run> Runs;
};

std::string_view runEndName(RunEnd End);

} // namespace comfreyrill::standins
