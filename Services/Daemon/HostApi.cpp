#include "HostApi.h"

#include <boost/json.hpp>

namespace comfreyrill {

namespace {

constexpr std::string_view CallPrefix = "/v1/call/";
constexpr std::size_t AddressesPerAnswer = 3;
constexpr std::uint64_t KeysPerAnswer = 64;

http::status statusOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::NotFound:
    return http::status::not_found;
  case ErrorKind::InvalidInput:
    return http::status::bad_request;
  default:
    return http::status::service_unavailable;
  }
}

HttpResponse errorResponse(const Error &Cause) {
  return refusalResponse(statusOf(Cause.Kind), errorKindName(Cause.Kind),
                         Cause.Message);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

HostApi::HostApi(const DaemonDependencies &Dependencies, CallService &Calls,
                 KeyedCalls &Keys, const MemberTable &Members)
    : Dependencies(Dependencies), Calls(Calls), Keys(Keys), Members(Members) {}

Awaitable<HttpResponse>
HostApi::handle(HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
  const std::string Target(Request.target());
  if (Target.starts_with(CallPrefix))
    co_return co_await Calls.handle(std::move(Request), std::move(CallerLeft));
  const std::string_view Path = pathOf(Target);
  if (Path == "/v1/addresses" && Request.method() == http::verb::get)
    co_return addresses(Target);
  if (Path == "/v1/keys" && Request.method() == http::verb::post)
    co_return keys(Target);
  co_return refusalResponse(
      http::status::not_found, "unknown_path",
      "this host answers GET /v1/addresses, POST /v1/keys and /v1/call/"
      "SERVICE/PATH; correct the path or the method");
}

Result<std::shared_ptr<ServiceRuntime>>
HostApi::findService(std::string_view Path) {
  const auto Name = queryParameter(Path, "service");
  if (!Name)
    return Error{ErrorKind::InvalidInput,
                 "the query names no service; add service=NAME"};
  auto Runtime = Dependencies.Services.find(ServiceName(std::string(*Name)));
  if (!Runtime)
    return Error{ErrorKind::NotFound,
                 "the manifest in force has no service " + std::string(*Name) +
                     "; correct the name or apply a manifest that has it"};
  return Runtime;
}

HttpResponse HostApi::addresses(std::string_view Path) {
  const auto Runtime = findService(Path);
  if (!Runtime)
    return errorResponse(Runtime.error());
  const auto KeyCount = parseNumber(
      "keys", queryParameter(Path, "keys").value_or("0"), 0, KeysPerAnswer);
  if (!KeyCount)
    return errorResponse(KeyCount.error());
  const auto Chosen =
      chooseAddresses(Members, AddressesPerAnswer,
                      Dependencies.TimeSource.now(), Dependencies.Generator);
  if (Chosen.empty())
    return errorResponse(
        {ErrorKind::Unavailable, "no host is ready; retry in a second"});

  boost::json::array Texts;
  std::string Logged;
  for (const CallerAddress &Entry : Chosen) {
    Texts.emplace_back(formatEndpoint(Entry.Address));
    Logged += (Logged.empty() ? "" : ",") + Entry.Host.Value;
  }
  LogLine Line("place");
  Line.field("service", Runtime.value()->Routing.Config.Name.Value)
      .field("hosts", Logged);
  Dependencies.Decisions.write(Line);

  const auto Lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
      Dependencies.Services.manifest().AddressLifetime);
  boost::json::array KeyTexts;
  for (std::uint64_t Count = 0; Count < KeyCount.value(); ++Count)
    KeyTexts.emplace_back(Keys.issue(Runtime.value()->Routing.Config.Witness));
  boost::json::object Body;
  Body["addresses"] = std::move(Texts);
  Body["lifetime_ms"] = Lifetime.count();
  Body["keys"] = std::move(KeyTexts);
  return jsonResponse(http::status::ok, boost::json::serialize(Body));
}

HttpResponse HostApi::keys(std::string_view Path) {
  const auto Runtime = findService(Path);
  if (!Runtime)
    return errorResponse(Runtime.error());
  const auto Count = parseNumber(
      "count", queryParameter(Path, "count").value_or("1"), 1, KeysPerAnswer);
  if (!Count)
    return errorResponse(Count.error());
  boost::json::array Texts;
  for (std::uint64_t Index = 0; Index < Count.value(); ++Index)
    Texts.emplace_back(Keys.issue(Runtime.value()->Routing.Config.Witness));
  boost::json::object Body;
  Body["keys"] = std::move(Texts);
  return jsonResponse(http::status::ok, boost::json::serialize(Body));
}

HttpResponse invalidRequestResponse(http::status Status, const Error &Cause) {
  return refusalResponse(Status, errorKindName(Cause.Kind), Cause.Message);
}

} // namespace comfreyrill
