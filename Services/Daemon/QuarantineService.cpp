#include "QuarantineService.h"

#include <LibCore/Hash.h>

namespace comfreyrill {

namespace {

// Limits the snapshot to about 20 KB, sent once to each host that starts.
constexpr std::size_t SnapshotEntriesMaximum = 256;

wire::PeerBody evidenceBody(std::uint64_t Fingerprint, const TargetId &Target,
                            bool IsAnswered) {
  wire::CrashEvidence Message;
  Message.__set_fingerprint(static_cast<std::int64_t>(Fingerprint));
  Message.__set_target(Target.Value);
  if (IsAnswered)
    Message.__set_answered(true);
  wire::PeerBody Body;
  Body.__set_crash_evidence(Message);
  return Body;
}

} // namespace

QuarantineService::QuarantineService(const DaemonDependencies &Dependencies,
                                     Broadcast &PeerBroadcast)
    : Dependencies(Dependencies), PeerBroadcast(PeerBroadcast) {}

bool QuarantineService::isQuarantined(std::uint64_t Fingerprint) const {
  return !mayDispatch(State, Fingerprint, Dependencies.TimeSource.now());
}

void QuarantineService::onCrash(std::uint64_t Fingerprint,
                                const TargetId &Target) {
  const CrashResult Recorded =
      recordCrash(State, Fingerprint, Target, Dependencies.TimeSource.now());
  log(Fingerprint, Target,
      Recorded == CrashResult::Quarantined ? "quarantine" : "count");
  PeerBroadcast.send(evidenceBody(Fingerprint, Target, false));
}

void QuarantineService::onAnswer(std::uint64_t Fingerprint) {
  if (!recordAnswer(State, Fingerprint))
    return;
  log(Fingerprint, TargetId(), "clear");
  PeerBroadcast.send(evidenceBody(Fingerprint, TargetId(), true));
}

CrashRetryDecision QuarantineService::retryDecision(std::uint64_t Fingerprint,
                                                    TimePoint CrashedAt) const {
  return decideCrashRetry(State, Fingerprint, CrashedAt,
                          Dependencies.TimeSource.now());
}

void QuarantineService::onEvidence(const wire::CrashEvidence &Message) {
  const auto Fingerprint = static_cast<std::uint64_t>(Message.fingerprint);
  if (Message.__isset.answered && Message.answered) {
    recordAnswer(State, Fingerprint);
    return;
  }
  const TargetId Target(Message.target);
  if (recordCrash(State, Fingerprint, Target, Dependencies.TimeSource.now()) ==
      CrashResult::Quarantined)
    log(Fingerprint, Target, "quarantine");
}

void QuarantineService::sendSnapshot(const Endpoint &Remote) {
  for (const CrashSnapshotEntry &Entry : crashSnapshot(
           State, SnapshotEntriesMaximum, Dependencies.TimeSource.now()))
    PeerBroadcast.sendTo(Remote,
                         evidenceBody(Entry.Fingerprint, Entry.Target, false));
}

void QuarantineService::log(std::uint64_t Fingerprint, const TargetId &Target,
                            std::string_view Decision) const {
  LogLine Line("crash_evidence");
  Line.field("fingerprint", hexadecimal(Fingerprint))
      .field("target", Target.Value)
      .field("decision", Decision);
  Dependencies.Decisions.warn(Line);
}

CrashHooks makeCrashHooks(QuarantineService &Quarantine,
                          std::function<std::uint64_t()> Fingerprint) {
  CrashHooks Hooks;
  Hooks.OnCrash = [&Quarantine, Fingerprint](const TargetId &Target) {
    Quarantine.onCrash(Fingerprint(), Target);
  };
  Hooks.OnAnswer = [&Quarantine, Fingerprint] {
    if (Quarantine.hasEvidence())
      Quarantine.onAnswer(Fingerprint());
  };
  Hooks.HasCrashEvidence = [&Quarantine, Fingerprint] {
    return Quarantine.hasEvidence() &&
           Quarantine.hasCrashEvidence(Fingerprint());
  };
  Hooks.MayRetry = [&Quarantine, Fingerprint](TimePoint CrashedAt) {
    return Quarantine.retryDecision(Fingerprint(), CrashedAt);
  };
  return Hooks;
}

} // namespace comfreyrill
