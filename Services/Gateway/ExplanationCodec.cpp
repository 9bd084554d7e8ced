#include "ExplanationCodec.h"

#include <LibJson/JsonReader.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <array>
#include <boost/json/value.hpp>
#include <cmath>

namespace comfreyrill {

namespace json = boost::json;

namespace {

constexpr std::size_t DepthMaximum = 4;
constexpr std::size_t BytesMaximum = std::size_t{16} * 1024;
constexpr std::size_t MethodBytes = 32;
constexpr std::size_t HostBytes = 255;
constexpr std::size_t KeyBytes = 4096;
constexpr std::uint64_t BodyBytesMaximum = std::uint64_t{1} << 40;
constexpr std::array<std::string_view, 6> FieldNames{
    "method", "host", "path", "body_bytes", "account", "key"};

// Faults of the document quote what they have found, which may be a key; a
// field of another name may be one as well.
std::string describeFaults(const JsonDocument &Document) {
  std::string Text;
  for (const JsonFault &Fault : Document.faults()) {
    const bool IsNamed = std::find(FieldNames.begin(), FieldNames.end(),
                                   Fault.Path) != FieldNames.end();
    Text += Text.empty() ? "" : "; ";
    if (IsNamed)
      Text += Fault.Path + " must be " + Fault.Allowed;
    else
      Text += "the body must be a JSON object with method, host, path and "
              "optionally body_bytes and account or key";
  }
  return Text;
}

double rounded(double Value, double Digits) {
  return std::round(Value * Digits) / Digits;
}

// A load report of another host may carry a time that is still to come here.
double milliseconds(Duration Time) {
  return std::max(
      rounded(std::chrono::duration<double, std::milli>(Time).count(), 10),
      0.0);
}

double seconds(Duration Time) {
  return std::max(rounded(std::chrono::duration<double>(Time).count(), 1000),
                  0.0);
}

double share(double Value) { return rounded(Value, 1000); }

std::string text(std::string_view Value) { return std::string(Value); }

json::object encodeRoute(const Route &Matched) {
  return {{"name", Matched.Name},
          {"host", Matched.Host},
          {"path_prefix", Matched.PathPrefix},
          {"semantics", Matched.Semantics == ExecutionSemantics::Idempotent
                            ? "idempotent"
                            : "at_most_once"},
          {"public", Matched.IsPublic},
          {"priority", Matched.Priority},
          {"latency_objective_ms", milliseconds(Matched.LatencyObjective)},
          {"timeout_ms", milliseconds(Matched.Timeout)}};
}

std::string_view tokenState(const TokenPreview &Preview) {
  switch (Preview.Decision.Step) {
  case TokenStep::Taken:
    return "available";
  case TokenStep::Refused:
    return "refused";
  case TokenStep::Ask:
  case TokenStep::Await:
    return "ask_owner";
  }
  return "unknown";
}

json::object encodeToken(const TokenPreview &Preview) {
  json::object Made{{"state", text(tokenState(Preview))},
                    {"held", Preview.Held},
                    {"refused_for_ms", milliseconds(Preview.RefusedFor)}};
  if (Preview.Owner) {
    Made["owner"] = Preview.Owner->Value;
    Made["owned_here"] = Preview.IsOwnerSelf;
  }
  return Made;
}

json::object encodeAccount(const ClientAccount &Account,
                           const std::optional<TokenPreview> &Token) {
  json::object Made{{"name", Account.Name.Value},
                    {"rate_per_s", Account.Rate},
                    {"burst", Account.Burst}};
  if (Account.Priority)
    Made["priority"] = *Account.Priority;
  if (Token)
    Made["token"] = encodeToken(*Token);
  return Made;
}

std::string_view suspectReason(const TargetExplanation &Target) {
  if (Target.IsEjected)
    return "ejected";
  return Target.IsOnProbation ? "probation" : "registration_missing";
}

json::object encodeTarget(const TargetExplanation &Target) {
  json::object Made{{"id", Target.Id.Value}, {"domain", Target.Domain.Value}};
  if (Target.Exclusion != TargetExclusion::None) {
    Made["use"] = "excluded";
    Made["reason"] = text(targetExclusionName(Target.Exclusion));
  } else if (Target.IsSuspect) {
    Made["use"] = "last_resort";
    Made["reason"] = text(suspectReason(Target));
  } else {
    Made["use"] = "candidate";
  }
  if (!Target.DomainReason.empty())
    Made["domain_reason"] = text(Target.DomainReason);
  if (Target.ExcludedFor)
    Made["for_ms"] = milliseconds(*Target.ExcludedFor);
  if (Target.Load)
    Made["load"] = json::object{{"in_flight", Target.Load->InFlight},
                                {"slots", Target.Load->Slots},
                                {"queued", Target.Load->Queued},
                                {"slowdown", share(Target.Load->Slowdown)},
                                {"age_ms", milliseconds(Target.LoadAge)}};
  if (Target.LatencyFactor)
    Made["latency_factor"] = share(*Target.LatencyFactor);
  return Made;
}

json::array encodeShares(const std::vector<TargetShare> &Shares) {
  json::array Made;
  for (const TargetShare &Entry : Shares)
    Made.push_back(json::object{{"target", Entry.Id.Value},
                                {"share", share(Entry.Share)}});
  return Made;
}

constexpr std::string_view resultName(ExplainedResult Result) {
  switch (Result) {
  case ExplainedResult::Send:
    return "send";
  case ExplainedResult::Hold:
    return "hold";
  case ExplainedResult::Refuse:
    return "refuse";
  }
  return "unknown";
}

void addRefusal(json::object &Made, const RefusalDecision &Refusal) {
  Made["status"] = 503;
  Made["retry_after_s"] = seconds(Refusal.RetryAfter);
}

json::object encodeSelection(const SelectionExplanation &Selection) {
  json::object Made{{"result", text(resultName(Selection.Result))},
                    {"reason", text(Selection.Reason)},
                    {"likelihood", share(Selection.Likelihood)},
                    {"probed_first", encodeShares(Selection.ProbedFirst)},
                    {"selected", encodeShares(Selection.Selected)}};
  if (Selection.HeldFor)
    Made["held_for_ms"] = milliseconds(*Selection.HeldFor);
  if (!Selection.Refusal)
    return Made;
  if (Selection.Result == ExplainedResult::Refuse) {
    addRefusal(Made, *Selection.Refusal);
    return Made;
  }
  json::object Later{
      {"reason", text(refusalCauseName(Selection.Refusal->Cause))}};
  addRefusal(Later, *Selection.Refusal);
  Made["then"] = std::move(Later);
  return Made;
}

json::object encodeOutcome(const Explanation &Explained) {
  if (!Explained.Refusal)
    return Explained.Selection ? encodeSelection(*Explained.Selection)
                               : json::object{};
  json::object Made{{"result", text(resultName(ExplainedResult::Refuse))},
                    {"reason", text(Explained.Refusal->Reason)},
                    {"status", Explained.Refusal->Status}};
  if (Explained.Refusal->RetryAfter)
    Made["retry_after_s"] = seconds(*Explained.Refusal->RetryAfter);
  return Made;
}

} // namespace

Result<ExplainedRequest> decodeExplainRequest(std::string_view Body) {
  JsonDocument Document(Body, {BytesMaximum, DepthMaximum});
  JsonReader Root = Document.root();
  ExplainedRequest Decoded;
  Root.required("method").string(Decoded.Method, 1, MethodBytes);
  Root.required("host").string(Decoded.Host, 1, HostBytes);
  Root.required("path").matchingText(
      Decoded.Path, "a path that begins with a slash",
      [](std::string_view Path) { return Path.starts_with('/'); });
  Root.optional("body_bytes").integer(Decoded.BodyBytes, 0, BodyBytesMaximum);
  AccountName Account;
  if (Root.optional("account").string(Account.Value, 1, HostBytes))
    Decoded.Account = std::move(Account);
  const bool HasKey = Root.optional("key").string(Decoded.Key, 1, KeyBytes);
  if (HasKey && Decoded.Account)
    Document.addFault({"key", "", "absent when an account is named"});
  const auto Checked = Document.finish("request to explain");
  if (!Checked)
    return Error{Checked.error().Kind, describeFaults(Document)};
  return Decoded;
}

std::string encodeExplanation(const Explanation &Explained) {
  json::object Made{{"version", COMFREYRILL_VERSION},
                    {"host", Explained.Host.Value},
                    {"domain", Explained.HostDomain.Value},
                    {"draining", Explained.IsDraining},
                    {"configuration_version",
                     Explained.Active ? Explained.Active->Version.Value : 0}};
  if (const Route *Matched = Explained.Arrival.Matched) {
    Made["route"] = encodeRoute(*Matched);
    json::array Services;
    for (std::size_t Index = 0; Index < Explained.Shares.size(); ++Index)
      Services.push_back(
          json::object{{"name", Matched->Services[Index].Service.Value},
                       {"share", share(Explained.Shares[Index])}});
    Made["services"] = std::move(Services);
  }
  if (Explained.Arrival.Account != nullptr)
    Made["account"] =
        encodeAccount(*Explained.Arrival.Account, Explained.Token);
  if (Explained.Service) {
    Made["service"] = Explained.Service->Value;
    Made["expected_time_ms"] = milliseconds(Explained.ExpectedTime);
    json::array Targets;
    for (const TargetExplanation &Target : Explained.Targets)
      Targets.push_back(encodeTarget(Target));
    Made["targets"] = std::move(Targets);
  }
  Made["outcome"] = encodeOutcome(Explained);
  return prettyJson(Made);
}

} // namespace comfreyrill
