#pragma once

#include "ProtocolModel.h"

namespace comfreyrill::testing {

/// Initial time of the clocks of both hosts.
inline constexpr TimePoint ModelStart{std::chrono::hours(1)};

/// The application of one action to a copy of a state.
struct ProtocolModel::Step {
  const ProtocolModel &Model;
  SystemState Next;

  const Mutations &faults() const { return Model.Parameters.Faults; }

  // Calls a function on a copy of the issuer, which then replaces the original.
  template <typename Function> auto updateIssuer(Function Call) {
    auto Copy = std::make_shared<IssuerState>(*Next.Issuer);
    if (faults().IgnoreIssuerRanWatermark ||
        faults().IgnoreIssuerSealedWatermark)
      dropAgedRecords(*Copy, Next.IssuerNow);
    if (faults().IgnoreIssuerRanWatermark)
      Copy->RanWatermark = TimePoint::min();
    if (faults().IgnoreIssuerSealedWatermark)
      Copy->SealedWatermark = TimePoint::min();
    auto Result = Call(*Copy);
    Next.Issuer = std::move(Copy);
    return Result;
  }

  template <typename Function> auto updateWitness(Function Call) {
    auto Copy = std::make_shared<WitnessState>(*Next.Witness);
    if (faults().IgnoreWitnessGrantedWatermark ||
        faults().IgnoreWitnessSealedWatermark)
      dropAgedRecords(*Copy, Next.WitnessNow);
    for (auto &[Incarnation, Issuer] : Copy->Issuers) {
      if (faults().IgnoreWitnessGrantedWatermark)
        Issuer.GrantedWatermark = TimePoint::min();
      if (faults().IgnoreWitnessSealedWatermark)
        Issuer.SealedWatermark = TimePoint::min();
    }
    auto Result = Call(*Copy);
    Next.Witness = std::move(Copy);
    return Result;
  }

  std::uint64_t fingerprint(std::size_t Fingerprint) const {
    return faults().IgnoreFingerprints ? 7 : 100 + Fingerprint;
  }

  void send(Message Sent);
  void replyToCaller(std::size_t Key, std::size_t Fingerprint,
                     CallOutcome Outcome, const SharedOutcome &Stored);
  void replyToWaiter(const Waiter &Waiting, CallOutcome Outcome,
                     const SharedOutcome &Stored);
  void deliverOutcome(std::size_t Key, const SharedOutcome &Stored);
  void finish(std::size_t Key, CallOutcome Outcome, std::string Reason,
              std::optional<std::string> Answer);
  void handleGrantDecision(std::size_t Key, const GrantDecision &Decision);
  void handleGrantReply(std::size_t Key, GrantVerdict Verdict);
  void startRelay(std::uint8_t Key, std::uint8_t Fingerprint,
                  bool IssuerIsGone);
  void handleIssuerResult(std::uint8_t Relay, IssuerResult Result);
  void handleWitnessReply(std::uint8_t Relay, const SealReply *Reply);
  void handleCall(std::uint8_t Key, std::uint8_t Fingerprint, int Relay,
                  bool Refuses = false);
  void deliver(const Message &Sent);
  void startAttempt(std::uint8_t Key);
  void shedAttempt(const Message &Attempt);
  void timeOutAttempt(std::size_t Key);
  // Removes replies that their relay no longer waits for and answers to an
  // earlier issuer process. They have no effect, and there are fewer states
  // without them.
  void discardIneffectiveMessages();
  void restartIssuer();
  void restartWitness();
};

} // namespace comfreyrill::testing
