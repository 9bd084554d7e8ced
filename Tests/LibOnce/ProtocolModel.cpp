#include "ProtocolStep.h"

namespace comfreyrill::testing {

namespace {

// The start, a time after the expiry of each key, and a time after the end of
// the retention of each record.
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
  InitialIssuer = std::move(Issuer);
  InitialWitness = std::move(Witness);
}

SystemState ProtocolModel::initialState() const {
  SystemState Initial;
  Initial.Issuer = InitialIssuer;
  Initial.Witness = InitialWitness;
  Initial.IssuerNow = ModelStart;
  Initial.WitnessNow = ModelStart;
  return Initial;
}

std::vector<Action>
ProtocolModel::enabledActions(const SystemState &Current) const {
  std::vector<Action> Actions;
  auto Add = [&Actions](ActionKind Kind, std::size_t Index = 0,
                        std::size_t Fingerprint = 0) {
    Actions.push_back({Kind, static_cast<std::uint8_t>(Index),
                       static_cast<std::uint8_t>(Fingerprint)});
  };
  for (std::size_t Key = 0; Key < Keys.size(); ++Key) {
    for (std::size_t Fingerprint = 0; Fingerprint < Parameters.Fingerprints &&
                                      Current.Sends < Parameters.Sends;
         ++Fingerprint) {
      Add(ActionKind::SendToIssuer, Key, Fingerprint);
      if (Current.Refusals < Parameters.Refusals)
        Add(ActionKind::SendToRefusingIssuer, Key, Fingerprint);
      Add(ActionKind::SendToRelay, Key, Fingerprint);
    }
    auto Record = Current.Issuer->Table.Records.find(Keys[Key].Sequence);
    if (Record == Current.Issuer->Table.Records.end() ||
        Keys[Key].Issuer != Current.Issuer->Self)
      continue;
    if (Record->second.Phase == CallPhase::Requested)
      Add(ActionKind::GrantTimeout, Key);
    if (Record->second.Phase == CallPhase::Dispatched)
      Add(ActionKind::AttemptTimeout, Key);
  }
  for (std::size_t Index = 0; Index < Current.Messages.size(); ++Index) {
    Add(ActionKind::Deliver, Index);
    MessageKind Kind = Current.Messages[Index].Kind;
    if (Kind == MessageKind::Attempt)
      Add(ActionKind::Shed, Index);
    else if (Kind != MessageKind::AttemptAnswer &&
             Current.Duplicates < Parameters.Duplicates)
      Add(ActionKind::DeliverAndKeep, Index);
  }
  for (std::size_t Index = 0; Index < Current.PendingAttempts.size(); ++Index) {
    Add(ActionKind::StartAttempt, Index);
    Add(ActionKind::RefuseBeforeAttempt, Index);
  }
  for (std::size_t Index = 0; Index < Current.Relays.size(); ++Index)
    if (Current.Relays[Index].Stage != RelayStage::Done)
      Add(ActionKind::RelayTimeout, Index);
  if (Current.IssuerRestarts < Parameters.IssuerRestarts)
    Add(ActionKind::RestartIssuer);
  if (Parameters.HasWitness &&
      Current.WitnessRestarts < Parameters.WitnessRestarts)
    Add(ActionKind::RestartWitness);
  if (Current.IssuerClockSteps < Parameters.IssuerClockSteps)
    Add(ActionKind::StepIssuerClock);
  if (Parameters.HasWitness &&
      Current.WitnessClockSteps < Parameters.WitnessClockSteps)
    Add(ActionKind::StepWitnessClock);
  return Actions;
}

SystemState ProtocolModel::apply(const SystemState &Current,
                                 const Action &Chosen) const {
  Step Transition{*this, Current};
  SystemState &Next = Transition.Next;
  auto Take = [&Chosen](auto &List) {
    auto Position = List.begin() + Chosen.Index;
    auto Value = *Position;
    List.erase(Position);
    return Value;
  };
  switch (Chosen.Kind) {
  case ActionKind::SendToIssuer:
    ++Next.Sends;
    Transition.handleCall(Chosen.Index, Chosen.Fingerprint, -1);
    break;
  case ActionKind::SendToRefusingIssuer:
    ++Next.Sends;
    ++Next.Refusals;
    Transition.handleCall(Chosen.Index, Chosen.Fingerprint, -1, true);
    break;
  case ActionKind::SendToRelay:
    ++Next.Sends;
    Transition.startRelay(Chosen.Index, Chosen.Fingerprint, false);
    break;
  case ActionKind::Deliver:
    Transition.deliver(Take(Next.Messages));
    break;
  case ActionKind::DeliverAndKeep:
    ++Next.Duplicates;
    Transition.deliver(Message(Next.Messages[Chosen.Index]));
    break;
  case ActionKind::StartAttempt:
    Transition.startAttempt(Take(Next.PendingAttempts));
    break;
  case ActionKind::RefuseBeforeAttempt:
    Transition.finish(Take(Next.PendingAttempts), CallOutcome::NotRun,
                      "no_target", std::nullopt);
    break;
  case ActionKind::Shed:
    Transition.shedAttempt(Take(Next.Messages));
    break;
  case ActionKind::AttemptTimeout:
    Transition.timeOutAttempt(Chosen.Index);
    break;
  case ActionKind::GrantTimeout:
    Transition.handleGrantDecision(
        Chosen.Index, Transition.updateIssuer([&](IssuerState &State) {
          return recordGrantTimeout(State, Keys[Chosen.Index], Next.IssuerNow);
        }));
    break;
  case ActionKind::RelayTimeout:
    if (Next.Relays[Chosen.Index].Stage == RelayStage::AwaitsIssuer)
      Transition.handleIssuerResult(Chosen.Index, IssuerResult::TimedOut);
    else
      Transition.handleWitnessReply(Chosen.Index, nullptr);
    break;
  case ActionKind::RestartIssuer:
    Transition.restartIssuer();
    break;
  case ActionKind::RestartWitness:
    Transition.restartWitness();
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
  Transition.discardIneffectiveMessages();
  return std::move(Transition.Next);
}

std::string ProtocolModel::violation(const SystemState &Current) const {
  if (Current.WrongAnswer)
    return "a caller got an answer that is not its own";
  for (std::size_t Key = 0; Key < Keys.size(); ++Key) {
    unsigned Runs = 0;
    for (std::size_t FingerprintIndex = 0;
         FingerprintIndex < FingerprintsMaximum; ++FingerprintIndex) {
      Runs += Current.Runs[Key][FingerprintIndex];
      if (Current.Runs[Key][FingerprintIndex] > 0 &&
          Current.ReportedNotRun[Key][FingerprintIndex] != 0)
        return "a request ran whose caller was told not run";
      if (Current.Runs[Key][FingerprintIndex] == 0 &&
          Current.ReportedAnswer[Key][FingerprintIndex] != 0)
        return "a caller got an answer although its request did not run";
    }
    if (Runs > 1)
      return "a key ran twice";
  }
  return {};
}

} // namespace comfreyrill::testing
