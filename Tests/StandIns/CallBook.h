#pragma once

#include "Web.h"

#include <array>
#include <vector>

namespace comfreyrill::standins {

/// What a caller was told about one send of a request.
enum class Told {
  Answer,
  /// A complete answer with a status other than 200.
  FailedAnswer,
  /// A 200 that does not belong to the request, or not as a whole.
  WrongAnswer,
  NotRun,
  Unknown,
  /// The connection ended after the request was written.
  Broken,
  /// No connection, or it ended before a byte was written.
  NotSent,
  TimedOut,
};
inline constexpr std::size_t ToldKinds = 8;

std::string_view toldName(Told Kind);

/// Judges a response against the request it was received for. A response of a
/// host states its outcome; one of a target, asked directly, is an answer
/// unless it was shed.
Told judgeResponse(const HttpResponse &Response, std::string_view Token,
                   std::size_t AnswerBytes);

/// One send of a request and what came of it.
struct SendRecord {
  /// Empty when the token does not stand for this send alone.
  std::string Token;
  std::string Key;
  std::string RequestId;
  std::string Host;
  Told Outcome = Told::Broken;
  std::string Reason;
  TimePoint Sent;
  TimePoint Ended;
};

/// What one caller sent and was told.
class CallBook {
public:
  /// Without rows only counts and times are kept.
  explicit CallBook(bool KeepRows) : KeepRows(KeepRows) {}

  void recordSend(SendRecord Record);
  /// The end of a call after all its sends. Times of answered calls count from
  /// the moment at which the call was due.
  void recordCall(Told Last, Duration Elapsed);
  void recordSkipped() { ++Skipped; }

  std::uint64_t calls() const;
  std::uint64_t sends(Told Kind) const { return Sends[index(Kind)]; }
  boost::json::object toJson(Duration Length) const;

private:
  static std::size_t index(Told Kind) { return static_cast<std::size_t>(Kind); }

  bool KeepRows;
  std::array<std::uint64_t, ToldKinds> Sends{};
  std::array<std::uint64_t, ToldKinds> Calls{};
  /// Calls that were due while too many others were outstanding.
  std::uint64_t Skipped = 0;
  std::vector<std::int64_t> Nanoseconds;
  std::vector<SendRecord> Rows;
};

/// The value below which the share of the sorted values lies; 0 if none.
double quantile(const std::vector<std::int64_t> &Sorted, double Share);

} // namespace comfreyrill::standins
