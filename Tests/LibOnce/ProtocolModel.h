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

/// Faults that are put into the protocol around the decision functions, to show
/// that the checker finds them.
struct Mutations {
  bool SealWithoutRecord = false;
  bool SkipWitness = false;
  bool IgnoreIssuerRanMark = false;
  bool IgnoreIssuerSealedMark = false;
  bool IgnoreWitnessGrantedMark = false;
  bool IgnoreWitnessSealedMark = false;
  bool AcceptLateGrants = false;
  bool RetryWithoutProof = false;
  bool IssuerKeepsIncarnation = false;
  bool WitnessKeepsIncarnation = false;
  bool SilentWitnessMeansNotRun = false;
  bool IgnoreFingerprints = false;
  bool RefuseWithoutSeal = false;
};

/// What can happen, and how often.
struct ModelParameters {
  std::size_t Keys = 1;
  std::size_t Fingerprints = 1;
  bool HasWitness = true;
  std::size_t RecordsMaximum = 200'000;
  std::size_t AnswerBytesMaximum = 1024;
  int Sends = 2;
  /// Calls that the issuer refuses on arrival, among those sent.
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

/// A message on its way. It can be delivered at any time, twice, or never.
struct Message {
  MessageKind Kind = MessageKind::RelayedCall;
  std::uint8_t Key = 0;
  std::uint8_t Fingerprint = 0;
  /// The relayed call that it belongs to.
  std::uint8_t Relay = 0;
  /// The issuer process that started an attempt.
  std::uint8_t IssuerEpoch = 0;
  std::uint8_t Verdict = 0;
  /// Answer or outcome that it carries; empty for none.
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
  /// Index of the relayed call; -1 for a caller that is connected itself.
  int Relay = -1;
};

/// The whole system at one moment. The issuer and the witness are shared
/// between worlds until one is changed.
struct World {
  std::shared_ptr<const IssuerState> Issuer;
  std::shared_ptr<const WitnessState> Witness;
  TimePoint IssuerNow;
  TimePoint WitnessNow;
  std::vector<Message> Messages;
  std::vector<RelayedCall> Relays;
  std::vector<Waiter> Waiters;
  /// Granted calls that the issuer has yet to hand to a target.
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

  // What an observer of all hosts knows; no decision reads it.
  using PerRequest =
      std::array<std::array<std::uint8_t, FingerprintsMaximum>, KeysMaximum>;
  PerRequest Runs{};
  PerRequest ToldNotRun{};
  PerRequest ToldAnswer{};
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

/// Drives the decision functions of LibOnce through the actions.
class ProtocolModel {
public:
  explicit ProtocolModel(const ModelParameters &Parameters);

  World initial() const;
  std::vector<Action> enabled(const World &Now) const;
  World apply(const World &Now, const Action &Chosen) const;
  /// Names the broken invariant; empty when all hold.
  std::string violation(const World &Now) const;
  /// All that the future depends on, as bytes.
  std::string digestInput(const World &Now) const;
  std::string describe(const World &Now, const Action &Chosen) const;

private:
  struct Step;
  ModelParameters Parameters;
  std::vector<IdempotencyKey> Keys;
  std::shared_ptr<const IssuerState> FirstIssuer;
  std::shared_ptr<const WitnessState> FirstWitness;
};

} // namespace comfreyrill::testing
