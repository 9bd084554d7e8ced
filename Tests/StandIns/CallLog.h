#pragma once

#include "HttpHelpers.h"

#include <array>
#include <vector>

namespace comfreyrill::standins {

/// Outcome of one send of a request, as its caller observed it.
enum class SendOutcome {
  Answer,
  /// A complete response with a status other than 200.
  FailedAnswer,
  /// A 200 response whose body does not match the request.
  WrongAnswer,
  NotRun,
  Unknown,
  /// The connection ended after the request was written.
  Broken,
  /// No connection was established, or it ended before a byte was written.
  NotSent,
  TimedOut,
};
inline constexpr std::size_t SendOutcomeCount = 8;

std::string_view sendOutcomeName(SendOutcome Kind);

/// Classifies a response to the request with the given token. A response from
/// a host states the outcome in a header; a response received directly from a
/// target is an answer unless the target shed the request.
SendOutcome classifyResponse(const HttpResponse &Response,
                             std::string_view Token, std::size_t AnswerBytes);

/// One send of a request and its outcome.
struct SendRecord {
  /// Empty when other sends use the same token.
  std::string Token;
  std::string Key;
  std::string RequestId;
  std::string Host;
  SendOutcome Outcome = SendOutcome::Broken;
  std::string Reason;
  TimePoint Sent;
  TimePoint Ended;
};

/// Records the sends of one caller and their outcomes.
class CallLog {
public:
  /// Without rows, the log keeps only counts and latencies.
  explicit CallLog(bool KeepRows) : KeepRows(KeepRows) {}

  void recordSend(SendRecord Record);
  /// Records the end of a call after all its sends. The latency of an answered
  /// call is measured from the time at which the call was due.
  void recordCall(SendOutcome Last, Duration Elapsed);
  void recordSkipped() { ++Skipped; }

  std::uint64_t calls() const;
  std::uint64_t sends(SendOutcome Kind) const { return Sends[index(Kind)]; }
  boost::json::object toJson(Duration Length) const;

private:
  static std::size_t index(SendOutcome Kind) {
    return static_cast<std::size_t>(Kind);
  }

  bool KeepRows;
  std::array<std::uint64_t, SendOutcomeCount> Sends{};
  std::array<std::uint64_t, SendOutcomeCount> Calls{};
  /// Calls that were not sent because the limit of outstanding calls was
  /// reached when they were due.
  std::uint64_t Skipped = 0;
  std::vector<std::int64_t> Nanoseconds;
  std::vector<SendRecord> Rows;
};

/// Returns the nearest-rank quantile of the sorted values, or 0 if there are
/// none.
double quantile(const std::vector<std::int64_t> &Sorted, double Share);

} // namespace comfreyrill::standins
