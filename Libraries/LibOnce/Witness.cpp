#include <LibOnce/Witness.h>

#include <algorithm>
#include <utility>

namespace comfreyrill {

namespace {

WitnessRecordId recordId(const IdempotencyKey &Key) {
  return {Key.Issuer.Incarnation, Key.Sequence, Key.Tag};
}

bool isSealed(const WitnessRecord &Record) {
  return Record.Phase == WitnessPhase::Sealed ||
         (Record.Phase == WitnessPhase::Finished &&
          Record.Stored->Outcome == CallOutcome::NotRun);
}

void dropRecord(WitnessState &State) {
  auto Dropped = dropOldest(State.Table);
  if (!Dropped)
    return;
  if (Dropped->Value.Phase == WitnessPhase::Sealed)
    --State.Seals;
  WitnessedIssuer &Issuer = State.Issuers[Dropped->Key.Issuer];
  TimePoint &Watermark = isSealed(Dropped->Value) ? Issuer.SealedWatermark
                                                  : Issuer.GrantedWatermark;
  Watermark = std::max(Watermark, Dropped->Value.Expiry);
}

WitnessedIssuer *findOrAddIssuer(WitnessState &State, HostIncarnation Issuer) {
  auto Position = State.Issuers.find(Issuer);
  if (Position != State.Issuers.end())
    return &Position->second;
  if (State.Issuers.size() >= State.Limits.IssuersMaximum)
    return nullptr;
  return &State.Issuers.try_emplace(Issuer).first->second;
}

// The drop queue is in order of arrival and not of expiry, because expiries
// from the clocks of different issuers cannot be compared.
WitnessRecord &addRecord(WitnessState &State, const IdempotencyKey &Key,
                         WitnessRecord Record, TimePoint Now) {
  if (State.Table.Records.size() >= State.Limits.RecordsMaximum)
    dropRecord(State);
  State.Table.DropQueue.push_back(
      {recordId(Key), Now + State.Limits.KeyLifetime + State.Limits.Retention});
  return State.Table.Records.emplace(recordId(Key), std::move(Record))
      .first->second;
}

// Returns the outcome with the fingerprint of the record, because the relay
// compares fingerprints and the shared outcome of discarded answers has none.
SharedOutcome outcomeWithFingerprint(const WitnessRecord &Record) {
  if (Record.Stored->Fingerprint == Record.Fingerprint)
    return Record.Stored;
  StoredOutcome Copy = *Record.Stored;
  Copy.Fingerprint = Record.Fingerprint;
  return std::make_shared<const StoredOutcome>(std::move(Copy));
}

WitnessRecord *findRecord(WitnessState &State, const IdempotencyKey &Key) {
  auto Position = State.Table.Records.find(recordId(Key));
  return Position == State.Table.Records.end() ? nullptr : &Position->second;
}

} // namespace

void registerIssuer(WitnessState &State, HostIncarnation Issuer,
                    std::string_view Secret) {
  WitnessedIssuer *Known = findOrAddIssuer(State, Issuer);
  if (Known != nullptr && Known->Secret.empty())
    Known->Secret = std::string(Secret);
}

GrantVerdict recordGrant(WitnessState &State, const IdempotencyKey &Key,
                         std::uint64_t Fingerprint, TimePoint Now) {
  dropAgedRecords(State, Now);
  if (Key.Witness != State.Self)
    return GrantVerdict::WrongIncarnation;
  if (const WitnessRecord *Record = findRecord(State, Key)) {
    if (Record->Phase != WitnessPhase::Granted)
      return GrantVerdict::Sealed;
    return Record->Fingerprint == Fingerprint ? GrantVerdict::Granted
                                              : GrantVerdict::Conflict;
  }
  const WitnessedIssuer *Issuer =
      findOrAddIssuer(State, Key.Issuer.Incarnation);
  if (Issuer == nullptr || Key.Expiry <= Issuer->SealedWatermark)
    return GrantVerdict::Expired;
  addRecord(State, Key,
            {Fingerprint, Key.Expiry, WitnessPhase::Granted, nullptr}, Now);
  return GrantVerdict::Granted;
}

SealReply sealKey(WitnessState &State, const IdempotencyKey &Key,
                  TimePoint Now) {
  dropAgedRecords(State, Now);
  if (Key.Witness != State.Self)
    return {SealVerdict::WrongIncarnation, nullptr};
  auto Issuer = State.Issuers.find(Key.Issuer.Incarnation);
  if (Issuer == State.Issuers.end())
    return {SealVerdict::MayHaveRun, nullptr};
  if (!Issuer->second.Secret.empty() &&
      !hasValidTag(Key, Issuer->second.Secret))
    return {SealVerdict::Forged, nullptr};
  if (const WitnessRecord *Record = findRecord(State, Key)) {
    switch (Record->Phase) {
    case WitnessPhase::Granted:
      return {SealVerdict::MayHaveRun, nullptr};
    case WitnessPhase::Sealed:
      return {SealVerdict::Sealed, nullptr};
    case WitnessPhase::Finished:
      return {SealVerdict::Finished, outcomeWithFingerprint(*Record)};
    }
  }
  if (Key.Expiry <= Issuer->second.GrantedWatermark)
    return {SealVerdict::Expired, nullptr};
  // Keys with an expiry up to the watermark are never granted, so this key
  // needs no record.
  if (Key.Expiry <= Issuer->second.SealedWatermark)
    return {SealVerdict::Sealed, nullptr};
  if (State.Seals >= State.Limits.SealsMaximum)
    return {SealVerdict::MayHaveRun, nullptr};
  ++State.Seals;
  addRecord(State, Key, {0, Key.Expiry, WitnessPhase::Sealed, nullptr}, Now);
  return {SealVerdict::Sealed, nullptr};
}

NoticeVerdict recordOutcome(WitnessState &State, const IdempotencyKey &Key,
                            StoredOutcome Outcome, TimePoint Now) {
  dropAgedRecords(State, Now);
  if (Key.Witness != State.Self)
    return NoticeVerdict::WrongIncarnation;
  if (findOrAddIssuer(State, Key.Issuer.Incarnation) == nullptr)
    return NoticeVerdict::Refused;
  WitnessRecord *Record = findRecord(State, Key);
  bool Ran = Outcome.Outcome != CallOutcome::NotRun;
  if (Record != nullptr && isSealed(*Record))
    return Ran ? NoticeVerdict::Contradiction : NoticeVerdict::Duplicate;
  if (Record != nullptr && Record->Phase == WitnessPhase::Finished)
    return NoticeVerdict::Duplicate;
  // A notice of "not run" can overtake the grant request of the same key; the
  // record then makes the late grant request fail.
  if (Record == nullptr)
    Record = &addRecord(
        State, Key,
        {Outcome.Fingerprint, Key.Expiry, WitnessPhase::Granted, nullptr}, Now);
  Record->Phase = WitnessPhase::Finished;
  SharedOutcome Stored = withBoundedAnswer(
      std::make_shared<const StoredOutcome>(std::move(Outcome)),
      State.Limits.CopiedAnswerMaximumBytes);
  storeOutcome(State.Table, recordId(Key), *Record, std::move(Stored),
               State.Limits.AnswerBytesMaximum);
  return NoticeVerdict::Recorded;
}

void dropAgedRecords(WitnessState &State, TimePoint Now) {
  while (!State.Table.DropQueue.empty() &&
         State.Table.DropQueue.front().KeptUntil <= Now)
    dropRecord(State);
}

} // namespace comfreyrill
