#include "Platform.h"

#include <LibHttp/HttpClient.h>

#include <gtest/gtest.h>

namespace comfreyrill::standins {
namespace {

/// Sends requests to the handler of a platform without listeners.
struct PlatformTest : testing::Test {
  asio::io_context Context;
  SystemClock TimeSource;
  std::shared_ptr<Platform> Server =
      std::make_shared<Platform>(Context.get_executor(), TimeSource);

  struct Pending {
    std::shared_ptr<Disconnect> CallerLeft = std::make_shared<Disconnect>();
    std::optional<HttpResponse> Response;
  };

  std::shared_ptr<Pending> send(http::verb Method, const std::string &Path,
                                const std::string &IfMatch = "",
                                const std::string &Body = "") {
    HttpRequest Request(Method, Path, 11);
    if (!IfMatch.empty())
      Request.set(http::field::if_match, IfMatch);
    Request.body() = Body;
    auto Call = std::make_shared<Pending>();
    asio::co_spawn(Context,
                   Server->handle(std::move(Request), Call->CallerLeft),
                   [Call](const std::exception_ptr &, HttpResponse Response) {
                     Call->Response = std::move(Response);
                   });
    Context.restart();
    Context.poll();
    return Call;
  }
};

// Guards against a watch that returns before its object changes, or misses the
// change. Tests of how hosts follow the manifest would be meaningless.
TEST_F(PlatformTest, WatchWaitsForAChangeOfItsKey) {
  Server->store().update("manifest", "one", {});
  Server->store().update("fleet", "one", {});
  const auto Watch =
      send(http::verb::get, "/objects/manifest?watch=1&timeout_ms=60000");
  EXPECT_FALSE(Watch->Response);
  send(http::verb::put, "/objects/fleet", "\"1\"", "two");
  EXPECT_FALSE(Watch->Response);
  send(http::verb::put, "/objects/manifest", "\"1\"", "two");
  ASSERT_TRUE(Watch->Response);
  EXPECT_EQ(Watch->Response->result(), http::status::ok);
  EXPECT_EQ(Watch->Response->body(), "two");
  EXPECT_EQ((*Watch->Response)[http::field::etag], "\"2\"");
  EXPECT_EQ(Server->counts().Watches, 1U);
}

// Guards against a watch that does not return although the object is already
// newer than the version in the request.
TEST_F(PlatformTest, WatchOfAnOldVersionReturnsAtOnce) {
  Server->store().update("k", "one", {});
  Server->store().update("k", "two", {});
  const auto Watch =
      send(http::verb::get, "/objects/k?watch=1&timeout_ms=60000");
  ASSERT_TRUE(Watch->Response);
  EXPECT_EQ(Watch->Response->body(), "two");
}

// Guards against a watch timeout that is reported as a change.
TEST_F(PlatformTest, WatchTimesOutAsNotModified) {
  Server->store().update("k", "one", {});
  const auto Watch = send(http::verb::get, "/objects/k?watch=1&timeout_ms=0");
  ASSERT_TRUE(Watch->Response);
  EXPECT_EQ(Watch->Response->result(), http::status::not_modified);
}

// Guards against watches that stay pending after their callers disconnect.
TEST_F(PlatformTest, WatchEndsWhenItsCallerDisconnects) {
  const auto Watch =
      send(http::verb::get, "/objects/k?watch=0&timeout_ms=60000");
  EXPECT_EQ(Server->pendingWatches(), 1U);
  Watch->CallerLeft->notify();
  Context.restart();
  Context.poll();
  EXPECT_EQ(Server->pendingWatches(), 0U);
}

// Guards against accepting an update without a precondition, which could
// overwrite a version that its sender has not read.
TEST_F(PlatformTest, UpdateNeedsACondition) {
  const auto Update = send(http::verb::put, "/objects/k", "", "v");
  ASSERT_TRUE(Update->Response);
  EXPECT_EQ(Update->Response->result(), http::status::precondition_required);
  EXPECT_EQ(Server->store().find("k"), nullptr);
}

// Guards against a rejected update whose response lacks the current version.
TEST_F(PlatformTest, ConflictStatesTheCurrentVersion) {
  Server->store().update("k", "one", {});
  Server->store().update("k", "two", {});
  const auto Update = send(http::verb::put, "/objects/k", "\"1\"", "three");
  ASSERT_TRUE(Update->Response);
  EXPECT_EQ(Update->Response->result(), http::status::precondition_failed);
  EXPECT_EQ((*Update->Response)[http::field::etag], "\"2\"");
  EXPECT_EQ(Server->store().find("k")->Value, "two");
}

// Guards against a dropped response whose update is not stored, or that is sent
// after all. A client's check for its own update after a lost response would
// then never be exercised.
TEST_F(PlatformTest, UpdateWithDroppedResponseIsStored) {
  ASSERT_TRUE(Server->listen({"127.0.0.1", 0}, {"127.0.0.1", 0}));
  PlatformFaults Faults;
  Faults.DroppedResponses = 1;
  Server->setFaults(Faults);
  const auto Put = [&](const std::string &Key) {
    HttpRequest Request(http::verb::put, "/objects/" + Key, 11);
    Request.set(http::field::if_none_match, "*");
    Request.body() = "value";
    std::optional<Result<HttpResponse>> Received;
    asio::co_spawn(
        Context,
        [&]() -> Awaitable<void> {
          Received =
              co_await fetch(Server->objectsEndpoint(), Request, {},
                             BootClock::now() + std::chrono::seconds(10));
        },
        asio::detached);
    Context.restart();
    while (!Received)
      Context.run_one();
    return std::move(*Received);
  };
  EXPECT_FALSE(Put("first"));
  EXPECT_NE(Server->store().find("first"), nullptr);
  const auto Second = Put("second");
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second.value().result(), http::status::ok);
  Server->close();
}

} // namespace
} // namespace comfreyrill::standins
