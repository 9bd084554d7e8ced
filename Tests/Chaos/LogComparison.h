#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill::chaos {

/// A run of a request at a target, read from the run log.
struct RunRow {
  std::string Target;
  std::string Token;
  std::string Key;
  std::string RequestId;
};

/// A send of a request and its outcome, read from a caller's log.
struct SendRow {
  std::string Token;
  std::string Key;
  std::string RequestId;
  std::string Host;
  std::string Outcome;
  std::string Reason;
  double SentMs = 0;
  double EndedMs = 0;
};

/// Lifetime of one process of a host, with the events that explain lost
/// connections.
struct HostLifetime {
  std::string CallerAddress;
  double StartedMs = 0;
  /// Start of the planned stop; 0 if there was none.
  double StopStartedMs = 0;
  /// End of the process.
  double EndedMs = 0;
  /// The process was killed or frozen, so lost connections are expected.
  bool WasKilledOrFrozen = false;
};

struct Findings {
  std::uint64_t DoubleRuns = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t InterruptedCalls = 0;
  /// Lost connections and timeouts without a kill, freeze or planned stop of
  /// the host.
  std::uint64_t UnexplainedConnectionLosses = 0;
  /// Maximum number of runs of one crashing request; each run crashes a target.
  std::uint64_t MaximumCrashesPerRequest = 0;
  /// One line for each violation.
  std::vector<std::string> Lines;
};

std::vector<RunRow> readRuns(const boost::json::object &RunLog);
std::vector<SendRow> readSends(const boost::json::object &CallLog);

/// Compares the outcomes that callers observed with the runs at the targets.
Findings compareLogs(const std::vector<SendRow> &Sends,
                     const std::vector<RunRow> &Runs,
                     const std::vector<HostLifetime> &Lifetimes);

} // namespace comfreyrill::chaos
