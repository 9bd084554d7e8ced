#pragma once

#include <LibOnce/Issuer.h>
#include <LibOnce/Relay.h>
#include <LibOnce/Witness.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace comfreyrill::testing {

inline constexpr std::size_t KeysMaximum = 3;
inline constexpr std::size_t FingerprintsMaximum = 2;

/// Faults that the model injects into the protocol around the decision
/// functions, to show that the checker finds them.
struct Mutations {
  bool SealWithoutRecord = false;
  bool SkipWitness = false;
  bool IgnoreIssuerRanWatermark = false;
  bool IgnoreIssuerSealedWatermark = false;
  bool IgnoreWitnessGrantedWatermark = false;
  bool IgnoreWitnessSealedWatermark = false;
  bool AcceptLateGrants = false;
  bool RetryWithoutProof = false;
  bool IssuerKeepsIncarnation = false;
  bool WitnessKeepsIncarnation = false;
  bool SilentWitnessMeansNotRun = false;
  bool IgnoreFingerprints = false;
  bool RefuseWithoutSeal = false;
};

/// Size of the modelled system, and how often each kind of event may happen.
struct ModelParameters {
  std::size_t Keys = 1;
  std::size_t Fingerprints = 1;
  bool HasWitness = true;
  std::size_t RecordsMaximum = 200'000;
  std::size_t AnswerBytesMaximum = 1024;
  int Sends = 2;
  /// Maximum number of the sent calls that the issuer refuses on arrival.
  int Refusals = 0;
  int IssuerRestarts = 0;
  int WitnessRestarts = 0;
  int Duplicates = 0;
  int Retries = 0;
  int IssuerClockSteps = 0;
  int WitnessClockSteps = 0;
  Mutations Faults = {};
};

enum class MessageKind : std::uint8_t {
  RelayedCall,
  IssuerReply,
  GrantRequest,
  GrantReply,
  SealRequest,
  SealReply,
  Notice,
  Attempt,
  AttemptAnswer,
};

/// A message in transit, which can be delivered at any time, twice or never.
struct Message {
  MessageKind Kind = MessageKind::RelayedCall;
  std::uint8_t Key = 0;
  std::uint8_t Fingerprint = 0;
  /// Index of the relayed call that the message belongs to.
  std::uint8_t Relay = 0;
  /// Number of issuer restarts before the attempt was started.
  std::uint8_t IssuerEpoch = 0;
  std::uint8_t Verdict = 0;
  /// Answer or outcome in the message; null for none.
  SharedOutcome Stored;
};

enum class RelayStage : std::uint8_t { AwaitsIssuer, AwaitsWitness, Done };

struct RelayedCall {
  std::uint8_t Key = 0;
  std::uint8_t Fingerprint = 0;
  RelayStage Stage = RelayStage::AwaitsIssuer;
};

/// A call that waits at the issuer for the outcome of its key.
struct Waiter {
  std::uint8_t Key = 0;
  std::uint8_t Fingerprint = 0;
  /// Index of the relayed call; -1 for a caller that is connected to the
  /// issuer.
  int Relay = -1;
};

/// State of the modelled system. States share the issuer and the witness until
/// an action changes one of them (copy-on-write).
struct SystemState {
  std::shared_ptr<const IssuerState> Issuer;
  std::shared_ptr<const WitnessState> Witness;
  TimePoint IssuerNow;
  TimePoint WitnessNow;
  std::vector<Message> Messages;
  std::vector<RelayedCall> Relays;
  std::vector<Waiter> Waiters;
  /// Keys of granted calls that the issuer has not yet sent to a target.
  std::vector<std::uint8_t> PendingAttempts;
  std::uint8_t IssuerEpoch = 0;
  int Sends = 0;
  int Refusals = 0;
  int IssuerRestarts = 0;
  int WitnessRestarts = 0;
  int Duplicates = 0;
  int Retries = 0;
  int IssuerClockSteps = 0;
  int WitnessClockSteps = 0;

  // Known only to an observer of all hosts; read by the invariants and by no
  // decision.
  using PerRequest =
      std::array<std::array<std::uint8_t, FingerprintsMaximum>, KeysMaximum>;
  PerRequest Runs{};
  PerRequest ReportedNotRun{};
  PerRequest ReportedAnswer{};
  bool WrongAnswer = false;
};

enum class ActionKind : std::uint8_t {
  SendToIssuer,
  SendToRefusingIssuer,
  SendToRelay,
  Deliver,
  DeliverAndKeep,
  StartAttempt,
  RefuseBeforeAttempt,
  Shed,
  AttemptTimeout,
  GrantTimeout,
  RelayTimeout,
  RestartIssuer,
  RestartWitness,
  StepIssuerClock,
  StepWitnessClock,
};

struct Action {
  ActionKind Kind = ActionKind::Deliver;
  std::uint8_t Index = 0;
  std::uint8_t Fingerprint = 0;
};

/// Model of the protocol, whose actions call the decision functions of LibOnce.
class ProtocolModel {
public:
  explicit ProtocolModel(const ModelParameters &Parameters);

  SystemState initialState() const;
  std::vector<Action> enabledActions(const SystemState &Current) const;
  SystemState apply(const SystemState &Current, const Action &Chosen) const;
  /// Describes the violated invariant; empty when all invariants hold.
  std::string violation(const SystemState &Current) const;
  /// Serializes everything that later states depend on.
  std::string serializeState(const SystemState &Current) const;
  std::string describe(const SystemState &Current, const Action &Chosen) const;

private:
  struct Step;
  ModelParameters Parameters;
  std::vector<IdempotencyKey> Keys;
  std::shared_ptr<const IssuerState> InitialIssuer;
  std::shared_ptr<const WitnessState> InitialWitness;
};

} // namespace comfreyrill::testing
