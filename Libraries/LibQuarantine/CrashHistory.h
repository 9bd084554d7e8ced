#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace comfreyrill {

/// Digest of one process of a target, from its start to its end.
using TargetLifetime = std::uint64_t;

struct CrashHistoryLimits {
  /// Number of distinct target lifetimes that a request must have crashed, or
  /// have been running at when they crashed, before it is quarantined.
  std::size_t LifetimesMinimum = 3;
  /// Crashes within this time after the first one of a series have one cause: a
  /// kill of many targets crashes all that runs there at the same moment.
  Duration SeriesTime = std::chrono::milliseconds(500);
  /// Number of such series that a request must have taken part in.
  std::size_t SeriesMinimum = 2;
  /// Shortest quarantine, counted from the last crash. A host draws its own
  /// duration between this and twice as much, so that one host tries the
  /// request before the others do.
  Duration FirstQuarantine = std::chrono::seconds(10);
  /// Factor of the quarantine for each series above LifetimesMinimum.
  int QuarantineGrowth = 30;
  Duration QuarantineMaximum = std::chrono::minutes(30);
  /// After a quarantine, the time for which no second copy of the request is
  /// sent while the outcome of the first one is not known.
  Duration TrialTime = std::chrono::seconds(1);
  /// Age up to which an answer is part of summaries. A host that has missed it
  /// for longer tries the request after the quarantine.
  Duration SummaryAnswerAge = std::chrono::seconds(10);
  /// Age at which a crash or an answer is forgotten.
  Duration EvidenceLifetime = std::chrono::hours(1);
  /// Maximum number of requests that are stored.
  std::size_t RequestsMaximum = 2048;
  /// Maximum number of crashes that are stored for one request.
  std::size_t CrashesMaximum = 8;
};

/// A crash of a target process that was running a request.
struct RequestCrash {
  TargetLifetime Lifetime = 0;
  TimePoint Time;
};

/// Evidence for and against one request.
struct SuspectRequest {
  /// Crashes since the last answer, at most one for each lifetime, by time.
  std::vector<RequestCrash> Crashes;
  /// Time of the last complete answer to a copy of the request.
  std::optional<TimePoint> AnsweredAt;
  /// No copy is sent before this time, because one is being tried.
  std::optional<TimePoint> TrialUntil;
};

/// What this host knows of requests that were running when targets crashed,
/// from its own attempts and from other hosts. Most of these requests are
/// innocent. Requests are told apart by a fingerprint.
struct CrashHistory {
  CrashHistoryLimits Limits;
  /// Between 0 and 1; determines this host's durations of quarantines.
  double QuarantineSpread = 0;
  std::unordered_map<std::uint64_t, SuspectRequest> Requests;
};

/// Records that a target process crashed while it was running the request.
/// Returns true if this is news, which the caller then passes on to other
/// hosts.
bool recordCrash(CrashHistory &History, std::uint64_t Fingerprint,
                 const RequestCrash &Crash, TimePoint Now);

/// Records that a target answered a copy of the request completely, which
/// clears the request of all earlier crashes. Returns true if there were any;
/// the caller then passes the answer on to other hosts.
bool recordAnswer(CrashHistory &History, std::uint64_t Fingerprint,
                  TimePoint AnsweredAt);

/// Returns how much longer the request must not be sent to any target, or
/// nothing if it may be sent.
std::optional<Duration> quarantineLeft(const CrashHistory &History,
                                       std::uint64_t Fingerprint,
                                       TimePoint Now);

/// Called before a copy of the request is sent to a target. After a quarantine
/// this copy is a trial, and others wait for its outcome.
void beginTrial(CrashHistory &History, std::uint64_t Fingerprint,
                TimePoint Now);

/// One crash of one request, or one answer, as hosts tell each other.
struct CrashReport {
  std::uint64_t Fingerprint = 0;
  RequestCrash Crash;
};
struct AnswerReport {
  std::uint64_t Fingerprint = 0;
  TimePoint AnsweredAt;
};
struct CrashReports {
  std::vector<CrashReport> Crashes;
  std::vector<AnswerReport> Answers;
};

/// Returns what a host that has missed earlier reports needs to know: requests
/// with crashes of several lifetimes, and recent answers that have cleared
/// requests. Holds at most ReportsMaximum reports; a request's reports are kept
/// together.
CrashReports summarize(const CrashHistory &History, std::size_t ReportsMaximum,
                       TimePoint Now);

/// Forgets what has reached its age.
void forgetOldEvidence(CrashHistory &History, TimePoint Now);

} // namespace comfreyrill
