#include "ProtocolStep.h"

namespace comfreyrill::testing {

namespace {

// Past the expiry of each key, and past the age at which records are dropped.
constexpr std::array<Duration, 3> IssuerClock{
    Duration{0}, std::chrono::minutes(16), std::chrono::minutes(60)};
} // namespace

ProtocolModel::ProtocolModel(const ModelParameters &Chosen)
    : Parameters(Chosen) {
  auto Issuer = std::make_shared<IssuerState>();
  Issuer->Self = {HostId("i"), HostIncarnation{1}};
  Issuer->Secret = "secret";
  Issuer->Limits.RecordsMaximum = Parameters.RecordsMaximum;
  Issuer->Limits.AnswerBytesMaximum = Parameters.AnswerBytesMaximum;
  auto Witness = std::make_shared<WitnessState>();
  Witness->Self = {HostId("w"), HostIncarnation{2}};
  Witness->Limits = Issuer->Limits;
  registerIssuer(*Witness, Issuer->Self.Incarnation, Issuer->Secret);
  for (std::size_t Index = 0; Index < Parameters.Keys; ++Index)
    Keys.push_back(issueKey(*Issuer,
                            Parameters.HasWitness ? std::optional(Witness->Self)
                                                  : std::nullopt,
                            ModelStart + std::chrono::milliseconds(Index)));
  FirstIssuer = std::move(Issuer);
  FirstWitness = std::move(Witness);
}

World ProtocolModel::initial() const {
  World First;
  First.Issuer = FirstIssuer;
  First.Witness = FirstWitness;
  First.IssuerNow = ModelStart;
  First.WitnessNow = ModelStart;
  return First;
}

std::vector<Action> ProtocolModel::enabled(const World &Now) const {
  std::vector<Action> Actions;
  auto Add = [&Actions](ActionKind Kind, std::size_t Index = 0,
                        std::size_t Fingerprint = 0) {
    Actions.push_back({Kind, static_cast<std::uint8_t>(Index),
                       static_cast<std::uint8_t>(Fingerprint)});
  };
  for (std::size_t Key = 0; Key < Keys.size(); ++Key) {
    for (std::size_t Fingerprint = 0;
         Fingerprint < Parameters.Fingerprints && Now.Sends < Parameters.Sends;
         ++Fingerprint) {
      Add(ActionKind::SendToIssuer, Key, Fingerprint);
      if (Now.Refusals < Parameters.Refusals)
        Add(ActionKind::SendToRefusingIssuer, Key, Fingerprint);
      Add(ActionKind::SendToRelay, Key, Fingerprint);
    }
    auto Record = Now.Issuer->Table.Records.find(Keys[Key].Sequence);
    if (Record == Now.Issuer->Table.Records.end() ||
        Keys[Key].Issuer != Now.Issuer->Self)
      continue;
    if (Record->second.Phase == CallPhase::Requested)
      Add(ActionKind::GrantTimeout, Key);
    if (Record->second.Phase == CallPhase::Dispatched)
      Add(ActionKind::AttemptTimeout, Key);
  }
  for (std::size_t Index = 0; Index < Now.Messages.size(); ++Index) {
    Add(ActionKind::Deliver, Index);
    MessageKind Kind = Now.Messages[Index].Kind;
    if (Kind == MessageKind::Attempt)
      Add(ActionKind::Shed, Index);
    else if (Kind != MessageKind::AttemptAnswer &&
             Now.Duplicates < Parameters.Duplicates)
      Add(ActionKind::DeliverAndKeep, Index);
  }
  for (std::size_t Index = 0; Index < Now.PendingAttempts.size(); ++Index) {
    Add(ActionKind::StartAttempt, Index);
    Add(ActionKind::RefuseBeforeAttempt, Index);
  }
  for (std::size_t Index = 0; Index < Now.Relays.size(); ++Index)
    if (Now.Relays[Index].Stage != RelayStage::Done)
      Add(ActionKind::RelayTimeout, Index);
  if (Now.IssuerRestarts < Parameters.IssuerRestarts)
    Add(ActionKind::RestartIssuer);
  if (Parameters.HasWitness && Now.WitnessRestarts < Parameters.WitnessRestarts)
    Add(ActionKind::RestartWitness);
  if (Now.IssuerClockSteps < Parameters.IssuerClockSteps)
    Add(ActionKind::StepIssuerClock);
  if (Parameters.HasWitness &&
      Now.WitnessClockSteps < Parameters.WitnessClockSteps)
    Add(ActionKind::StepWitnessClock);
  return Actions;
}

World ProtocolModel::apply(const World &Now, const Action &Chosen) const {
  Step Taken{*this, Now};
  World &Next = Taken.Next;
  auto Take = [&Chosen](auto &List) {
    auto Position = List.begin() + Chosen.Index;
    auto Value = *Position;
    List.erase(Position);
    return Value;
  };
  switch (Chosen.Kind) {
  case ActionKind::SendToIssuer:
    ++Next.Sends;
    Taken.callArrives(Chosen.Index, Chosen.Fingerprint, -1);
    break;
  case ActionKind::SendToRefusingIssuer:
    ++Next.Sends;
    ++Next.Refusals;
    Taken.callArrives(Chosen.Index, Chosen.Fingerprint, -1, true);
    break;
  case ActionKind::SendToRelay:
    ++Next.Sends;
    Taken.startRelay(Chosen.Index, Chosen.Fingerprint, false);
    break;
  case ActionKind::Deliver:
    Taken.deliver(Take(Next.Messages));
    break;
  case ActionKind::DeliverAndKeep:
    ++Next.Duplicates;
    Taken.deliver(Message(Next.Messages[Chosen.Index]));
    break;
  case ActionKind::StartAttempt:
    Taken.startAttempt(Take(Next.PendingAttempts));
    break;
  case ActionKind::RefuseBeforeAttempt:
    Taken.finish(Take(Next.PendingAttempts), CallOutcome::NotRun, "no_target",
                 std::nullopt);
    break;
  case ActionKind::Shed:
    Taken.shed(Take(Next.Messages));
    break;
  case ActionKind::AttemptTimeout:
    Taken.attemptTimeout(Chosen.Index);
    break;
  case ActionKind::GrantTimeout:
    Taken.granted(Chosen.Index, Taken.atIssuer([&](IssuerState &State) {
      return recordGrantTimeout(State, Keys[Chosen.Index], Next.IssuerNow);
    }));
    break;
  case ActionKind::RelayTimeout:
    if (Next.Relays[Chosen.Index].Stage == RelayStage::AwaitsIssuer)
      Taken.afterIssuer(Chosen.Index, IssuerResult::TimedOut);
    else
      Taken.afterWitness(Chosen.Index, nullptr);
    break;
  case ActionKind::RestartIssuer:
    Taken.restartIssuer();
    break;
  case ActionKind::RestartWitness:
    Taken.restartWitness();
    break;
  case ActionKind::StepIssuerClock:
    Next.IssuerNow =
        ModelStart +
        IssuerClock[static_cast<std::size_t>(++Next.IssuerClockSteps)];
    break;
  case ActionKind::StepWitnessClock:
    ++Next.WitnessClockSteps;
    Next.WitnessNow += std::chrono::minutes(60);
    break;
  }
  Taken.discardIneffective();
  return std::move(Taken.Next);
}

std::string ProtocolModel::violation(const World &Now) const {
  if (Now.WrongAnswer)
    return "a caller got an answer that is not its own";
  for (std::size_t Key = 0; Key < Keys.size(); ++Key) {
    unsigned Runs = 0;
    for (std::size_t Print = 0; Print < FingerprintsMaximum; ++Print) {
      Runs += Now.Runs[Key][Print];
      if (Now.Runs[Key][Print] > 0 && Now.ToldNotRun[Key][Print] != 0)
        return "a request ran whose caller was told not run";
      if (Now.Runs[Key][Print] == 0 && Now.ToldAnswer[Key][Print] != 0)
        return "a caller got an answer although its request did not run";
    }
    if (Runs > 1)
      return "a key ran twice";
  }
  return {};
}

} // namespace comfreyrill::testing
