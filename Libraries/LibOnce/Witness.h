#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>
#include <LibOnce/RecordTable.h>

#include <string>
#include <unordered_map>

namespace comfreyrill {

/// Identifies a key at a witness. The tag is part of the identity, so that a
/// caller that guesses a sequence number can neither read nor seal the key of
/// another caller.
struct WitnessRecordId {
  HostIncarnation Issuer;
  std::uint64_t Sequence = 0;
  std::uint64_t Tag = 0;

  bool operator==(const WitnessRecordId &) const = default;
};

} // namespace comfreyrill

template <> struct std::hash<comfreyrill::WitnessRecordId> {
  std::size_t
  operator()(const comfreyrill::WitnessRecordId &Id) const noexcept {
    // The tag is uniformly distributed already.
    return static_cast<std::size_t>(Id.Tag ^ Id.Sequence);
  }
};

namespace comfreyrill {

enum class WitnessPhase : std::uint8_t { Granted, Sealed, Finished };

struct WitnessRecord {
  std::uint64_t Fingerprint = 0;
  TimePoint Expiry;
  WitnessPhase Phase = WitnessPhase::Granted;
  SharedOutcome Stored;
};

/// State of one issuer process at a witness. Expiries are read from the clock
/// of the issuer, so each issuer process has its own watermarks.
struct WitnessedIssuer {
  /// Secret for the verification of tags; empty until it is known.
  std::string Secret;
  /// Highest expiry among the dropped records that were granted and are not
  /// known to have ended as "not run". A call under a key that has no record
  /// and expires no later may have run.
  TimePoint GrantedWatermark{TimePoint::min()};
  /// Highest expiry among the dropped records that were sealed. A key that has
  /// no record and expires no later must not be granted any more.
  TimePoint SealedWatermark{TimePoint::min()};
};

/// State of the witness: the records of the keys whose witness is this process.
struct WitnessState {
  HostProcess Self;
  KeyRecordLimits Limits;
  RecordTable<WitnessRecordId, WitnessRecord> Table;
  std::unordered_map<HostIncarnation, WitnessedIssuer> Issuers;
  /// Number of records in phase Sealed.
  std::size_t Seals = 0;
};

/// Registers an issuer process and its secret, which arrive in a heartbeat.
/// Keys of an issuer that is not registered can be granted, but they cannot be
/// sealed before the issuer has requested a grant.
void registerIssuer(WitnessState &State, HostIncarnation Issuer,
                    std::string_view Secret);

/// Handles a grant request. The request must come from the issuer itself.
GrantVerdict recordGrant(WitnessState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, TimePoint Now);

/// Handles a seal request of another host, which got no answer from the issuer.
SealReply sealKey(WitnessState &State, const IdempotencyKey &Key,
                  TimePoint Now);

enum class NoticeVerdict {
  Recorded,
  /// The outcome had been recorded before.
  Duplicate,
  WrongIncarnation,
  /// The issuer ran a call whose key this witness has sealed; the caller must
  /// log this defect.
  Contradiction,
  /// There is no room for another issuer process.
  Refused,
};

/// Records the outcome of a call, as the issuer reports it.
NoticeVerdict recordOutcome(WitnessState &State, const IdempotencyKey &Key,
                            StoredOutcome Outcome, TimePoint Now);

/// Drops records whose retention has ended. To be called periodically;
/// recordGrant, sealKey and recordOutcome do the same.
void dropAgedRecords(WitnessState &State, TimePoint Now);

} // namespace comfreyrill
