#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace comfreyrill {

// The values of the enumerations must equal those in LibPeer/Peer.thrift,
// because the daemon converts between them with casts.

/// Outcome of a call as reported to the caller.
enum class CallOutcome : std::uint8_t { Answer = 1, NotRun = 2, Unknown = 3 };

/// How a call under a key ended.
struct StoredOutcome {
  CallOutcome Outcome = CallOutcome::Unknown;
  /// Value of the Comfreyrill-Reason header.
  std::string Reason;
  /// The serialised response; present exactly when the outcome is an answer.
  std::optional<std::string> Answer;
  /// Fingerprint of the request that used the key.
  std::uint64_t Fingerprint = 0;

  bool operator==(const StoredOutcome &) const = default;
};

/// The record and the calls that replay the outcome share it.
using SharedOutcome = std::shared_ptr<const StoredOutcome>;

/// Reply of the witness to a grant request of the issuer.
enum class GrantVerdict : std::uint8_t {
  Granted = 1,
  Sealed = 2,
  WrongIncarnation = 3,
  Expired = 4,
  Conflict = 5,
};

/// Reply of the witness to a seal request of another host.
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
struct KeyRecordLimits {
  /// Time from the issue of a key to its expiry; no call under the key starts
  /// later.
  Duration KeyLifetime = std::chrono::minutes(15);
  /// Time for which a record is kept after the latest moment at which its key
  /// can expire.
  Duration Retention = std::chrono::minutes(10);
  std::size_t RecordsMaximum = 100'000;
  /// Maximum number of seals of keys that were never granted. Callers can cause
  /// any number of seals, so their share of the table is bounded; otherwise
  /// they could displace the grants.
  std::size_t SealsMaximum = 25'000;
  /// Memory for all stored answers; the oldest answers are discarded beyond it.
  std::size_t AnswerBytesMaximum = std::size_t{4} << 20;
  /// Size of the largest answer that is copied to the witness.
  std::size_t CopiedAnswerMaximumBytes = std::size_t{16} << 10;
  /// Number of issuer processes that a witness distinguishes. With 73 restarts
  /// per day, the limit is reached after more than two years.
  std::size_t IssuersMaximum = 65'536;
};

/// The shared outcome of all records whose answer was discarded; an object for
/// each of them would take more memory than the record. It has no fingerprint.
const SharedOutcome &answerNotKept();

/// Returns the outcome unchanged, or the outcome "unknown" with the reason
/// "answer_not_kept" when the answer is larger than the maximum.
SharedOutcome withBoundedAnswer(SharedOutcome Stored, std::size_t MaximumBytes);

} // namespace comfreyrill
