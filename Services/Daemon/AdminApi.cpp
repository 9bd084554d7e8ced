#include "AdminApi.h"

#include "Version.h"

#include <LibCore/Hash.h>

#include <boost/json.hpp>

namespace comfreyrill {

namespace {

constexpr std::uint64_t MaximumWaitMilliseconds = 60'000;

boost::json::object describe(const HostDescription &Description,
                             std::string_view State) {
  boost::json::object Object;
  Object["host"] = Description.Host.Value;
  Object["incarnation"] = hexadecimal(Description.Incarnation.Value);
  Object["failure_domain"] = Description.Domain.Value;
  Object["state"] = State;
  Object["manifest_number"] = Description.Manifest.Value;
  Object["caller_address"] = formatEndpoint(Description.CallerAddress);
  Object["peer_address"] = formatEndpoint(Description.PeerAddress);
  Object["admin_address"] = formatEndpoint(Description.AdminAddress);
  return Object;
}

boost::json::object describe(const TargetState &Target, TimePoint Now) {
  boost::json::object Object;
  Object["id"] = Target.Config.Id.Value;
  Object["address"] = formatEndpoint(Target.Config.Address);
  Object["failure_domain"] = Target.Config.Domain.Value;
  Object["slots"] = Target.Config.Slots;
  Object["in_flight"] = Target.InFlight;
  if (Target.HasReport)
    Object["reported_in_flight"] =
        static_cast<std::uint32_t>(Target.OthersLoadAtReport) + Target.InFlight;
  Object["draining"] = Target.Draining;
  const Duration PauseLeft = isPaused(Target.Pause, Now)
                                 ? Target.Pause.EndsAt - Now
                                 : Duration::zero();
  Object["paused_ms"] =
      std::chrono::ceil<std::chrono::milliseconds>(PauseLeft).count();
  Object["ejected"] = Target.Outlier.Ejected;
  return Object;
}

} // namespace

std::string_view hostStateName(HostState State) {
  switch (State) {
  case HostState::Starting:
    return "starting";
  case HostState::Ready:
    return "ready";
  case HostState::Leaving:
    return "leaving";
  }
  return "starting";
}

std::string_view peerStateName(Liveness PeerLiveness,
                               HostState AnnouncedState) {
  switch (PeerLiveness) {
  case Liveness::Alive:
    return hostStateName(AnnouncedState);
  case Liveness::Unconfirmed:
  case Liveness::Suspect:
    return "suspect";
  case Liveness::Lost:
    return "lost";
  }
  return "lost";
}

AdminApi::AdminApi(const DaemonDependencies &Dependencies,
                   const MemberTable &Members, const ActiveDocuments &Documents,
                   MetricsUpdater UpdateMetrics,
                   std::function<void()> StartDrain)
    : Dependencies(Dependencies), Members(Members), Documents(Documents),
      UpdateMetrics(std::move(UpdateMetrics)),
      StartDrain(std::move(StartDrain)) {}

Awaitable<HttpResponse> AdminApi::handle(HttpRequest Request,
                                         std::shared_ptr<Disconnect> /*Left*/) {
  const std::string Target(Request.target());
  const std::string Path = Target.substr(0, Target.find('?'));
  const bool IsGet = Request.method() == http::verb::get;
  if (Path == "/v1/status" && IsGet)
    co_return jsonResponse(http::status::ok, status());
  if (Path == "/v1/decisions" && IsGet)
    co_return co_await decisions(Target);
  if (Path == "/v1/drain" && Request.method() == http::verb::post) {
    StartDrain();
    co_return jsonResponse(http::status::accepted, R"({"state":"leaving"})");
  }
  if (Path == "/v1/manifest" && IsGet && !Documents.manifestText().empty())
    co_return jsonResponse(http::status::ok, Documents.manifestText());
  if (Path == "/metrics" && IsGet) {
    UpdateMetrics(Dependencies.ProcessMetrics);
    HttpResponse Response =
        jsonResponse(http::status::ok, Dependencies.ProcessMetrics.text());
    Response.set(http::field::content_type, "text/plain; version=0.0.4");
    co_return Response;
  }
  co_return refusalResponse(
      http::status::not_found, "unknown_path",
      "the admin listener answers GET /v1/status, GET /v1/manifest, GET "
      "/v1/decisions, GET /metrics and POST /v1/drain; correct the path or "
      "the method");
}

Awaitable<HttpResponse> AdminApi::decisions(std::string Path) {
  const std::string Newest = std::to_string(Dependencies.Decisions.position());
  const auto After =
      parseNumber("after", queryParameter(Path, "after").value_or(Newest), 0,
                  std::numeric_limits<std::int64_t>::max());
  const auto Timeout = parseNumber(
      "timeout_ms", queryParameter(Path, "timeout_ms").value_or("0"), 0,
      MaximumWaitMilliseconds);
  if (!After || !Timeout)
    co_return refusalResponse(http::status::bad_request, "invalid_input",
                              !After ? After.error().Message
                                     : Timeout.error().Message);
  const auto Page = co_await Dependencies.Decisions.readAfter(
      After.value(), Dependencies.TimeSource.now() +
                         std::chrono::milliseconds(Timeout.value()));
  boost::json::object Body;
  Body["next"] = Page.Next;
  boost::json::array Lines;
  for (const std::string &Line : Page.Lines)
    Lines.emplace_back(Line);
  Body["lines"] = std::move(Lines);
  co_return jsonResponse(http::status::ok, boost::json::serialize(Body));
}

std::string AdminApi::status() const {
  const TimePoint Now = Dependencies.TimeSource.now();
  boost::json::object Body =
      describe(Members.Self, hostStateName(Members.Self.State));
  Body["version"] = ProgramVersion;
  boost::json::array Peers;
  for (const Peer &Other : Members.Peers)
    Peers.push_back(
        describe(Other.Description, peerStateName(liveness(Members, Other, Now),
                                                  Other.Description.State)));
  Body["peers"] = std::move(Peers);
  boost::json::array Services;
  for (const ServiceConfig &Config :
       Dependencies.Services.manifest().Services) {
    const auto Runtime = Dependencies.Services.find(Config.Name);
    boost::json::object Service;
    Service["name"] = Config.Name.Value;
    Service["queued"] = Runtime->Routing.Queue.Calls.size();
    boost::json::array Targets;
    for (const TargetState &Target : Runtime->Routing.Targets)
      Targets.push_back(describe(Target, Now));
    Service["targets"] = std::move(Targets);
    Services.push_back(std::move(Service));
  }
  Body["services"] = std::move(Services);
  return boost::json::serialize(Body);
}

} // namespace comfreyrill
