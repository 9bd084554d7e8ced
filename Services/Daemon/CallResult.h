#pragma once

#include <LibCore/Ids.h>
#include <LibHttp/Http.h>

#include <string>
#include <string_view>

namespace comfreyrill {

/// What a caller is told about its request; exactly one of three.
enum class Outcome { Answer, NotRun, Unknown };

/// The end of one call.
struct CallResult {
  Outcome Kind = Outcome::Unknown;
  /// The whole answer; set for Outcome::Answer only.
  HttpResponse Answer;
  /// Status of a NotRun or Unknown result.
  http::status Status = http::status::service_unavailable;
  std::string Reason;
  /// What happened and what to do about it.
  std::string Message;
  /// A fresh key, when the key of the call can never be used again.
  std::string NextKey;
  TargetId Target;
  /// True when the answer is the whole response of another host, which has its
  /// own outcome.
  bool IsRelayed = false;
};

std::string_view outcomeName(Outcome Kind);

CallResult notRunResult(std::string_view Reason, std::string Message);
CallResult unknownResult(std::string_view Reason, std::string Message);
/// A request that is refused because it is faulty.
CallResult invalidRequestResult(http::status Status, std::string_view Reason,
                                std::string Message);
CallResult answerResult(HttpResponse Answer, TargetId Target);

/// The response of the host that issued the key of the call.
CallResult relayedResult(HttpResponse Response);

/// Turns a result into what the caller receives.
HttpResponse toResponse(CallResult Result, const RequestId &Id);

/// A JSON answer of the host itself.
HttpResponse jsonResponse(http::status Status, std::string Body);

/// An answer with outcome not-run to a message that was not accepted.
HttpResponse refusalResponse(http::status Status, std::string_view Reason,
                             std::string_view Message);

} // namespace comfreyrill
