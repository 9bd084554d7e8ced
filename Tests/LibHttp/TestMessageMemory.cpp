#include "HttpFixture.h"

#include <LibHttp/MessageMemory.h>

#include <list>
#include <memory>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

constexpr std::uint64_t Kilobyte = 1024;
constexpr std::uint64_t Megabyte = 1024 * Kilobyte;

/// A message that is being received.
struct Received {
  Received(MessageMemory &Memory, MessageKind Kind)
      : Share(&Memory, Kind, [this] { Bytes = 0; }) {}

  bool grow(std::uint64_t Added) {
    if (!Share.resize(Bytes + Added))
      return false;
    Bytes += Added;
    return true;
  }

  std::uint64_t Bytes = 0;
  MessageShare Share;
};

// Guards against messages that together take more than the process may use,
// and against memory that is lost when messages end.
RC_GTEST_PROP(MessageMemory, MessagesNeverExceedTheLimit, ()) {
  const MessageMemoryLimits Limits = messageMemoryLimits(16 * Megabyte);
  MessageMemory Memory(Limits);
  std::list<Received> Messages;
  const auto Steps =
      *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 10),
                        rc::gen::inRange<std::uint64_t>(1, 3 * Megabyte)));
  for (const auto &[Action, Bytes] : Steps) {
    if (Action < 4)
      Messages.emplace_back(Memory, Action == 0 ? MessageKind::Request
                                                : MessageKind::Response);
    if (Messages.empty())
      continue;
    const auto Chosen =
        std::next(Messages.begin(), static_cast<long>(Bytes % Messages.size()));
    if (Action < 9 && !Chosen->Share.isDropped())
      Chosen->grow(Bytes);
    else
      Messages.erase(Chosen);
    std::uint64_t Sum = 0;
    for (const Received &Message : Messages)
      Sum += Message.Bytes;
    RC_ASSERT(Memory.usedBytes() == Sum);
    RC_ASSERT(Sum <= Limits.Total);
  }
  Messages.clear();
  RC_ASSERT(Memory.usedBytes() == 0U);
}

// Guards against small responses that fail because a target sends without end.
TEST(MessageMemory, LargestResponseMakesRoomForOthers) {
  MessageMemory Memory({Megabyte, Megabyte});
  Received Endless(Memory, MessageKind::Response);
  Received Large(Memory, MessageKind::Response);
  ASSERT_TRUE(Large.grow(300 * Kilobyte));
  ASSERT_TRUE(Endless.grow(700 * Kilobyte));
  Received Small(Memory, MessageKind::Response);
  EXPECT_TRUE(Small.grow(100 * Kilobyte));
  EXPECT_TRUE(Endless.Share.isDropped());
  EXPECT_FALSE(Endless.Share.resize(1));
  EXPECT_FALSE(Large.Share.isDropped());
  EXPECT_EQ(Memory.usedBytes(), 400 * Kilobyte);
  EXPECT_EQ(Memory.droppedResponses(), 1U);
  // The largest response itself makes no other one give way.
  EXPECT_TRUE(Large.grow(600 * Kilobyte));
  EXPECT_FALSE(Large.grow(100 * Kilobyte));
  EXPECT_FALSE(Small.Share.isDropped());
}

// Guards against uploads that take the room of responses, whose targets have
// already worked, or that keep usual requests out.
TEST(MessageMemory, UploadsLeaveRoomForOthers) {
  MessageMemory Memory({Megabyte, 600 * Kilobyte});
  Received Response(Memory, MessageKind::Response);
  ASSERT_TRUE(Response.grow(500 * Kilobyte));
  Received Upload(Memory, MessageKind::Request);
  EXPECT_TRUE(Upload.grow(500 * Kilobyte));
  EXPECT_FALSE(Upload.grow(100 * Kilobyte));
  EXPECT_FALSE(Response.Share.isDropped());
  EXPECT_EQ(Memory.deniedMessages(), 1U);
  Received Usual(Memory, MessageKind::Request);
  Received Next(Memory, MessageKind::Request);
  EXPECT_TRUE(Usual.grow(16 * Kilobyte));
  EXPECT_TRUE(Next.grow(16 * Kilobyte));
  EXPECT_TRUE(Response.Share.isDropped());
  EXPECT_TRUE(Upload.grow(64 * Kilobyte));
  EXPECT_FALSE(Upload.grow(64 * Kilobyte));
}

// Guards against responses on their way to a slow caller that do not count.
TEST(MessageMemory, WholeMessagesCountAndStay) {
  MessageMemory Memory({Megabyte, Megabyte});
  MessageShare Written(&Memory, MessageKind::Response);
  Written.hold(Megabyte + 1);
  EXPECT_EQ(Memory.usedBytes(), Megabyte + 1);
  Received Next(Memory, MessageKind::Response);
  EXPECT_FALSE(Next.grow(1));
  EXPECT_FALSE(Written.isDropped());
  Written.hold(0);
  EXPECT_TRUE(Next.grow(1));
}

class MessageMemoryTest : public testing::Test, protected HttpFixture {
protected:
  struct ExchangeOutcome {
    std::optional<HttpResponse> Response;
    std::optional<ErrorKind> Failure;
  };

  Awaitable<ExchangeOutcome> exchange(Endpoint Remote) {
    const auto Connection =
        std::make_shared<HttpConnection>(Loop.get_executor(), &Memory);
    EXPECT_TRUE(co_await Connection->connect(Remote, testDeadline()));
    const HttpRequest Request{http::verb::get, "/", 11};
    HttpLimits Limits;
    Limits.BodyBytes = 64 * Megabyte;
    ExchangeOutcome Out;
    auto Answer =
        co_await Connection->exchange(Request, Limits, testDeadline());
    if (Answer)
      Out.Response = std::move(Answer.value());
    else
      Out.Failure = Answer.error().Cause.Kind;
    co_return Out;
  }

  MessageMemory Memory{{Megabyte, 600 * Kilobyte}};
};

// Guards against responses without end that use up the memory of the host
// together, although each keeps to its own limit.
TEST_F(MessageMemoryTest, EndlessResponsesShareTheMemory) {
  constexpr int Count = 6;
  int Failed = 0;
  for (int Number = 0; Number < Count; ++Number) {
    const Endpoint Remote = endlessServer(
        "HTTP/1.1 200 OK\r\n\r\n", std::string(std::size_t{4} * 1024, 'x'));
    asio::co_spawn(
        Loop,
        [&, Remote]() -> Awaitable<void> {
          const ExchangeOutcome Answer = co_await exchange(Remote);
          EXPECT_EQ(Answer.Failure, ErrorKind::TooLarge);
          ++Failed;
        },
        asio::detached);
  }
  std::uint64_t Peak = 0;
  while (Failed < Count && Loop.run_one_for(std::chrono::seconds(5)) > 0)
    Peak = std::max(Peak, Memory.usedBytes());
  EXPECT_EQ(Failed, Count);
  EXPECT_GT(Peak, Megabyte / 2);
  EXPECT_LE(Peak, Megabyte);
  EXPECT_GT(Memory.droppedResponses(), 0U);
  EXPECT_EQ(Memory.usedBytes(), 0U);
}

// Guards against a large response that fails although nothing else needs the
// memory.
TEST_F(MessageMemoryTest, LargeResponseIsReceivedWhole) {
  const std::string Body(900 * Kilobyte, 'x');
  const auto Answer =
      run(exchange(rawServer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body)));
  ASSERT_TRUE(Answer.Response);
  EXPECT_EQ(Answer.Response->body(), Body);
  EXPECT_EQ(Memory.usedBytes(), 0U);
}

} // namespace
} // namespace comfreyrill
