#include "FakePlatform.h"

#include <LibPlatform/PlatformClient.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

class PlatformClientTest : public testing::Test {
protected:
  PlatformClientTest() : First(executor()), Second(executor()) {
    Settings.Endpoints = {First.endpoint(), Second.endpoint()};
    Settings.AttemptTimeout = std::chrono::milliseconds(100);
    Settings.Backoff.First = std::chrono::milliseconds(1);
    Settings.Backoff.Maximum = std::chrono::milliseconds(4);
  }

  Executor executor() { return Context.get_executor(); }
  PlatformClient makeClient() {
    return {executor(), TimeSource, Settings, Random(1)};
  }
  TimePoint deadlineIn(int Milliseconds = 5000) {
    return TimeSource.now() + std::chrono::milliseconds(Milliseconds);
  }
  Result<StoredObject> read(PlatformClient &Client, int Milliseconds = 5000) {
    return runToEnd(Context, Client.read("manifest", deadlineIn(Milliseconds)));
  }
  UpdateResult update(PlatformClient &Client, std::uint64_t BasedOn) {
    return runToEnd(
        Context,
        Client.update("manifest", "new", ObjectVersion{BasedOn}, deadlineIn()));
  }

  asio::io_context Context;
  SystemClock TimeSource;
  FakePlatform First;
  FakePlatform Second;
  PlatformSettings Settings;
};

// Guards against updates sent without their version condition, and against a
// conflict that does not return the current version.
TEST_F(PlatformClientTest, UpdatesConditionally) {
  PlatformClient Client = makeClient();
  EXPECT_EQ(read(Client).error().Kind, ErrorKind::NotFound);
  const UpdateResult Created = update(Client, 0);
  EXPECT_EQ(Created.Outcome, UpdateOutcome::Stored);
  EXPECT_EQ(Created.Version, ObjectVersion{1});
  EXPECT_EQ(update(Client, 0).Outcome, UpdateOutcome::Conflict);
  EXPECT_EQ(update(Client, 1).Version, ObjectVersion{2});
  const UpdateResult Stale = update(Client, 1);
  EXPECT_EQ(Stale.Outcome, UpdateOutcome::Conflict);
  EXPECT_EQ(Stale.Version, ObjectVersion{2});
  EXPECT_EQ(read(Client).value().Value, "new");
  EXPECT_EQ(Client.counts().Updates, 4U);
  EXPECT_EQ(Client.counts().Reads, 2U);
}

// Guards against reads that fail during an outage of one endpoint, and against
// retrying the failed endpoint first on every call.
TEST_F(PlatformClientTest, StaysOnTheEndpointAfterFailover) {
  Second.Objects["manifest"] = {ObjectVersion{7}, "value"};
  First.Default = FakeBehaviour::Refuse;
  PlatformClient Client = makeClient();
  EXPECT_EQ(read(Client).value().Version, ObjectVersion{7});
  EXPECT_EQ(read(Client).value().Version, ObjectVersion{7});
  EXPECT_EQ(First.Calls, 1U);
  EXPECT_EQ(Client.counts().Failures, 1U);
  Second.close();
  First.Default = FakeBehaviour::Normal;
  First.Objects["manifest"] = {ObjectVersion{8}, "value"};
  EXPECT_EQ(read(Client).value().Version, ObjectVersion{8});
}

// Guards against giving up after the first failure, and against retrying past
// the deadline.
TEST_F(PlatformClientTest, RetriesUntilTheDeadline) {
  First.Objects["manifest"] = {ObjectVersion{7}, "value"};
  First.Next.assign(5, FakeBehaviour::Refuse);
  Second.Default = FakeBehaviour::Refuse;
  PlatformClient Client = makeClient();
  EXPECT_EQ(read(Client).value().Version, ObjectVersion{7});
  EXPECT_EQ(First.Calls, 6U);
  First.Default = FakeBehaviour::Refuse;
  const auto Failed = read(Client, 20);
  ASSERT_FALSE(Failed.has_value());
  EXPECT_EQ(Failed.error().Kind, ErrorKind::Unavailable);
}

// Guards against a read that blocks forever on an endpoint that never responds.
TEST_F(PlatformClientTest, FailsOverFromAnUnresponsiveEndpoint) {
  First.Default = FakeBehaviour::Ignore;
  Second.Objects["manifest"] = {ObjectVersion{7}, "value"};
  PlatformClient Client = makeClient();
  EXPECT_EQ(read(Client).value().Version, ObjectVersion{7});
}

// Guards against an update that is retried, or reported as not stored, although
// the platform may have executed it.
TEST_F(PlatformClientTest, LostResponsesHaveAnUnknownOutcome) {
  First.Default = FakeBehaviour::LoseAnswer;
  PlatformClient Client = makeClient();
  const UpdateResult Lost = update(Client, 0);
  EXPECT_EQ(Lost.Outcome, UpdateOutcome::Unknown);
  EXPECT_EQ(First.Objects["manifest"].Version, ObjectVersion{1});
  EXPECT_EQ(Second.Calls, 0U);
}

// Guards against reporting an unknown outcome for an update that was certainly
// not executed.
TEST_F(PlatformClientTest, UpdatesFailOverWhenNotExecuted) {
  First.close();
  PlatformClient Client = makeClient();
  EXPECT_EQ(update(Client, 0).Outcome, UpdateOutcome::Stored);
  EXPECT_EQ(Second.Objects["manifest"].Version, ObjectVersion{1});
  Second.Default = FakeBehaviour::Refuse;
  const UpdateResult Refused = update(Client, 1);
  EXPECT_EQ(Refused.Outcome, UpdateOutcome::Unavailable);
  EXPECT_EQ(Refused.Cause->Kind, ErrorKind::Unavailable);
}

// Guards against malformed or oversized responses that are accepted as a value
// or retried until the deadline.
TEST_F(PlatformClientTest, UnusableResponsesReturnTypedErrors) {
  for (FakePlatform *Platform : {&First, &Second}) {
    Platform->Objects["manifest"] = {ObjectVersion{7}, "value"};
    Platform->Default = FakeBehaviour::BadVersion;
  }
  PlatformClient Client = makeClient();
  EXPECT_EQ(read(Client).error().Kind, ErrorKind::InvalidInput);
  EXPECT_EQ(update(Client, 7).Outcome, UpdateOutcome::Unknown);
  First.Default = Second.Default = FakeBehaviour::TooLarge;
  EXPECT_EQ(read(Client).error().Kind, ErrorKind::TooLarge);
}

// Guards against a watch that misses a change, reports an old version as new,
// or cannot be cancelled at shutdown.
TEST_F(PlatformClientTest, WatchesForNewerVersions) {
  First.Objects["manifest"] = {ObjectVersion{7}, "value"};
  PlatformClient Client = makeClient();
  const auto Watch = [&](std::uint64_t After) {
    return runToEnd(Context, Client.watch("manifest", ObjectVersion{After},
                                          std::chrono::seconds(30)));
  };
  EXPECT_EQ(Watch(6).value()->Version, ObjectVersion{7});
  EXPECT_FALSE(Watch(7).value().has_value());
  EXPECT_EQ(Client.counts().Watches, 2U);

  First.Next = {FakeBehaviour::AnswerWatchImmediately};
  Second.Default = FakeBehaviour::Refuse;
  EXPECT_FALSE(Watch(7).has_value());
  EXPECT_EQ(Second.Calls, 0U);

  const TimePoint Start = TimeSource.now();
  First.HoldsWatches = true;
  First.BeforeCall = [&] { asio::post(Context, [&] { Client.close(); }); };
  const auto Ended = Watch(7);
  ASSERT_FALSE(Ended.has_value());
  EXPECT_EQ(Ended.error().Kind, ErrorKind::Unavailable);
  EXPECT_EQ(Second.Calls, 0U);
  EXPECT_LT(TimeSource.now() - Start, std::chrono::seconds(10));
}

} // namespace
} // namespace comfreyrill
