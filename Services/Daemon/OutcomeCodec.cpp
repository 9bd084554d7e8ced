#include "OutcomeCodec.h"

#include "HeaderNames.h"

#include <sstream>

namespace comfreyrill {

namespace {

std::string serialise(HttpResponse Response, const TargetId &Target) {
  Response.set(header::Target, Target.Value);
  Response.prepare_payload();
  std::ostringstream Text;
  Text << Response;
  return std::move(Text).str();
}

std::string_view remedy(Outcome Kind) {
  if (Kind == Outcome::NotRun)
    return "the request was not run; send it again under the next key";
  return "the request may have run; check if it took effect before you send "
         "it again under another key";
}

} // namespace

StoredOutcome toStored(const CallResult &Result) {
  StoredOutcome Stored;
  Stored.Reason = Result.Reason;
  switch (Result.Kind) {
  case Outcome::Answer:
    Stored.Outcome = CallOutcome::Answer;
    Stored.Answer = serialise(Result.Answer, Result.Target);
    break;
  case Outcome::NotRun:
    Stored.Outcome = CallOutcome::NotRun;
    break;
  case Outcome::Unknown:
    Stored.Outcome = CallOutcome::Unknown;
    break;
  }
  return Stored;
}

CallResult fromStored(const StoredOutcome &Stored) {
  if (Stored.Outcome == CallOutcome::NotRun)
    return notRunResult(Stored.Reason, std::string(remedy(Outcome::NotRun)));
  if (Stored.Outcome == CallOutcome::Unknown || !Stored.Answer)
    return unknownResult(Stored.Reason, std::string(remedy(Outcome::Unknown)));

  http::response_parser<http::string_body> Parser;
  Parser.body_limit(Stored.Answer->size());
  Parser.eager(true);
  boost::system::error_code Code;
  Parser.put(asio::buffer(*Stored.Answer), Code);
  if (Code || !Parser.is_done())
    return unknownResult("answer_unreadable",
                         std::string(remedy(Outcome::Unknown)));
  HttpResponse Answer = Parser.release();
  TargetId Target{std::string(Answer[header::Target])};
  return answerResult(std::move(Answer), std::move(Target));
}

wire::StoredOutcome toWire(const StoredOutcome &Stored) {
  wire::StoredOutcome Message;
  Message.__set_outcome(
      static_cast<wire::CallOutcome::type>(static_cast<int>(Stored.Outcome)));
  Message.__set_reason(Stored.Reason);
  if (Stored.Answer)
    Message.__set_answer(*Stored.Answer);
  Message.__set_fingerprint(static_cast<std::int64_t>(Stored.Fingerprint));
  return Message;
}

Result<StoredOutcome> fromWire(const wire::StoredOutcome &Message) {
  const int Value = Message.outcome;
  if (Value < static_cast<int>(CallOutcome::Answer) ||
      Value > static_cast<int>(CallOutcome::Unknown))
    return Error{ErrorKind::InvalidInput,
                 "a stored outcome has the value " + std::to_string(Value) +
                     "; upgrade the sending host to this version"};
  StoredOutcome Stored;
  Stored.Outcome = static_cast<CallOutcome>(Value);
  Stored.Reason = Message.reason;
  if (Message.__isset.answer)
    Stored.Answer = Message.answer;
  Stored.Fingerprint = static_cast<std::uint64_t>(Message.fingerprint);
  return Stored;
}

} // namespace comfreyrill
