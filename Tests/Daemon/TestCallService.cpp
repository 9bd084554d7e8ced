#include "CallServiceFixture.h"

#include <Daemon/HeaderNames.h>

namespace comfreyrill {
namespace {

HttpRequest getRequest(std::string_view Path) {
  HttpRequest Request{http::verb::get, Path, 11};
  return Request;
}

HttpServer::Handler respondWith(const std::string &Body) {
  return [Body](HttpRequest Request,
                std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
    co_return jsonResponse(http::status::ok,
                           Body + std::string(Request.target()));
  };
}

/// Sheds every request once the flag is set, and answers until then.
HttpServer::Handler shedWhen(std::shared_ptr<bool> IsShedding) {
  return [IsShedding](HttpRequest,
                      std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
    if (!*IsShedding)
      co_return jsonResponse(http::status::ok, "");
    HttpResponse Response = jsonResponse(http::status::service_unavailable, "");
    Response.set(header::Shed, "before-start");
    co_return Response;
  };
}

TEST_F(CallServiceFixture, ForwardsTheWholeAnswer) {
  addTarget("t1", respondWith("body of "));
  applyManifest();
  const HttpResponse Response = call(getRequest("/v1/call/stock/items?x=1"));
  EXPECT_EQ(Response.result(), http::status::ok);
  EXPECT_EQ(Response.body(), "body of /items?x=1");
  EXPECT_EQ(Response[header::Outcome], "answer");
  EXPECT_EQ(Response[header::Target], "t1");
}

// Guards against failing a call although only one of two targets sheds it. The
// calls before the shedding starts fill the retry budget, which is a ratio of
// the calls.
TEST_F(CallServiceFixture, RetriesAShedCallOnAnotherTarget) {
  const auto IsShedding = std::make_shared<bool>(false);
  addTarget("t1", shedWhen(IsShedding));
  addTarget("t2", respondWith(""));
  applyManifest();
  for (int Count = 0; Count < 100; ++Count)
    EXPECT_EQ(call(getRequest("/v1/call/stock/items"))[header::Outcome],
              "answer");
  *IsShedding = true;
  for (int Count = 0; Count < 8; ++Count) {
    const HttpResponse Response = call(getRequest("/v1/call/stock/items"));
    EXPECT_EQ(Response[header::Outcome], "answer");
    EXPECT_EQ(Response[header::Target], "t2");
  }
}

// Guards against the outcome "unknown" when every target proved that it did not
// run the request.
TEST_F(CallServiceFixture, AllShedIsNotRun) {
  addTarget("t1", shedWhen(std::make_shared<bool>(true)));
  addTarget("t2", shedWhen(std::make_shared<bool>(true)));
  applyManifest();
  const HttpResponse Response = call(getRequest("/v1/call/stock/items"));
  EXPECT_EQ(Response.result(), http::status::service_unavailable);
  EXPECT_EQ(Response[header::Outcome], "not-run");
}

// Guards against the outcome "not-run" for a request that reached a target.
TEST_F(CallServiceFixture, MissingAnswerIsUnknown) {
  addTarget("t1",
            [this](HttpRequest,
                   std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
              Timer Pause(Loop.get_executor());
              Pause.expires_after(std::chrono::seconds(5));
              co_await Pause.async_wait(UseTuple);
              co_return HttpResponse{};
            });
  applyManifest();
  HttpRequest Request = getRequest("/v1/call/stock/items");
  Request.set(header::TimeoutMilliseconds, "20");
  const HttpResponse Response = call(std::move(Request));
  EXPECT_EQ(Response.result(), http::status::gateway_timeout);
  EXPECT_EQ(Response[header::Outcome], "unknown");
}

TEST_F(CallServiceFixture, UnknownServiceErrorSuggestsApplyingAManifest) {
  addTarget("t1", respondWith(""));
  applyManifest();
  const HttpResponse Response = call(getRequest("/v1/call/nothing/items"));
  EXPECT_EQ(Response.result(), http::status::not_found);
  EXPECT_EQ(Response[header::Outcome], "not-run");
  EXPECT_NE(Response.body().find("apply a manifest"), std::string::npos);
}

} // namespace
} // namespace comfreyrill
