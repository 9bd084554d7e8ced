#include "CallResult.h"

#include "HeaderNames.h"

#include <boost/json.hpp>

namespace comfreyrill {

namespace {

std::string outcomeBody(std::string_view OutcomeText, std::string_view Reason,
                        std::string_view Message) {
  boost::json::object Body;
  Body["outcome"] = OutcomeText;
  Body["reason"] = Reason;
  Body["message"] = Message;
  return boost::json::serialize(Body);
}

// Removes header fields that apply to one connection only or are meant for the
// host, so that they are not forwarded to the caller.
void removeHopByHopFields(HttpResponse &Response) {
  Response.erase(http::field::connection);
  Response.erase(http::field::keep_alive);
  Response.erase(http::field::proxy_connection);
  Response.erase(http::field::te);
  Response.erase(http::field::trailer);
  Response.erase(http::field::upgrade);
  Response.erase(http::field::transfer_encoding);
  Response.erase(header::Load);
  Response.erase(header::Draining);
  Response.erase(header::Outcome);
  Response.erase(header::NextKey);
}

} // namespace

std::string_view outcomeName(Outcome Kind) {
  switch (Kind) {
  case Outcome::Answer:
    return "answer";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

CallResult notRunResult(std::string_view Reason, std::string Message) {
  return invalidRequestResult(http::status::service_unavailable, Reason,
                              std::move(Message));
}

CallResult unknownResult(std::string_view Reason, std::string Message) {
  CallResult Result;
  Result.Kind = Outcome::Unknown;
  Result.Status = http::status::gateway_timeout;
  Result.Reason = Reason;
  Result.Message = std::move(Message);
  return Result;
}

CallResult invalidRequestResult(http::status Status, std::string_view Reason,
                                std::string Message) {
  CallResult Result;
  Result.Kind = Outcome::NotRun;
  Result.Status = Status;
  Result.Reason = Reason;
  Result.Message = std::move(Message);
  return Result;
}

CallResult answerResult(HttpResponse Answer, TargetId Target) {
  CallResult Result;
  Result.Kind = Outcome::Answer;
  Result.Reason = "answered";
  Result.Answer = std::move(Answer);
  Result.Target = std::move(Target);
  return Result;
}

CallResult relayedResult(HttpResponse Response) {
  CallResult Result;
  const auto Field = Response.find(header::Outcome);
  if (Field == Response.end())
    return unknownResult("relay_answer_unreadable",
                         "the host that issued the key sent no outcome; check "
                         "if the request took effect");
  Result.Kind = Field->value() == "answer"    ? Outcome::Answer
                : Field->value() == "not-run" ? Outcome::NotRun
                                              : Outcome::Unknown;
  Result.Answer = std::move(Response);
  Result.IsRelayed = true;
  return Result;
}

HttpResponse toResponse(CallResult Result, const RequestId &Id) {
  if (Result.IsRelayed) {
    HttpResponse Response = std::move(Result.Answer);
    Response.erase(http::field::connection);
    Response.set(header::RequestId, Id.Value);
    return Response;
  }
  HttpResponse Response;
  if (Result.Kind == Outcome::Answer) {
    Response = std::move(Result.Answer);
    removeHopByHopFields(Response);
    Response.set(header::Target, Result.Target.Value);
  } else {
    Response.result(Result.Status);
    Response.set(http::field::content_type, "application/json");
    Response.body() =
        outcomeBody(outcomeName(Result.Kind), Result.Reason, Result.Message);
    Response.set(header::Reason, Result.Reason);
    if (!Result.NextKey.empty())
      Response.set(header::NextKey, Result.NextKey);
    if (Result.RetryAfter)
      Response.set(http::field::retry_after,
                   std::to_string(std::chrono::ceil<std::chrono::seconds>(
                                      *Result.RetryAfter)
                                      .count()));
    Response.prepare_payload();
  }
  Response.version(11);
  Response.set(header::Outcome, outcomeName(Result.Kind));
  Response.set(header::RequestId, Id.Value);
  if (!Response.has_content_length())
    Response.prepare_payload();
  return Response;
}

HttpResponse jsonResponse(http::status Status, std::string Body) {
  HttpResponse Response{Status, 11};
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

HttpResponse refusalResponse(http::status Status, std::string_view Reason,
                             std::string_view Message) {
  HttpResponse Response =
      jsonResponse(Status, outcomeBody("not-run", Reason, Message));
  Response.set(header::Outcome, "not-run");
  Response.set(header::Reason, Reason);
  return Response;
}

} // namespace comfreyrill
