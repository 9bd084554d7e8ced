#include <LibHttp/RequestPipeline.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace comfreyrill {
namespace {

// Guards against a request with side effects that runs beside another one.
TEST(RequestPipeline, RequestThatRunsAloneWaitsAndBlocks) {
  RequestPipeline Pipeline;
  addRequest(Pipeline, true, true);
  addRequest(Pipeline, false, true);
  EXPECT_FALSE(mayRead(Pipeline, false));
  addRequest(Pipeline, true, true);
  EXPECT_EQ(beginNext(Pipeline), 0U);
  EXPECT_EQ(beginNext(Pipeline), std::nullopt);
  EXPECT_TRUE(markAnswered(Pipeline, 0));
  EXPECT_EQ(beginNext(Pipeline), std::nullopt);
  ASSERT_TRUE(beginWriting(Pipeline, false));
  EXPECT_EQ(beginNext(Pipeline), std::nullopt);
  endWriting(Pipeline);
  EXPECT_EQ(beginNext(Pipeline), 1U);
  EXPECT_EQ(beginNext(Pipeline), std::nullopt);
  EXPECT_TRUE(markAnswered(Pipeline, 1));
  EXPECT_EQ(beginNext(Pipeline), std::nullopt);
}

// Guards against reading without bound ahead of slow requests.
TEST(RequestPipeline, OpenRequestsAreBounded) {
  RequestPipeline Pipeline;
  for (std::size_t Count = 0; Count < OpenRequestsMaximum; ++Count) {
    EXPECT_TRUE(mayRead(Pipeline, false));
    addRequest(Pipeline, true, true);
  }
  EXPECT_FALSE(mayRead(Pipeline, false));
}

// Guards against a request that runs although its caller has been told that the
// connection was closed before it.
TEST(RequestPipeline, NothingIsAddedBehindAClosingResponse) {
  RequestPipeline Pipeline;
  addRequest(Pipeline, true, false);
  EXPECT_FALSE(mayRead(Pipeline, false));
  EXPECT_EQ(addRequest(Pipeline, false, true), std::nullopt);
  EXPECT_EQ(addErrorResponse(Pipeline), std::nullopt);

  RequestPipeline Draining;
  addRequest(Draining, true, true);
  beginNext(Draining);
  markAnswered(Draining, 0);
  const auto Turn = beginWriting(Draining, true);
  ASSERT_TRUE(Turn);
  EXPECT_FALSE(Turn->KeepAlive);
  EXPECT_EQ(addRequest(Draining, false, true), std::nullopt);
}

/// What a connection's caller and targets see of its requests.
struct ConnectionModel {
  struct Sent {
    bool IsConcurrent = false;
    bool IsError = false;
    bool IsBegun = false;
    bool IsCancelled = false;
    bool IsWritten = false;
  };

  void beginAll() {
    while (const auto Number = beginNext(Pipeline)) {
      RC_ASSERT(*Number < Requests.size());
      Sent &Begun = Requests[*Number];
      // Nothing runs twice, after its caller has left or behind a closing
      // response.
      RC_ASSERT(!Begun.IsBegun);
      RC_ASSERT(!Begun.IsError);
      RC_ASSERT(!HasLeft && !IsLost && !IsClosed);
      Begun.IsBegun = true;
      const bool IsAlone = Running.empty() && *Number == Written;
      RC_ASSERT(Begun.IsConcurrent || IsAlone);
      for (const std::uint64_t Other : Running)
        RC_ASSERT(Requests[Other].IsConcurrent);
      Running.insert(*Number);
      RC_ASSERT(Running.size() <= OpenRequestsMaximum);
    }
  }

  /// A server may read further ahead than mayRead() asks for.
  void arrive(bool IsError, bool IsConcurrent, bool KeepAlive,
              bool IsEarly = false) {
    const bool IsBounded = Pipeline.Open.size() < OpenRequestsMaximum;
    if (IsEarly ? Pipeline.IsReadingEnded || !IsBounded
                : !mayRead(Pipeline, IsDraining))
      return;
    const auto Number = IsError ? addErrorResponse(Pipeline)
                                : addRequest(Pipeline, IsConcurrent, KeepAlive);
    RC_ASSERT(Number.has_value());
    RC_ASSERT(*Number == Requests.size());
    RC_ASSERT(!HasLeft && !IsLost && !IsClosed);
    Requests.push_back({IsConcurrent, IsError, false, false, false});
    RC_ASSERT(Requests.size() - Written <= OpenRequestsMaximum);
  }

  void complete(std::size_t Choice) {
    if (Running.empty())
      return;
    const auto Completed = std::next(
        Running.begin(), static_cast<std::ptrdiff_t>(Choice % Running.size()));
    RC_ASSERT(markAnswered(Pipeline, *Completed) == !IsLost);
    Answered.insert(*Completed);
    Running.erase(Completed);
  }

  void write() {
    if (IsWriting) {
      endWriting(Pipeline);
      Requests[Written].IsWritten = true;
      ++Written;
      IsWriting = false;
      return;
    }
    const auto Turn = beginWriting(Pipeline, IsDraining);
    if (!Turn)
      return;
    // Responses leave in order, complete, and none behind a closing one.
    RC_ASSERT(Turn->Number == Written);
    RC_ASSERT(Answered.contains(Written) || Requests[Written].IsError);
    RC_ASSERT(!IsClosed && !IsLost);
    IsClosed = !Turn->KeepAlive;
    IsWriting = true;
  }

  void cancelAll(const std::vector<std::uint64_t> &Cancelled) {
    // Each running request is cancelled, and no other.
    RC_ASSERT(std::set<std::uint64_t>(Cancelled.begin(), Cancelled.end()) ==
              Running);
    for (const std::uint64_t Number : Cancelled)
      Requests[Number].IsCancelled = true;
  }

  void hangUp() {
    if (HasLeft || IsLost)
      return;
    cancelAll(cancelRequests(Pipeline));
    HasLeft = true;
  }

  void lose() {
    if (IsLost)
      return;
    cancelAll(abandonRequests(Pipeline));
    IsLost = true;
    IsWriting = false;
  }

  /// Lets all requests complete and all responses be written.
  void settle() {
    for (std::size_t Round = 0; Round <= 4 * Requests.size(); ++Round) {
      beginAll();
      complete(Round);
      write();
    }
    RC_ASSERT(Running.empty());
    RC_ASSERT(Pipeline.Open.empty());
    for (const Sent &Request : Requests) {
      if (IsLost)
        continue;
      // Without a lost connection, what was begun is answered; what was read is
      // answered as well if the caller has not left.
      if (Request.IsBegun || !HasLeft)
        RC_ASSERT(Request.IsWritten);
    }
  }

  RequestPipeline Pipeline;
  std::vector<Sent> Requests;
  std::set<std::uint64_t> Running;
  std::set<std::uint64_t> Answered;
  std::uint64_t Written = 0;
  bool IsWriting = false;
  bool IsDraining = false;
  bool HasLeft = false;
  bool IsLost = false;
  bool IsClosed = false;
};

// Guards against responses out of order, requests that run twice or beside one
// that must run alone, and requests that are lost, in any order of arrival,
// completion, close and drain.
RC_GTEST_PROP(RequestPipelineProperty, AnyOrderOfEventsKeepsThePromises, ()) {
  ConnectionModel Model;
  const auto Steps = *rc::gen::inRange(0, 200);
  for (int Step = 0; Step < Steps; ++Step) {
    // At their full size, so that short cases contain all events as well.
    const auto Event =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 200));
    const auto Choice = *rc::gen::resize(rc::kNominalSize,
                                         rc::gen::inRange<std::size_t>(0, 64));
    if (Event < 80)
      Model.arrive(false, Choice % 5 != 0, Choice != 1, Event < 40);
    else if (Event < 130)
      Model.complete(Choice);
    else if (Event < 194)
      Model.write();
    else if (Event < 196)
      Model.arrive(true, false, false);
    else if (Event < 198)
      Model.IsDraining = true;
    else if (Event == 198)
      Model.hangUp();
    else
      Model.lose();
    Model.beginAll();
  }
  Model.settle();
}

} // namespace
} // namespace comfreyrill
