#include "ProtocolModel.h"

#include <algorithm>

namespace comfreyrill::testing {

namespace {

template <typename Value> void append(std::string &Bytes, const Value &Item) {
  Bytes.append(reinterpret_cast<const char *>(&Item), sizeof(Item));
}

void append(std::string &Bytes, TimePoint Time) {
  append(Bytes, Time.time_since_epoch().count());
}

void append(std::string &Bytes, const SharedOutcome &Stored) {
  if (!Stored) {
    Bytes += '-';
    return;
  }
  append(Bytes, Stored->Outcome);
  append(Bytes, static_cast<std::uint8_t>(Stored->Fingerprint));
  Bytes += Stored->Answer ? *Stored->Answer : std::string("none");
  Bytes += ';';
}

// Appends items whose order has no meaning, so that two states that differ only
// in this order get the same digest.
void appendSorted(std::string &Bytes, std::vector<std::string> Items) {
  std::sort(Items.begin(), Items.end());
  append(Bytes, static_cast<std::uint8_t>(Items.size()));
  for (const std::string &Item : Items)
    Bytes += Item;
}

void append(std::string &Bytes, const IssuerState &State) {
  append(Bytes, State.Self.Incarnation.Value);
  append(Bytes, State.RanWatermark);
  append(Bytes, State.SealedWatermark);
  append(Bytes, State.LatestTime);
  append(Bytes, static_cast<std::uint8_t>(State.Table.DropQueue.size()));
  for (const auto &Queued : State.Table.DropQueue) {
    append(Bytes, Queued.Key);
    append(Bytes, Queued.KeptUntil);
  }
  std::vector<std::string> Records;
  for (const auto &[Sequence, Record] : State.Table.Records) {
    std::string &Item = Records.emplace_back();
    append(Item, Sequence);
    append(Item, Record.Phase);
    append(Item, static_cast<std::uint8_t>(Record.Fingerprint));
    append(Item, Record.Stored);
  }
  appendSorted(Bytes, std::move(Records));
}

void append(std::string &Bytes, const WitnessState &State) {
  append(Bytes, State.Self.Incarnation.Value);
  append(Bytes, static_cast<std::uint8_t>(State.Seals));
  append(Bytes, static_cast<std::uint8_t>(State.Table.DropQueue.size()));
  for (const auto &Queued : State.Table.DropQueue) {
    append(Bytes, Queued.Key.Sequence);
    append(Bytes, Queued.KeptUntil);
  }
  std::vector<std::string> Issuers;
  for (const auto &[Incarnation, Issuer] : State.Issuers) {
    std::string &Item = Issuers.emplace_back();
    append(Item, Incarnation.Value);
    append(Item, Issuer.GrantedWatermark);
    append(Item, Issuer.SealedWatermark);
  }
  appendSorted(Bytes, std::move(Issuers));
  std::vector<std::string> Records;
  for (const auto &[Id, Record] : State.Table.Records) {
    std::string &Item = Records.emplace_back();
    append(Item, Id.Sequence);
    append(Item, Record.Phase);
    append(Item, static_cast<std::uint8_t>(Record.Fingerprint));
    append(Item, Record.Stored);
  }
  appendSorted(Bytes, std::move(Records));
}

std::string bytesOf(const Message &Sent) {
  std::string Item;
  for (std::uint8_t Field :
       {static_cast<std::uint8_t>(Sent.Kind), Sent.Key, Sent.Fingerprint,
        Sent.Relay, Sent.IssuerEpoch, Sent.Verdict})
    append(Item, Field);
  append(Item, Sent.Stored);
  return Item;
}

constexpr std::array<const char *, 9> MessageNames{
    "relayed call", "issuer reply", "grant request",
    "grant reply",  "seal request", "seal reply",
    "notice",       "attempt",      "attempt answer"};

constexpr std::array<const char *, 15> ActionNames{
    "caller sends to issuer",
    "caller sends to issuer that refuses",
    "caller sends to relay",
    "deliver",
    "deliver and keep a duplicate of",
    "issuer starts attempt",
    "issuer refuses granted call",
    "target sheds",
    "attempt times out",
    "grant request times out",
    "relay times out",
    "issuer restarts",
    "witness restarts",
    "issuer clock advances",
    "witness clock advances"};

} // namespace

std::string ProtocolModel::serializeState(const SystemState &Current) const {
  std::string Bytes;
  append(Bytes, *Current.Issuer);
  append(Bytes, *Current.Witness);
  append(Bytes, Current.IssuerNow);
  append(Bytes, Current.WitnessNow);
  std::vector<std::string> Messages;
  for (const Message &Sent : Current.Messages)
    Messages.push_back(bytesOf(Sent));
  appendSorted(Bytes, std::move(Messages));
  append(Bytes, static_cast<std::uint8_t>(Current.Relays.size()));
  for (const RelayedCall &Call : Current.Relays)
    append(Bytes, Call);
  append(Bytes, static_cast<std::uint8_t>(Current.Waiters.size()));
  for (const Waiter &Waiting : Current.Waiters) {
    append(Bytes, Waiting.Key);
    append(Bytes, Waiting.Fingerprint);
    append(Bytes, static_cast<std::int8_t>(Waiting.Relay));
  }
  std::vector<std::string> Attempts;
  for (std::uint8_t Key : Current.PendingAttempts)
    Attempts.emplace_back(1, static_cast<char>(Key));
  appendSorted(Bytes, std::move(Attempts));
  for (int Count :
       {Current.Sends, Current.Refusals, Current.IssuerRestarts,
        Current.WitnessRestarts, Current.Duplicates, Current.Retries})
    append(Bytes, static_cast<std::uint8_t>(Count));
  append(Bytes, Current.IssuerEpoch);
  append(Bytes, Current.Runs);
  append(Bytes, Current.ReportedNotRun);
  append(Bytes, Current.ReportedAnswer);
  append(Bytes, Current.WrongAnswer);
  return Bytes;
}

std::string ProtocolModel::describe(const SystemState &Current,
                                    const Action &Chosen) const {
  std::string Text = ActionNames[static_cast<std::size_t>(Chosen.Kind)];
  bool TakesMessage = Chosen.Kind == ActionKind::Deliver ||
                      Chosen.Kind == ActionKind::DeliverAndKeep ||
                      Chosen.Kind == ActionKind::Shed;
  if (!TakesMessage)
    return Text + ' ' + std::to_string(Chosen.Index);
  const Message &Sent = Current.Messages[Chosen.Index];
  return Text + ' ' + MessageNames[static_cast<std::size_t>(Sent.Kind)] +
         " of key " + std::to_string(Sent.Key) + " (verdict " +
         std::to_string(Sent.Verdict) + ')';
}

} // namespace comfreyrill::testing
