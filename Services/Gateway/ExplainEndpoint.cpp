#include "ExplainEndpoint.h"

#include "ExplanationCodec.h"

#include <LibJson/JsonText.h>

#include <boost/json/value.hpp>

namespace comfreyrill {

namespace {

constexpr std::string_view ExplainPath = "/explain";

HttpResponse reply(http::status Status, std::string Body) {
  HttpResponse Made(Status, 11);
  Made.set(http::field::content_type, "application/json");
  // Names the version to clients that cannot read the body.
  Made.set(http::field::server, "comfreyrill/" COMFREYRILL_VERSION);
  Made.body() = std::move(Body);
  Made.prepare_payload();
  return Made;
}

HttpResponse replyError(http::status Status, const std::string &Message) {
  return reply(Status, prettyJson(boost::json::object{{"error", Message}}));
}

} // namespace

bool isExplainRequest(const HttpRequest &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  return Target.substr(0, Target.find('?')) == ExplainPath;
}

ExplainEndpoint::ExplainEndpoint(Explain MakeExplanation)
    : MakeExplanation(std::move(MakeExplanation)) {}

Awaitable<HttpResponse> ExplainEndpoint::handle(HttpRequest Request) {
  if (Request.method() != http::verb::post) {
    HttpResponse Refusal =
        replyError(http::status::method_not_allowed,
                   "explanations are requested with POST /explain");
    Refusal.set(http::field::allow, "POST");
    co_return Refusal;
  }
  if (IsRunning) {
    HttpResponse Refusal = replyError(
        http::status::service_unavailable,
        "the host explains another request; repeat this one in a second");
    Refusal.set(http::field::retry_after, "1");
    co_return Refusal;
  }
  IsRunning = true;
  // An explanation of 223 targets takes 2.2 ms of a core, which a host of 0.07
  // cores has in 31 ms, so the requests that have arrived before go first.
  co_await asio::post(co_await asio::this_coro::executor, UseAwaitable);
  auto Decoded = decodeExplainRequest(Request.body());
  HttpResponse Made =
      Decoded ? reply(http::status::ok,
                      encodeExplanation(MakeExplanation(Decoded.value())))
              : replyError(http::status::bad_request, Decoded.error().Message);
  IsRunning = false;
  co_return Made;
}

} // namespace comfreyrill
