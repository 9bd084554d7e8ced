#include "ProtocolStep.h"

#include <algorithm>

namespace comfreyrill::testing {

namespace {

constexpr std::uint8_t OtherIncarnation = 255;

std::string answerOf(std::size_t Key, std::size_t Fingerprint) {
  return "answer " + std::to_string(Key) + "/" + std::to_string(Fingerprint);
}

} // namespace

void ProtocolModel::Step::send(Message Sent) {
  Next.Messages.push_back(std::move(Sent));
}

void ProtocolModel::Step::replyToCaller(std::size_t Key,
                                        std::size_t Fingerprint,
                                        CallOutcome Outcome,
                                        const SharedOutcome &Stored) {
  switch (Outcome) {
  case CallOutcome::Answer:
    Next.ReportedAnswer[Key][Fingerprint] = 1;
    if (!Stored || Stored->Answer != answerOf(Key, Fingerprint))
      Next.WrongAnswer = true;
    return;
  case CallOutcome::NotRun:
    Next.ReportedNotRun[Key][Fingerprint] = 1;
    return;
  case CallOutcome::Unknown:
    return;
  }
}

void ProtocolModel::Step::replyToWaiter(const Waiter &Waiting,
                                        CallOutcome Outcome,
                                        const SharedOutcome &Stored) {
  if (Waiting.Relay < 0)
    return replyToCaller(Waiting.Key, Waiting.Fingerprint, Outcome, Stored);
  Message Reply;
  Reply.Kind = MessageKind::IssuerReply;
  Reply.Relay = static_cast<std::uint8_t>(Waiting.Relay);
  Reply.Verdict = static_cast<std::uint8_t>(Outcome);
  Reply.Stored = Outcome == CallOutcome::Answer ? Stored : nullptr;
  send(std::move(Reply));
}

void ProtocolModel::Step::deliverOutcome(std::size_t Key,
                                         const SharedOutcome &Stored) {
  std::vector<Waiter> Remaining;
  for (const Waiter &Waiting : Next.Waiters) {
    if (Waiting.Key == Key)
      replyToWaiter(Waiting, Stored->Outcome, Stored);
    else
      Remaining.push_back(Waiting);
  }
  Next.Waiters = std::move(Remaining);
  if (!Model.Keys[Key].Witness)
    return;
  Message Notice;
  Notice.Kind = MessageKind::Notice;
  Notice.Key = static_cast<std::uint8_t>(Key);
  Notice.Stored = outcomeForWitness(*Next.Issuer, Stored);
  send(std::move(Notice));
}

void ProtocolModel::Step::finish(std::size_t Key, CallOutcome Outcome,
                                 std::string Reason,
                                 std::optional<std::string> Answer) {
  SharedOutcome Stored = updateIssuer([&](IssuerState &State) {
    return finishCall(State, Model.Keys[Key],
                      {Outcome, std::move(Reason), std::move(Answer), 0},
                      Next.IssuerNow);
  });
  if (Stored)
    deliverOutcome(Key, Stored);
}

void ProtocolModel::Step::handleGrantDecision(std::size_t Key,
                                              const GrantDecision &Decision) {
  if (Decision.Step == GrantStep::Run)
    Next.PendingAttempts.push_back(static_cast<std::uint8_t>(Key));
  if (Decision.Step == GrantStep::KeySealed)
    deliverOutcome(Key, Decision.Stored);
}

void ProtocolModel::Step::handleGrantReply(std::size_t Key,
                                           GrantVerdict Verdict) {
  handleGrantDecision(
      Key, updateIssuer([&](IssuerState &State) {
        auto Record = State.Table.Records.find(Model.Keys[Key].Sequence);
        if (faults().AcceptLateGrants && Record != State.Table.Records.end() &&
            Record->second.Phase == CallPhase::Finished &&
            Record->second.Stored->Outcome == CallOutcome::NotRun)
          Record->second.Phase = CallPhase::Requested;
        return recordGrantReply(State, Model.Keys[Key], Verdict,
                                Next.IssuerNow);
      }));
}

void ProtocolModel::Step::startRelay(std::uint8_t Key, std::uint8_t Fingerprint,
                                     bool IssuerIsGone) {
  Next.Relays.push_back({Key, Fingerprint, RelayStage::AwaitsIssuer});
  auto Relay = static_cast<std::uint8_t>(Next.Relays.size() - 1);
  if (IssuerIsGone)
    return handleIssuerResult(Relay, IssuerResult::OtherIncarnation);
  Message Call;
  Call.Kind = MessageKind::RelayedCall;
  Call.Key = Key;
  Call.Fingerprint = Fingerprint;
  Call.Relay = Relay;
  send(std::move(Call));
}

void ProtocolModel::Step::handleIssuerResult(std::uint8_t Relay,
                                             IssuerResult Result) {
  RelayedCall &Call = Next.Relays[Relay];
  RelayStep Decided = decideAfterIssuer(Model.Keys[Call.Key], Result);
  if (Decided == RelayStep::AskWitness) {
    Call.Stage = RelayStage::AwaitsWitness;
    Message Request;
    Request.Kind = MessageKind::SealRequest;
    Request.Key = Call.Key;
    Request.Relay = Relay;
    return send(std::move(Request));
  }
  Call.Stage = RelayStage::Done;
  if (Decided == RelayStep::ReportUnknown)
    replyToCaller(Call.Key, Call.Fingerprint, CallOutcome::Unknown, nullptr);
}

void ProtocolModel::Step::handleWitnessReply(std::uint8_t Relay,
                                             const SealReply *Reply) {
  RelayedCall &Call = Next.Relays[Relay];
  Call.Stage = RelayStage::Done;
  RelayDecision Decision =
      decideAfterWitness(Reply, fingerprint(Call.Fingerprint));
  if (Reply == nullptr && faults().SilentWitnessMeansNotRun)
    Decision.Outcome = CallOutcome::NotRun;
  replyToCaller(Call.Key, Call.Fingerprint, Decision.Outcome, Decision.Stored);
}

void ProtocolModel::Step::handleCall(std::uint8_t Key, std::uint8_t Fingerprint,
                                     int Relay, bool Refuses) {
  if (Refuses && faults().RefuseWithoutSeal)
    return replyToCaller(Key, Fingerprint, CallOutcome::NotRun, nullptr);
  BeginDecision Decision = updateIssuer([&](IssuerState &State) {
    if (Refuses)
      return refuseCall(State, Model.Keys[Key], fingerprint(Fingerprint),
                        "leaving", Next.IssuerNow);
    return beginCall(State, Model.Keys[Key], fingerprint(Fingerprint),
                     Next.IssuerNow);
  });
  Waiter Caller{Key, Fingerprint, Relay};
  switch (Decision.Verdict) {
  case BeginVerdict::AskWitness: {
    Next.Waiters.push_back(Caller);
    if (faults().SkipWitness)
      return handleGrantReply(Key, GrantVerdict::Granted);
    Message Request;
    Request.Kind = MessageKind::GrantRequest;
    Request.Key = Key;
    Request.Fingerprint = Fingerprint;
    return send(std::move(Request));
  }
  case BeginVerdict::Run:
    Next.Waiters.push_back(Caller);
    Next.PendingAttempts.push_back(Key);
    return;
  case BeginVerdict::Join:
    Next.Waiters.push_back(Caller);
    return;
  case BeginVerdict::Replay:
    return replyToWaiter(Caller, Decision.Stored->Outcome, Decision.Stored);
  case BeginVerdict::Unknown:
    return replyToWaiter(Caller, CallOutcome::Unknown, nullptr);
  case BeginVerdict::NotThisIncarnation: {
    if (Relay < 0)
      return startRelay(Key, Fingerprint, true);
    Message Reply;
    Reply.Kind = MessageKind::IssuerReply;
    Reply.Relay = static_cast<std::uint8_t>(Relay);
    Reply.Verdict = OtherIncarnation;
    return send(std::move(Reply));
  }
  case BeginVerdict::NotRun:
  case BeginVerdict::Conflict:
  case BeginVerdict::Forged:
  case BeginVerdict::Expired:
    return replyToWaiter(Caller, CallOutcome::NotRun, nullptr);
  }
}

void ProtocolModel::Step::deliver(const Message &Sent) {
  const IdempotencyKey &Key = Model.Keys[Sent.Key];
  Message Reply = Sent;
  switch (Sent.Kind) {
  case MessageKind::RelayedCall:
    return handleCall(Sent.Key, Sent.Fingerprint, Sent.Relay);
  case MessageKind::IssuerReply: {
    const RelayedCall &Call = Next.Relays[Sent.Relay];
    if (Sent.Verdict == OtherIncarnation)
      return handleIssuerResult(Sent.Relay, IssuerResult::OtherIncarnation);
    handleIssuerResult(Sent.Relay, IssuerResult::Answered);
    return replyToCaller(Call.Key, Call.Fingerprint, CallOutcome{Sent.Verdict},
                         Sent.Stored);
  }
  case MessageKind::GrantRequest:
    Reply.Kind = MessageKind::GrantReply;
    Reply.Verdict =
        static_cast<std::uint8_t>(updateWitness([&](WitnessState &State) {
          return recordGrant(State, Key, fingerprint(Sent.Fingerprint),
                             Next.WitnessNow);
        }));
    return send(std::move(Reply));
  case MessageKind::GrantReply:
    return handleGrantReply(Sent.Key, GrantVerdict{Sent.Verdict});
  case MessageKind::SealRequest: {
    SealReply Seal = updateWitness([&](WitnessState &State) {
      if (!faults().SealWithoutRecord)
        return sealKey(State, Key, Next.WitnessNow);
      WitnessState Scratch = State;
      return sealKey(Scratch, Key, Next.WitnessNow);
    });
    Reply.Kind = MessageKind::SealReply;
    Reply.Verdict = static_cast<std::uint8_t>(Seal.Verdict);
    Reply.Stored = Seal.Stored;
    return send(std::move(Reply));
  }
  case MessageKind::SealReply: {
    SealReply Seal{SealVerdict{Sent.Verdict}, Sent.Stored};
    return handleWitnessReply(Sent.Relay, &Seal);
  }
  case MessageKind::Notice:
    updateWitness([&](WitnessState &State) {
      return recordOutcome(State, Key, *Sent.Stored, Next.WitnessNow);
    });
    return;
  case MessageKind::Attempt:
    ++Next.Runs[Sent.Key][Sent.Fingerprint];
    Reply.Kind = MessageKind::AttemptAnswer;
    return send(std::move(Reply));
  case MessageKind::AttemptAnswer:
    finish(Sent.Key, CallOutcome::Answer, "answered",
           answerOf(Sent.Key, Sent.Fingerprint));
    return;
  }
}

void ProtocolModel::Step::startAttempt(std::uint8_t Key) {
  bool Allowed = updateIssuer([&](IssuerState &State) {
    return beginAttempt(State, Model.Keys[Key], TimePoint::max(),
                        Next.IssuerNow);
  });
  if (!Allowed)
    return;
  // The request that created the record is the one that has waited longest.
  auto LongestWaiter =
      std::find_if(Next.Waiters.begin(), Next.Waiters.end(),
                   [&](const Waiter &Waiting) { return Waiting.Key == Key; });
  Message Attempt;
  Attempt.Kind = MessageKind::Attempt;
  Attempt.Key = Key;
  Attempt.Fingerprint =
      LongestWaiter == Next.Waiters.end() ? 0 : LongestWaiter->Fingerprint;
  Attempt.IssuerEpoch = Next.IssuerEpoch;
  send(std::move(Attempt));
}

void ProtocolModel::Step::shedAttempt(const Message &Attempt) {
  if (Attempt.IssuerEpoch != Next.IssuerEpoch)
    return;
  updateIssuer([&](IssuerState &State) {
    recordAttemptNotRun(State, Model.Keys[Attempt.Key]);
    return true;
  });
  if (Next.Retries++ < Model.Parameters.Retries)
    Next.PendingAttempts.push_back(Attempt.Key);
  else
    finish(Attempt.Key, CallOutcome::NotRun, "shed", std::nullopt);
}

void ProtocolModel::Step::timeOutAttempt(std::size_t Key) {
  if (!faults().RetryWithoutProof)
    return finish(Key, CallOutcome::Unknown, "timeout", std::nullopt);
  updateIssuer([&](IssuerState &State) {
    recordAttemptNotRun(State, Model.Keys[Key]);
    return true;
  });
  Next.PendingAttempts.push_back(static_cast<std::uint8_t>(Key));
}

void ProtocolModel::Step::discardIneffectiveMessages() {
  auto IsIneffective = [this](const Message &Sent) {
    switch (Sent.Kind) {
    case MessageKind::IssuerReply:
      return Next.Relays[Sent.Relay].Stage != RelayStage::AwaitsIssuer;
    case MessageKind::SealReply:
      return Next.Relays[Sent.Relay].Stage != RelayStage::AwaitsWitness;
    case MessageKind::AttemptAnswer:
      return Sent.IssuerEpoch != Next.IssuerEpoch;
    default:
      return false;
    }
  };
  std::erase_if(Next.Messages, IsIneffective);
}

void ProtocolModel::Step::restartIssuer() {
  ++Next.IssuerRestarts;
  ++Next.IssuerEpoch;
  auto Restarted = std::make_shared<IssuerState>();
  Restarted->Self = Next.Issuer->Self;
  Restarted->Secret = Next.Issuer->Secret;
  if (!faults().IssuerKeepsIncarnation) {
    Restarted->Self.Incarnation.Value += 1000;
    Restarted->Secret = "next secret";
  }
  Restarted->Limits = Next.Issuer->Limits;
  Next.Issuer = std::move(Restarted);
  Next.Waiters.clear();
  Next.PendingAttempts.clear();
}

void ProtocolModel::Step::restartWitness() {
  ++Next.WitnessRestarts;
  auto Restarted = std::make_shared<WitnessState>();
  Restarted->Self = Next.Witness->Self;
  if (!faults().WitnessKeepsIncarnation)
    Restarted->Self.Incarnation.Value += 1000;
  Restarted->Limits = Next.Witness->Limits;
  registerIssuer(*Restarted, Next.Issuer->Self.Incarnation,
                 Next.Issuer->Secret);
  Next.Witness = std::move(Restarted);
}

} // namespace comfreyrill::testing
