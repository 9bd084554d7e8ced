#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace comfreyrill {

// The values of the enumerations equal those of LibPeer/Peer.thrift; the
// daemon converts by value.

/// What a caller is told.
enum class CallOutcome : std::uint8_t { Answer = 1, NotRun = 2, Unknown = 3 };

/// How a call under a key ended.
struct StoredOutcome {
  CallOutcome Outcome = CallOutcome::Unknown;
  /// As in the Comfreyrill-Reason header.
  std::string Reason;
  /// The serialised response; present exactly when the outcome is an answer.
  std::optional<std::string> Answer;
  /// Fingerprint of the request that ran.
  std::uint64_t Fingerprint = 0;

  bool operator==(const StoredOutcome &) const = default;
};

/// Outcomes are shared between the record and those who replay it.
using SharedOutcome = std::shared_ptr<const StoredOutcome>;

/// Reply of the witness to the issuer.
enum class GrantVerdict : std::uint8_t {
  Granted = 1,
  Sealed = 2,
  WrongIncarnation = 3,
  Expired = 4,
  Conflict = 5,
};

/// Reply of the witness to another host.
enum class SealVerdict : std::uint8_t {
  Sealed = 1,
  MayHaveRun = 2,
  Finished = 3,
  WrongIncarnation = 4,
  Expired = 5,
  Forged = 6,
};

struct SealReply {
  SealVerdict Verdict = SealVerdict::MayHaveRun;
  /// Present exactly when the verdict is Finished.
  SharedOutcome Stored;
};

/// Bounds on the memory and age of records. The issuer and the witness of a
/// host have one table each.
struct OnceLimits {
  /// A key may be started for so long after its issue.
  Duration KeyLifetime = std::chrono::minutes(15);
  /// Records are kept for so long after the latest moment at which their key
  /// can expire.
  Duration Retention = std::chrono::minutes(10);
  std::size_t RecordsMaximum = 100'000;
  /// Seals of keys that were never granted. Callers cause them, so their share
  /// is bounded; otherwise they could displace the grants.
  std::size_t SealsMaximum = 25'000;
  /// Memory of all answers that are kept; beyond it the oldest are given up.
  std::size_t AnswerBytesMaximum = std::size_t{4} << 20;
  /// Largest answer that is copied to the witness.
  std::size_t CopiedAnswerMaximumBytes = std::size_t{16} << 10;
  /// Issuer processes that a witness distinguishes. At 73 restarts per day the
  /// limit is reached after more than two years.
  std::size_t IssuersMaximum = 65'536;
};

/// Stands in records for all answers that were given up, because an object for
/// each of them would take more memory than the record. It has no fingerprint.
const SharedOutcome &answerNotKept();

/// The outcome as it is, or as unknown ("answer_not_kept") when its answer
/// exceeds a size.
SharedOutcome withBoundedAnswer(SharedOutcome Stored, std::size_t MaximumBytes);

} // namespace comfreyrill
