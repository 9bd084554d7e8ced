#include "TargetExchange.h"

#include "HeaderNames.h"

#include <LibHttp/RetryAfter.h>
#include <LibQuarantine/Quarantine.h>

namespace comfreyrill {

namespace {

/// Reads what the target says about itself, which counts also when the body of
/// the answer is missing.
void readSignals(const HttpResponse &Answer, AttemptReport &Report) {
  Report.SaysDraining = Answer.find(header::Draining) != Answer.end();
  if (Answer.result() != http::status::service_unavailable)
    return;
  Report.RetryAfter = parseRetryAfter(Answer);
  const auto Shed = Answer.find(header::Shed);
  Report.SaysShed = Shed != Answer.end() && Shed->value() == "before-start";
}

void classifyAnswer(HttpResponse Answer, AttemptReport &Report) {
  readSignals(Answer, Report);
  if (const auto Field = Answer.find(header::Load); Field != Answer.end())
    Report.Load = parseLoadReport(Field->value());
  if (Report.Load)
    Report.Load->Draining = Report.SaysDraining;
  if (Report.SaysShed) {
    Report.End = AttemptEnd::Shed;
    Report.IsProvedNotRun = true;
    Report.Cause = {ErrorKind::Unavailable,
                    "the target refused the request before starting it"};
    return;
  }
  const unsigned Status = Answer.result_int();
  Report.LooksLikeCrash = isCrashStatus(Status);
  Report.End = Status >= 500 ? AttemptEnd::Failed : AttemptEnd::Answered;
  Report.Answer = std::move(Answer);
}

} // namespace

void AttemptHandle::cancel() {
  IsCancelled = true;
  if (Connection)
    Connection->cancel();
}

Awaitable<AttemptReport> sendToTarget(ConnectionPool &Pool, Endpoint Target,
                                      const HttpRequest &Request,
                                      HttpLimits Limits, TimePoint Deadline,
                                      std::shared_ptr<AttemptHandle> Handle,
                                      std::function<bool()> MayBegin) {
  AttemptReport Report;
  auto Acquired = co_await Pool.acquire(Target, Deadline);
  if (!Acquired) {
    Report.End = AttemptEnd::ConnectionFailed;
    Report.IsProvedNotRun = true;
    Report.Cause = std::move(Acquired.error());
    co_return Report;
  }
  if (Handle->IsCancelled) {
    Pool.release(Target, std::move(Acquired.value()));
    Report.End = AttemptEnd::Cancelled;
    Report.IsProvedNotRun = true;
    co_return Report;
  }
  // An answer to another request may have arrived while the connection was
  // opened.
  if (!MayBegin()) {
    Pool.release(Target, std::move(Acquired.value()));
    Report.End = AttemptEnd::Withdrawn;
    Report.IsProvedNotRun = true;
    Report.Cause = {ErrorKind::Unavailable,
                    "the target began to drain or to pause, or left the "
                    "manifest, before the request was sent"};
    co_return Report;
  }
  Handle->Connection = Acquired.value();
  auto Answer =
      co_await Handle->Connection->exchange(Request, Limits, Deadline);
  if (Answer) {
    classifyAnswer(std::move(Answer.value()), Report);
    Pool.release(Target, std::move(Handle->Connection));
  } else {
    const ExchangeFailure &Failure = Answer.error();
    if (Failure.IncompleteResponse)
      readSignals(*Failure.IncompleteResponse, Report);
    Report.End =
        Handle->IsCancelled ? AttemptEnd::Cancelled : AttemptEnd::Failed;
    Report.IsProvedNotRun = Failure.Progress == WriteProgress::NothingWritten;
    Report.LooksLikeCrash = !Handle->IsCancelled && !Report.IsProvedNotRun &&
                            Failure.Cause.Kind == ErrorKind::ConnectionLost;
    Report.Cause = Failure.Cause;
  }
  Handle->Connection.reset();
  co_return Report;
}

HttpRequest makeTargetRequest(HttpRequest Original, const CallRequest &Call,
                              const RequestId &Id) {
  HttpRequest Request = std::move(Original);
  Request.version(11);
  Request.target(Call.Path);
  for (const http::field Hop :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::upgrade, http::field::transfer_encoding,
        http::field::expect})
    Request.erase(Hop);
  Request.erase(header::TimeoutMilliseconds);
  Request.erase(header::Relayed);
  Request.set(header::RequestId, Id.Value);
  Request.set(header::Depth, std::to_string(Call.Depth));
  Request.prepare_payload();
  return Request;
}

std::optional<LoadReport> parseLoadReport(std::string_view Text) {
  constexpr std::uint64_t MaximumCount = 1'000'000;
  LoadReport Report;
  bool HasInFlight = false;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(';'), Text.size());
    const std::string_view Pair = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const std::size_t Equals = Pair.find('=');
    if (Equals == std::string_view::npos)
      return std::nullopt;
    const std::string_view Name = Pair.substr(0, Equals);
    const auto Value =
        parseNumber(Name, Pair.substr(Equals + 1), 0, MaximumCount);
    if (!Value)
      return std::nullopt;
    const auto Count = static_cast<std::uint32_t>(Value.value());
    if (Name == "in_flight") {
      Report.InFlight = Count;
      HasInFlight = true;
    } else if (Name == "slots") {
      Report.Slots = Count;
    } else if (Name == "queued") {
      Report.Queued = Count;
    }
  }
  if (!HasInFlight)
    return std::nullopt;
  return Report;
}

} // namespace comfreyrill
