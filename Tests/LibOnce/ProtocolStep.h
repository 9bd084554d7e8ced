#pragma once

#include "ProtocolModel.h"

namespace comfreyrill::testing {

/// The clocks of both hosts start here.
inline constexpr TimePoint ModelStart{std::chrono::hours(1)};

/// One action under way on a copy of a world.
struct ProtocolModel::Step {
  const ProtocolModel &Model;
  World Next;

  const Mutations &faults() const { return Model.Parameters.Faults; }

  // Calls a function on a copy of the issuer, which then replaces it.
  template <typename Function> auto atIssuer(Function Call) {
    auto Copy = std::make_shared<IssuerState>(*Next.Issuer);
    if (faults().IgnoreIssuerRanMark || faults().IgnoreIssuerSealedMark)
      dropAgedRecords(*Copy, Next.IssuerNow);
    if (faults().IgnoreIssuerRanMark)
      Copy->RanMark = TimePoint::min();
    if (faults().IgnoreIssuerSealedMark)
      Copy->SealedMark = TimePoint::min();
    auto Result = Call(*Copy);
    Next.Issuer = std::move(Copy);
    return Result;
  }

  template <typename Function> auto atWitness(Function Call) {
    auto Copy = std::make_shared<WitnessState>(*Next.Witness);
    if (faults().IgnoreWitnessGrantedMark || faults().IgnoreWitnessSealedMark)
      dropAgedRecords(*Copy, Next.WitnessNow);
    for (auto &[Incarnation, Issuer] : Copy->Issuers) {
      if (faults().IgnoreWitnessGrantedMark)
        Issuer.GrantedMark = TimePoint::min();
      if (faults().IgnoreWitnessSealedMark)
        Issuer.SealedMark = TimePoint::min();
    }
    auto Result = Call(*Copy);
    Next.Witness = std::move(Copy);
    return Result;
  }

  std::uint64_t fingerprint(std::size_t Fingerprint) const {
    return faults().IgnoreFingerprints ? 7 : 100 + Fingerprint;
  }

  void send(Message Sent);
  void tellCaller(std::size_t Key, std::size_t Fingerprint, CallOutcome Outcome,
                  const SharedOutcome &Stored);
  void tellWaiter(const Waiter &Waiting, CallOutcome Outcome,
                  const SharedOutcome &Stored);
  void settled(std::size_t Key, const SharedOutcome &Stored);
  void finish(std::size_t Key, CallOutcome Outcome, std::string Reason,
              std::optional<std::string> Answer);
  void granted(std::size_t Key, const GrantDecision &Decision);
  void grantReply(std::size_t Key, GrantVerdict Verdict);
  void startRelay(std::uint8_t Key, std::uint8_t Fingerprint,
                  bool IssuerIsGone);
  void afterIssuer(std::uint8_t Relay, IssuerResult Result);
  void afterWitness(std::uint8_t Relay, const SealReply *Reply);
  void callArrives(std::uint8_t Key, std::uint8_t Fingerprint, int Relay,
                   bool Refuses = false);
  void deliver(const Message &Sent);
  void startAttempt(std::uint8_t Key);
  void shed(const Message &Attempt);
  void attemptTimeout(std::size_t Key);
  // Replies to a relay that waits for them no longer, and answers to an issuer
  // process that is gone, have no effect. Without them there are fewer worlds.
  void discardIneffective();
  void restartIssuer();
  void restartWitness();
};

} // namespace comfreyrill::testing
