#include "Observation.h"

#include <algorithm>

namespace comfreyrill::chaos {

namespace {

constexpr Duration RequestTimeout = std::chrono::seconds(1);
constexpr std::size_t HistoryLength = 32;

std::uint64_t uniform(ChaosRun &Current, std::uint64_t Low,
                      std::uint64_t High) {
  return std::uniform_int_distribution<std::uint64_t>(Low,
                                                      High)(Current.Generator);
}

bool containsApplyId(const boost::json::object &Envelope,
                     const std::string &ApplyId) {
  if (Envelope.at("apply_id").as_string() == ApplyId)
    return true;
  return std::ranges::any_of(
      Envelope.at("history").as_array(), [&](const auto &Entry) {
        return Entry.as_object().at("apply_id").as_string() == ApplyId;
      });
}

boost::json::object nextEnvelope(const boost::json::object &Old,
                                 const std::string &ApplyId,
                                 boost::json::object Manifest) {
  // The history is ordered by ascending number.
  boost::json::array History = Old.at("history").as_array();
  History.push_back(boost::json::object{{"apply_id", Old.at("apply_id")},
                                        {"number", Old.at("number")}});
  if (History.size() > HistoryLength)
    History.erase(History.begin());
  return {{"number", Old.at("number").to_number<std::uint64_t>() + 1},
          {"apply_id", ApplyId},
          {"history", std::move(History)},
          {"manifest", std::move(Manifest)}};
}

Awaitable<Result<boost::json::object>>
readEnvelope(ChaosRun &Current, Endpoint Platform, std::string &EntityTag) {
  CO_TRY(const auto Response,
         co_await sendRequest(Current, Platform, http::verb::get,
                              "/objects/manifest"));
  boost::json::error_code Code;
  auto Value = boost::json::parse(Response.body(), Code);
  if (Response.result() != http::status::ok || Code || !Value.is_object())
    co_return Error{ErrorKind::Unavailable,
                    "cannot read the manifest from the platform"};
  EntityTag = std::string(Response[http::field::etag]);
  co_return std::move(Value.as_object());
}

} // namespace

Awaitable<void> sleepFor(ChaosRun &Current, Duration Length) {
  Timer Wait(Current.Context.get_executor());
  Wait.expires_after(Length);
  co_await Wait.async_wait(UseTuple);
}

Awaitable<Result<HttpResponse>> sendRequest(ChaosRun &Current, Endpoint Remote,
                                            http::verb Method, std::string Path,
                                            std::string Body,
                                            std::string IfMatch) {
  HttpRequest Request(Method, Path, 11);
  Request.body() = std::move(Body);
  if (!IfMatch.empty())
    Request.set(http::field::if_match, IfMatch);
  HttpLimits Limits;
  Limits.BodyBytes = std::uint64_t{256} * 1024 * 1024;
  // The run log of a minute takes longer to transfer than a status.
  const Duration Time =
      Path.starts_with("/control/runs") ? RequestTimeout * 20 : RequestTimeout;
  co_return co_await fetch(std::move(Remote), std::move(Request), Limits,
                           Current.TimeSource.now() + Time);
}

Awaitable<void> runOperator(ChaosRun &Current, Fleet &Processes,
                            std::string Name) {
  std::uint64_t Count = 0;
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await sleepFor(Current,
                      std::chrono::milliseconds(uniform(Current, 200, 1200)));
    std::string EntityTag;
    const auto Old =
        co_await readEnvelope(Current, Processes.platform(), EntityTag);
    if (!Old)
      continue;
    const std::string ApplyId = Name + "-" + std::to_string(++Count);
    std::string OmittedTarget;
    if (uniform(Current, 0, 1) == 1) {
      const auto Index = uniform(Current, 0, Processes.targets().size() - 1);
      OmittedTarget = std::string(
          Processes.targets()[Index].as_object().at("id").as_string());
    }
    const auto QueueLength =
        static_cast<std::uint32_t>(uniform(Current, 32, 128));
    // The delay before the update allows conflicts with other operators.
    co_await sleepFor(Current,
                      std::chrono::milliseconds(uniform(Current, 0, 150)));
    const boost::json::object New = nextEnvelope(
        Old.value(), ApplyId, Processes.manifest(OmittedTarget, QueueLength));
    const auto Number = New.at("number").to_number<std::uint64_t>();
    const auto Updated = co_await sendRequest(
        Current, Processes.platform(), http::verb::put, "/objects/manifest",
        boost::json::serialize(New), EntityTag);
    if (Updated && Updated.value().result() == http::status::ok) {
      ++Current.Applied;
      Current.HighestAccepted = std::max(Current.HighestAccepted, Number);
      continue;
    }
    if (Updated &&
        Updated.value().result() == http::status::precondition_failed) {
      ++Current.Conflicts;
      continue;
    }
    // The response was lost or the platform is unavailable; the stored manifest
    // shows whether the update was accepted.
    const auto Now =
        co_await readEnvelope(Current, Processes.platform(), EntityTag);
    if (Now && containsApplyId(Now.value(), ApplyId)) {
      ++Current.Applied;
      ++Current.ConfirmedAfterLostResponse;
      Current.HighestAccepted = std::max(Current.HighestAccepted, Number);
    }
  }
}

Awaitable<void> monitorHost(ChaosRun &Current, Host &Watched) {
  while (!Current.Done) {
    co_await sleepFor(Current, std::chrono::milliseconds(100));
    if (!Watched.Process || Watched.IsFrozen)
      continue;
    const auto Response = co_await sendRequest(Current, Watched.Admin,
                                               http::verb::get, "/v1/status");
    if (!Response || Response.value().result() != http::status::ok)
      continue;
    boost::json::error_code Code;
    const auto Status = boost::json::parse(Response.value().body(), Code);
    if (Code || !Status.is_object())
      continue;
    const auto *State = Status.as_object().if_contains("state");
    const auto *NumberField = Status.as_object().if_contains("manifest_number");
    if (State == nullptr || NumberField == nullptr ||
        State->as_string() == "starting")
      continue;
    const auto Number = NumberField->to_number<std::uint64_t>();
    Current.LatestManifestNumbers[Watched.Name] = Number;
    auto &Highest = Current.ReferenceManifestNumbers[Watched.Name];
    if (Number < Highest) {
      ++Current.Reversions;
      Current.Violations.push_back("reversion: " + Watched.Name +
                                   " shows manifest " + std::to_string(Number) +
                                   " after " + std::to_string(Highest));
    }
    // After a reversion the lower number becomes the reference, so that one
    // fault is not reported at each poll.
    Highest = Number;
  }
}

} // namespace comfreyrill::chaos
