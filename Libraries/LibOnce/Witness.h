#pragma once

#include <LibOnce/IdempotencyKey.h>
#include <LibOnce/Outcome.h>
#include <LibOnce/RecordTable.h>

#include <string>
#include <unordered_map>

namespace comfreyrill {

/// Identifies a key at a witness. The tag is part of it, so that who guesses a
/// sequence can neither read nor seal the key of another caller.
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
    // The tag is uniform already.
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

/// What a witness keeps for each issuer process. Expiries are by the clock of
/// the issuer, so each issuer process has its own marks.
struct WitnessedIssuer {
  /// Verifies keys; empty while it is not known.
  std::string Secret;
  /// Highest expiry among dropped records that were granted and not known to
  /// have ended as not run: such a key may have run.
  TimePoint GrantedMark{TimePoint::min()};
  /// Highest expiry among dropped records that were sealed: such a key must not
  /// be granted any more.
  TimePoint SealedMark{TimePoint::min()};
};

/// The table of the keys whose witness this process is.
struct WitnessState {
  HostProcess Self;
  OnceLimits Limits;
  RecordTable<WitnessRecordId, WitnessRecord> Table;
  std::unordered_map<HostIncarnation, WitnessedIssuer> Issuers;
  /// Records in phase Sealed.
  std::size_t Seals = 0;
};

/// An issuer process has introduced itself (in a heartbeat). Without an
/// introduction keys can be granted, but a seal of a key of that process is
/// refused until it has asked for a grant.
void registerIssuer(WitnessState &State, HostIncarnation Issuer,
                    std::string_view Secret);

/// The issuer asks for a grant. The request must come from the issuer itself.
GrantVerdict recordGrant(WitnessState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, TimePoint Now);

/// Another host asks to seal a key, because the issuer does not answer.
SealReply sealKey(WitnessState &State, const IdempotencyKey &Key,
                  TimePoint Now);

enum class NoticeVerdict {
  Recorded,
  /// The outcome was known already.
  Duplicate,
  WrongIncarnation,
  /// The issuer ran a key that is sealed here; this is a defect, to be logged.
  Contradiction,
  /// No room for another issuer process.
  Refused,
};

/// The issuer tells how the call ended.
NoticeVerdict recordOutcome(WitnessState &State, const IdempotencyKey &Key,
                            StoredOutcome Outcome, TimePoint Now);

/// Drops records that are older than the limits. Called now and then; the
/// functions above do it too.
void dropAgedRecords(WitnessState &State, TimePoint Now);

} // namespace comfreyrill
