#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyrill::chaos {

/// A run of a request at a target, read from a run book.
struct RunRow {
  std::string Target;
  std::string Token;
  std::string Key;
  std::string RequestId;
};

/// A send of a request and its outcome, read from a caller's book.
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

/// What happened to one process of a host.
struct HostLife {
  std::string CallerAddress;
  double StartedMs = 0;
  /// When the planned stop began; 0 when the process had none.
  double StopBeganMs = 0;
  /// When the process ended.
  double EndedMs = 0;
  /// Killed or frozen: broken calls are then expected.
  bool Disturbed = false;
};

struct Findings {
  std::uint64_t DoubleRuns = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t CutCalls = 0;
  /// Broken connections that neither a kill, a freeze nor a planned stop
  /// explains.
  std::uint64_t UnexplainedBreaks = 0;
  /// Most targets that one crashing request took down.
  std::uint64_t MostCrashes = 0;
  /// One line for each violation.
  std::vector<std::string> Lines;
};

std::vector<RunRow> readRuns(const boost::json::object &RunBook);
std::vector<SendRow> readSends(const boost::json::object &CallBook);

/// Compares what the callers were told with what the targets ran.
Findings compareBooks(const std::vector<SendRow> &Sends,
                      const std::vector<RunRow> &Runs,
                      const std::vector<HostLife> &Lives);

} // namespace comfreyrill::chaos
