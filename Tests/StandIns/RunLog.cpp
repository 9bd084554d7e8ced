#include "RunLog.h"

#include "HttpHelpers.h"

#include <algorithm>

namespace comfreyrill::standins {

std::size_t RunLog::start(Run Started) {
  Runs.push_back(std::move(Started));
  return Runs.size() - 1;
}

void RunLog::finish(std::size_t Number, RunEnd End) {
  // The first end is kept: after a crash, the handlers of the crashed runs
  // return later and report their end again.
  if (Runs[Number].End == RunEnd::Running)
    Runs[Number].End = End;
}

boost::json::object RunLog::toJson(std::size_t From) const {
  boost::json::array Rows;
  for (std::size_t Index = std::min(From, Runs.size()); Index < Runs.size();
       ++Index) {
    const Run &Row = Runs[Index];
    Rows.push_back(boost::json::array{
        Row.Target, Row.Token, Row.IdempotencyKey, Row.RequestId,
        Row.BodyDigest, bootMilliseconds(Row.Started), runEndName(Row.End)});
  }
  return {{"columns", boost::json::array{"target", "token", "key", "request_id",
                                         "body_digest", "started_ms", "end"}},
          {"next", Runs.size()},
          {"runs", std::move(Rows)}};
}

std::string_view runEndName(RunEnd End) {
  switch (End) {
  case RunEnd::Running:
    return "running";
  case RunEnd::Answered:
    return "answered";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Cancelled:
    return "cancelled";
  case RunEnd::DeadlinePassed:
    return "deadline_passed";
  case RunEnd::Crashed:
    return "crashed";
  }
  return "";
}

} // namespace comfreyrill::standins
