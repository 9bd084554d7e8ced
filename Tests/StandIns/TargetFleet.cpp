#include "TargetFleet.h"

#include <algorithm>

namespace comfreyrill::standins {

TargetFleet::TargetFleet(const Executor &Context, const Clock &TimeSource,
                         std::uint64_t Seed)
    : Context(Context), TimeSource(TimeSource), Generator(Seed) {}

Result<void> TargetFleet::add(const std::string &Id, const Endpoint &Requested,
                              const TargetBehaviour &Behaviour) {
  auto Added = std::make_shared<Target>(Context, TimeSource, Log, Id, Behaviour,
                                        Random(Generator()));
  TRY(Added->listen(Requested));
  Targets.push_back(std::move(Added));
  return outcome::success();
}

Result<void> TargetFleet::listenControl(const Endpoint &Requested) {
  ControlServer = std::make_shared<HttpServer>(
      Context, TimeSource, HttpLimits{},
      [this](HttpRequest Request, std::shared_ptr<Disconnect>)
          -> Awaitable<HttpResponse> { co_return handleControl(Request); },
      errorResponse);
  return ControlServer->listen(Requested);
}

boost::json::object TargetFleet::describe() const {
  boost::json::array Rows;
  for (const auto &Current : Targets)
    Rows.push_back({{"id", Current->id()},
                    {"address", formatEndpoint(Current->endpoint())},
                    {"slots", Current->behaviour().Slots}});
  return {{"control", formatEndpoint(ControlServer->localEndpoint())},
          {"targets", std::move(Rows)}};
}

void TargetFleet::close() {
  for (const auto &Current : Targets)
    Current->close();
  if (ControlServer)
    ControlServer->close();
}

HttpResponse TargetFleet::handleControl(const HttpRequest &Request) {
  const RequestTarget Parts = splitTarget(Request.target());
  if (Parts.Path == "/control/runs")
    return jsonResponse(http::status::ok, Log.toJson(Parts.number("from", 0)));
  if (Parts.Path == "/control/targets")
    return jsonResponse(http::status::ok, describe());
  if (Parts.Path == "/control/behaviour" &&
      Request.method() == http::verb::post) {
    const auto Settings = parseObject(Request.body());
    if (!Settings)
      return errorResponse(http::status::bad_request, Settings.error());
    if (const auto Changed = changeBehaviour(Settings.value()); !Changed)
      return errorResponse(http::status::bad_request, Changed.error());
    return jsonResponse(http::status::ok, {{"accepted", true}});
  }
  return errorResponse(http::status::not_found,
                       Error{ErrorKind::NotFound,
                             "unknown path; use GET /control/runs, GET "
                             "/control/targets or POST /control/behaviour"});
}

Result<void> TargetFleet::changeBehaviour(const boost::json::object &Settings) {
  std::vector<std::shared_ptr<Target>> Chosen;
  if (const auto *Names = Settings.if_contains("targets")) {
    if (!Names->is_array())
      return Error{ErrorKind::InvalidInput,
                   "'targets' must be an array of target ids"};
    for (const auto &Current : Targets)
      if (std::ranges::find(Names->as_array(),
                            boost::json::value(Current->id())) !=
          Names->as_array().end())
        Chosen.push_back(Current);
    if (Chosen.size() != Names->as_array().size())
      return Error{ErrorKind::NotFound,
                   "'targets' contains an unknown target id"};
  } else {
    Chosen = Targets;
  }
  bool CrashNow = false;
  TRY(readMember(Settings, "crash_now", CrashNow));
  for (const auto &Current : Chosen) {
    TRY(applySettings(Settings, Current->behaviour()));
    if (CrashNow)
      Current->crash();
  }
  return outcome::success();
}

} // namespace comfreyrill::standins
