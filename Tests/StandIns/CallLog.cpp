#include "CallLog.h"

#include "AnswerCheck.h"

#include <algorithm>
#include <cmath>

namespace comfreyrill::standins {

std::string_view sendOutcomeName(SendOutcome Kind) {
  constexpr std::array<std::string_view, SendOutcomeCount> Names = {
      "answer",  "failed_answer", "wrong_answer", "not_run",
      "unknown", "broken",        "not_sent",     "timed_out"};
  return Names[static_cast<std::size_t>(Kind)];
}

SendOutcome classifyResponse(const HttpResponse &Response,
                             std::string_view Token, std::size_t AnswerBytes) {
  const std::string_view Outcome = Response["Comfreyrill-Outcome"];
  if (Outcome == "not-run")
    return SendOutcome::NotRun;
  if (Outcome == "unknown")
    return SendOutcome::Unknown;
  if (!Outcome.empty() && Outcome != "answer")
    return SendOutcome::WrongAnswer;
  if (Outcome.empty() && Response["Comfreyrill-Shed"] == "before-start")
    return SendOutcome::NotRun;
  if (Response.result() != http::status::ok)
    return SendOutcome::FailedAnswer;
  return Response.body() == expectedAnswer(Token, AnswerBytes)
             ? SendOutcome::Answer
             : SendOutcome::WrongAnswer;
}

void CallLog::recordSend(SendRecord Record) {
  ++Sends[index(Record.Outcome)];
  // An answered idempotent request can be neither a double run nor a false
  // "not run", so its row is omitted to keep the log small.
  if (KeepRows &&
      (!Record.Key.empty() || Record.Outcome != SendOutcome::Answer))
    Rows.push_back(std::move(Record));
}

void CallLog::recordCall(SendOutcome Last, Duration Elapsed) {
  ++Calls[index(Last)];
  if (Last == SendOutcome::Answer)
    Nanoseconds.push_back(Elapsed.count());
}

std::uint64_t CallLog::calls() const {
  std::uint64_t Sum = 0;
  for (const std::uint64_t Count : Calls)
    Sum += Count;
  return Sum;
}

double quantile(const std::vector<std::int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return static_cast<double>(
      Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1]);
}

boost::json::object CallLog::toJson(Duration Length) const {
  boost::json::object SendCounts;
  boost::json::object CallCounts;
  for (std::size_t Kind = 0; Kind < SendOutcomeCount; ++Kind) {
    SendCounts[sendOutcomeName(static_cast<SendOutcome>(Kind))] = Sends[Kind];
    CallCounts[sendOutcomeName(static_cast<SendOutcome>(Kind))] = Calls[Kind];
  }
  auto Sorted = Nanoseconds;
  std::ranges::sort(Sorted);
  boost::json::array Table;
  for (const SendRecord &Row : Rows)
    Table.push_back(boost::json::array{Row.Token, Row.Key, Row.RequestId,
                                       Row.Host, sendOutcomeName(Row.Outcome),
                                       Row.Reason, bootMilliseconds(Row.Sent),
                                       bootMilliseconds(Row.Ended)});
  const double Seconds = static_cast<double>(Length.count()) / 1e9;
  return {{"calls", calls()},
          {"skipped", Skipped},
          {"seconds", Seconds},
          {"calls_per_second",
           Seconds > 0 ? static_cast<double>(calls()) / Seconds : 0.0},
          {"call_outcomes", std::move(CallCounts)},
          {"send_outcomes", std::move(SendCounts)},
          {"latency_ms",
           {{"p50", quantile(Sorted, 0.5) / 1e6},
            {"p99", quantile(Sorted, 0.99) / 1e6},
            {"p999", quantile(Sorted, 0.999) / 1e6},
            {"max", quantile(Sorted, 1) / 1e6}}},
          {"columns",
           boost::json::array{"token", "key", "request_id", "host", "outcome",
                              "reason", "sent_ms", "ended_ms"}},
          {"sends", std::move(Table)}};
}

} // namespace comfreyrill::standins
