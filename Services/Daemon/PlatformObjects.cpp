#include "PlatformObjects.h"

#include <LibHttp/HttpClient.h>
#include <LibManifest/PlatformLimits.h>

#include <charconv>

namespace comfreyrill {

namespace {

constexpr Duration CallTime = std::chrono::seconds(2);
constexpr std::uint64_t FramingBytes = 4096;

Result<std::uint64_t> versionOf(const HttpResponse &Response) {
  std::string_view Tag = Response[http::field::etag];
  std::uint64_t Version = 0;
  if (Tag.size() > 2 && Tag.front() == '"' && Tag.back() == '"') {
    Tag = Tag.substr(1, Tag.size() - 2);
    const auto [Position, Code] =
        std::from_chars(Tag.data(), Tag.data() + Tag.size(), Version);
    if (Code == std::errc() && Position == Tag.data() + Tag.size())
      return Version;
  }
  return Error{ErrorKind::Unavailable,
               "the platform's answer has no version in its ETag; check that "
               "the platform address names an object API"};
}

Result<std::optional<PlatformObject>> objectOf(HttpResponse Response) {
  if (Response.result() == http::status::not_found ||
      Response.result() == http::status::not_modified)
    return std::optional<PlatformObject>();
  if (Response.result() != http::status::ok)
    return Error{ErrorKind::Unavailable,
                 "the platform answered with status " +
                     std::to_string(Response.result_int()) +
                     "; it is tried again later"};
  TRY(const auto Version, versionOf(Response));
  return std::optional(PlatformObject{Version, std::move(Response.body())});
}

} // namespace

PlatformObjects::PlatformObjects(const ExecutionContext &Environment,
                                 std::vector<Endpoint> Endpoints)
    : Environment(Environment), Endpoints(std::move(Endpoints)) {}

Awaitable<Result<HttpResponse>> PlatformObjects::send(HttpRequest Request,
                                                      Duration Time) {
  ++Environment.Figures.counter("platform_calls_total");
  HttpLimits Limits;
  Limits.BodyBytes = PlatformValueBytes + FramingBytes;
  const Endpoint Remote = Endpoints[Preferred % Endpoints.size()];
  auto Response = co_await fetch(Remote, std::move(Request), Limits,
                                 Environment.TimeSource.now() + Time);
  if (!Response) {
    ++Environment.Figures.counter("platform_failures_total");
    ++Preferred;
    co_return Error{ErrorKind::Unavailable, Response.error().Message};
  }
  co_return std::move(Response.value());
}

Awaitable<Result<std::optional<PlatformObject>>>
PlatformObjects::read(std::string Key) {
  HttpRequest Request{http::verb::get, "/objects/" + Key, 11};
  CO_TRY(auto Response, co_await send(std::move(Request), CallTime));
  co_return objectOf(std::move(Response));
}

Awaitable<Result<std::optional<PlatformObject>>>
PlatformObjects::watch(std::string Key, ObjectVersion Known, Duration Wait) {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  HttpRequest Request{http::verb::get,
                      "/objects/" + Key +
                          "?watch=" + std::to_string(Known.value_or(0)) +
                          "&timeout_ms=" + std::to_string(Milliseconds),
                      11};
  CO_TRY(auto Response, co_await send(std::move(Request), Wait + CallTime));
  co_return objectOf(std::move(Response));
}

Awaitable<Result<std::uint64_t>> PlatformObjects::update(std::string Key,
                                                         ObjectVersion Known,
                                                         std::string Value) {
  HttpRequest Request{http::verb::put, "/objects/" + Key, 11};
  if (Known)
    Request.set(http::field::if_match, '"' + std::to_string(*Known) + '"');
  else
    Request.set(http::field::if_none_match, "*");
  Request.body() = std::move(Value);
  CO_TRY(const auto Response, co_await send(std::move(Request), CallTime));
  if (Response.result() == http::status::precondition_failed)
    co_return Error{ErrorKind::Conflict,
                    "the object " + Key +
                        " was changed meanwhile; read it and try again"};
  if (Response.result() != http::status::ok)
    co_return Error{ErrorKind::Unavailable,
                    "the platform answered with status " +
                        std::to_string(Response.result_int()) +
                        "; it is tried again later"};
  co_return versionOf(Response);
}

} // namespace comfreyrill
