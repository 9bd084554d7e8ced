#include <LibCore/Random.h>
#include <LibGateway/Admission.h>
#include <LibGateway/TargetSelection.h>
#include <LibGateway/WaitingOrder.h>

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration WorkTime = 100ms;

SearchingRequest searching(TimePoint ArrivedAt, std::uint32_t Priority = 2,
                           std::string Account = "") {
  SearchingRequest Made;
  Made.Priority = Priority;
  Made.RoutePriority = Priority;
  Made.Account = AccountName(std::move(Account));
  Made.ArrivedAt = ArrivedAt;
  Made.ObjectiveAt = ArrivedAt + 250ms;
  Made.Deadline = ArrivedAt + 1s;
  Made.SearchEndsAt = ArrivedAt + maximumSearchTime(250ms, Priority);
  Made.ExpectedTime = WorkTime;
  return Made;
}

/// Adds a request that waits since a round without a free slot.
std::uint64_t addWaiting(WaitingOrder &Order, const SearchingRequest &Request,
                         TimePoint Now) {
  const std::uint64_t Id = joinOrder(Order, Request);
  recordFruitlessRound(Order, Id, false, Now);
  return Id;
}

/// Returns when the request takes part, if nothing else happens until then.
TimePoint turnOf(WaitingOrder &Order, std::uint64_t Id, TimePoint Now) {
  for (int Round = 0; Round < 100; ++Round) {
    const RoundDecision Decision = decideRound(Order, Id, Now);
    if (Decision.Turn != RoundTurn::Wait)
      return Now;
    EXPECT_GT(Decision.AskAgainAt, Now);
    Now = Decision.AskAgainAt;
  }
  return TimePoint::max();
}

// Guards against a delay at light load, where nobody waits.
TEST(WaitingOrder, RequestTakesPartAtOnceWhileNobodyWaits) {
  WaitingOrder Order;
  for (int Count = 0; Count < 50; ++Count) {
    const std::uint64_t Id = joinOrder(Order, searching(Start));
    EXPECT_EQ(decideRound(Order, Id, Start).Turn, RoundTurn::TakePart);
  }
  // A request that only looks for a faster target holds nobody.
  recordFruitlessRound(Order, 1, true, Start);
  const std::uint64_t Id = joinOrder(Order, searching(Start + 1ms));
  EXPECT_EQ(decideRound(Order, Id, Start + 1ms).Turn, RoundTurn::TakePart);
}

// Guards against the former pause between two rounds becoming longer for a
// single request.
TEST(WaitingOrder, SingleRequestSearchesAgainAfterTheInterval) {
  WaitingOrder Order;
  const std::uint64_t Id = addWaiting(Order, searching(Start), Start + 2ms);
  EXPECT_EQ(turnOf(Order, Id, Start + 2ms),
            Start + 2ms + SelectionRetryInterval);
}

// Guards against a slot that goes to whichever request asks first: priority
// goes first, then what the account received, then arrival.
TEST(WaitingOrder, RoundsFollowTheRank) {
  WaitingOrder Order;
  recordReceived(Order, AccountName("large"), 1s, Start);
  recordReceived(Order, AccountName("small"), 10ms, Start);
  const std::uint64_t Large =
      addWaiting(Order, searching(Start, 2, "large"), Start);
  const std::uint64_t SmallLater =
      addWaiting(Order, searching(Start + 2ms, 2, "small"), Start + 2ms);
  const std::uint64_t Small =
      addWaiting(Order, searching(Start + 1ms, 2, "small"), Start + 2ms);
  const std::uint64_t Urgent =
      addWaiting(Order, searching(Start + 3ms, 0, "large"), Start + 3ms);
  const TimePoint Now = Start + 4ms;
  EXPECT_LT(turnOf(Order, Urgent, Now), turnOf(Order, Small, Now));
  EXPECT_LT(turnOf(Order, Small, Now), turnOf(Order, SmallLater, Now));
  EXPECT_LT(turnOf(Order, SmallLater, Now), turnOf(Order, Large, Now));
  // All take part within one interval.
  EXPECT_LT(turnOf(Order, Large, Now), Start + 2 * SelectionRetryInterval);
}

// Guards against an arriving request that takes the slot for which others of
// higher rank wait, and against holding one of higher rank.
TEST(WaitingOrder, ArrivalYieldsOnlyToWaitingRequestsOfHigherRank) {
  WaitingOrder Order;
  addWaiting(Order, searching(Start, 1), Start);
  const TimePoint Now = Start + 3ms;
  const std::uint64_t Lower = joinOrder(Order, searching(Now, 2));
  EXPECT_EQ(decideRound(Order, Lower, Now).Turn, RoundTurn::Wait);
  EXPECT_LE(turnOf(Order, Lower, Now), Now + SelectionRetryInterval);
  const std::uint64_t Higher = joinOrder(Order, searching(Now, 0));
  EXPECT_EQ(decideRound(Order, Higher, Now).Turn, RoundTurn::TakePart);
}

// Guards against a request that holds the others while its probes hang.
TEST(WaitingOrder, HangingRoundHoldsNobody) {
  WaitingOrder Order;
  addWaiting(Order, searching(Start, 0), Start);
  const TimePoint Now = Start + 3 * SelectionRetryInterval + 1ms;
  const std::uint64_t Id = joinOrder(Order, searching(Now));
  EXPECT_EQ(decideRound(Order, Id, Now).Turn, RoundTurn::TakePart);
}

// Guards against keeping requests that can no longer be answered in time.
TEST(WaitingOrder, RequestWithoutTimeLeavesAtOnce) {
  WaitingOrder Order;
  SearchingRequest Short = searching(Start);
  Short.Deadline = Start + 120ms;
  const std::uint64_t Id = addWaiting(Order, Short, Start);
  EXPECT_EQ(decideRound(Order, Id, Start + 20ms).Turn, RoundTurn::TakePart);
  EXPECT_EQ(decideRound(Order, Id, Start + 21ms).Turn, RoundTurn::Leave);
}

// Guards against a late answer that makes another one late.
TEST(WaitingOrder, LateRequestYieldsToOneThatCanMeetItsObjective) {
  WaitingOrder Order;
  const TimePoint Now = Start + 200ms;
  const std::uint64_t Late = addWaiting(Order, searching(Start), Now);
  const std::uint64_t Timely = addWaiting(Order, searching(Now), Now);
  EXPECT_LT(turnOf(Order, Timely, Now), turnOf(Order, Late, Now));
  EXPECT_LT(turnOf(Order, Late, Now), Now + 2 * SelectionRetryInterval);
}

// Guards against memory that grows with the accounts that ever sent requests.
TEST(WaitingOrder, IdleAccountsAreForgotten) {
  WaitingOrder Order;
  for (int Count = 0; Count < 1000; ++Count)
    recordReceived(Order, AccountName(std::to_string(Count)), WorkTime, Start);
  recordReceived(Order, AccountName("other"), WorkTime, Start + 1min);
  EXPECT_EQ(Order.Received.size(), 1U);
}

/// Requests of one kind, which arrive at random times.
struct Stream {
  std::string Account;
  std::uint32_t Priority = 2;
  double PerSecond = 0;
};

struct StreamResult {
  std::size_t Asked = 0;
  std::size_t Served = 0;
  std::size_t InTime = 0;
  Duration LongestSearch{0};

  double servedShare() const {
    return static_cast<double>(Served) / static_cast<double>(Asked);
  }
};

enum class Rule { WhoeverAsksFirst, WaitingOrder };

/// Hosts that do not know of each other, and their targets: 20 of two slots
/// with 100 ms of work, so that about 400 requests per second have room.
/// Refused callers do not come back.
std::vector<StreamResult> play(const std::vector<Stream> &Streams, Rule Used,
                               std::uint64_t Seed, std::size_t Hosts = 1) {
  struct Searcher {
    SearchingRequest Request;
    std::size_t Stream = 0;
    std::uint64_t Id = 0;
    TimePoint WakeAt;
    std::size_t Host = 0;
  };
  // The same requests arrive under both rules.
  Random Arrivals(Seed);
  Random Generator(Seed + 1000);
  std::uniform_real_distribution<double> Unit(0, 1);
  const auto Milliseconds = [](double Count) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Count));
  };
  std::vector<StreamResult> Results(Streams.size());
  std::vector<std::vector<TimePoint>> Targets(20);
  std::vector<TimePoint> NextArrivals(Streams.size(), Start);
  std::vector<Searcher> Searchers;
  std::vector<WaitingOrder> Orders(Hosts);
  for (TimePoint Now = Start; Now < Start + 20s; Now += 250us) {
    for (auto &Ends : Targets)
      std::erase_if(Ends, [&](TimePoint End) { return End <= Now; });
    for (std::size_t Index = 0; Index < Streams.size(); ++Index)
      while (NextArrivals[Index] <= std::min(Now, Start + 19500ms)) {
        const Stream &From = Streams[Index];
        ++Results[Index].Asked;
        Searcher Made{searching(Now, From.Priority, From.Account), Index, 0,
                      Now};
        Made.Host = randomIndex(Arrivals, Hosts);
        Made.Id = joinOrder(Orders[Made.Host], Made.Request);
        Searchers.push_back(Made);
        NextArrivals[Index] +=
            Milliseconds(-std::log(1 - Unit(Arrivals)) * 1000 / From.PerSecond);
      }
    std::vector<Searcher> Left;
    for (Searcher &One : Searchers) {
      if (One.WakeAt > Now) {
        Left.push_back(One);
        continue;
      }
      StreamResult &Result = Results[One.Stream];
      WaitingOrder &Order = Orders[One.Host];
      if (Used == Rule::WaitingOrder) {
        const RoundDecision Decision = decideRound(Order, One.Id, Now);
        if (Decision.Turn == RoundTurn::Wait) {
          One.WakeAt = Decision.AskAgainAt;
          Left.push_back(One);
          continue;
        }
        if (Decision.Turn == RoundTurn::Leave) {
          leaveOrder(Order, One.Id);
          continue;
        }
      }
      std::vector<TimePoint> *Best = nullptr;
      for (int Probe = 0; Probe < 11; ++Probe) {
        auto &Probed = Targets[randomIndex(Generator, Targets.size())];
        if (Best == nullptr || Probed.size() < Best->size())
          Best = &Probed;
      }
      AdmissionInput Input;
      Input.ExpectedTime = WorkTime;
      Input.HasFreeSlot = Best->size() < 2;
      Input.Waited = Now - One.Request.ArrivedAt;
      Input.LatencyObjective = 250ms;
      Input.TimeLeft = One.Request.Deadline - Now;
      Input.Priority = One.Request.Priority;
      if (Used == Rule::WaitingOrder)
        Input.Priority =
            searchPriority(Order, One.Request.Account, Input.Priority);
      const AdmissionDecision Decision = decideAdmission(Input);
      Result.LongestSearch = std::max(Result.LongestSearch, Input.Waited);
      if (Decision == AdmissionDecision::RetrySelection) {
        recordFruitlessRound(Order, One.Id, Input.HasFreeSlot, Now);
        One.WakeAt = Now + SelectionRetryInterval;
        if (Used == Rule::WaitingOrder)
          One.WakeAt = decideRound(Order, One.Id, Now).AskAgainAt;
        Left.push_back(One);
        continue;
      }
      leaveOrder(Order, One.Id);
      if (Decision == AdmissionDecision::Refuse)
        continue;
      const TimePoint End = Now + Milliseconds(70 + 60 * Unit(Generator));
      Best->push_back(End);
      recordReceived(Order, One.Request.Account, WorkTime, Now);
      ++Result.Served;
      Result.InTime += End <= One.Request.ObjectiveAt ? 1 : 0;
    }
    Searchers = std::move(Left);
  }
  return Results;
}

StreamResult sumOf(const std::vector<StreamResult> &Results,
                   std::size_t First) {
  StreamResult Sum;
  for (std::size_t Index = First; Index < Results.size(); ++Index) {
    Sum.Asked += Results[Index].Asked;
    Sum.Served += Results[Index].Served;
    Sum.InTime += Results[Index].InTime;
    Sum.LongestSearch =
        std::max(Sum.LongestSearch, Results[Index].LongestSearch);
  }
  return Sum;
}

// Guards against a large account that takes the room of small ones, which ask
// for less than their share: 450 requests per second beside eight times 12,
// with room for 400.
TEST(WaitingOrder, SmallAccountsGetTheirShareBesideALargeOne) {
  std::vector<Stream> Streams{{"large", 2, 450}};
  for (int Count = 0; Count < 8; ++Count)
    Streams.push_back({"small" + std::to_string(Count), 2, 12});
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    SCOPED_TRACE(Seed);
    const auto Before = play(Streams, Rule::WhoeverAsksFirst, Seed);
    const auto After = play(Streams, Rule::WaitingOrder, Seed);
    EXPECT_LT(sumOf(Before, 1).servedShare(), 0.9);
    for (std::size_t Index = 1; Index < Streams.size(); ++Index)
      EXPECT_GE(After[Index].servedShare(), 0.95) << Streams[Index].Account;
    // The room is used as well as before.
    EXPECT_GE(sumOf(After, 0).Served, sumOf(Before, 0).Served * 0.98);
    EXPECT_GE(sumOf(After, 0).InTime, sumOf(Before, 0).InTime * 0.98);
  }
}

// Guards against the same between hosts, each of which sees one or two waiting
// requests at a time and knows nothing of those of the others.
TEST(WaitingOrder, SmallAccountsGetTheirShareOverManyHosts) {
  std::vector<Stream> Streams{{"large", 2, 450}};
  for (int Count = 0; Count < 8; ++Count)
    Streams.push_back({"small" + std::to_string(Count), 2, 12});
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    SCOPED_TRACE(Seed);
    const auto Before = play(Streams, Rule::WhoeverAsksFirst, Seed, 20);
    const auto After = play(Streams, Rule::WaitingOrder, Seed, 20);
    EXPECT_GE(sumOf(After, 1).servedShare(), 0.95);
    EXPECT_GE(sumOf(After, 0).Served, sumOf(Before, 0).Served * 0.98);
  }
}

// Guards against urgent requests that are refused while less urgent ones get
// slots.
TEST(WaitingOrder, UrgentRequestsAreServedBeforeLessUrgentOnes) {
  const std::vector<Stream> Streams{{"", 0, 60}, {"", 2, 500}};
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    SCOPED_TRACE(Seed);
    const auto Before = play(Streams, Rule::WhoeverAsksFirst, Seed);
    const auto After = play(Streams, Rule::WaitingOrder, Seed);
    EXPECT_GE(After[0].servedShare(), 0.999);
    EXPECT_LT(After[0].LongestSearch, Before[0].LongestSearch);
    EXPECT_GE(sumOf(After, 0).Served, sumOf(Before, 0).Served * 0.98);
  }
}

// Guards against starving one of several streams of the same rank, and against
// requests that search for longer than the admission allows.
TEST(WaitingOrder, RequestsOfTheSameRankDoNotStarve) {
  const std::vector<Stream> Streams(4, {"", 2, 150});
  const auto Results = play(Streams, Rule::WaitingOrder, 1);
  const double All = sumOf(Results, 0).servedShare();
  for (const StreamResult &Result : Results) {
    EXPECT_NEAR(Result.servedShare(), All, 0.05);
    EXPECT_LE(Result.LongestSearch,
              maximumSearchTime(250ms, 2) + SelectionRetryInterval);
  }
}

// Guards against cost at light load: as many requests are served in time as
// without the order, and none of them searches for longer.
TEST(WaitingOrder, LightLoadIsServedAsWithoutTheOrder) {
  const std::vector<Stream> Streams{{"large", 2, 150}, {"small", 2, 20}};
  const auto Before = play(Streams, Rule::WhoeverAsksFirst, 1);
  const auto After = play(Streams, Rule::WaitingOrder, 1);
  EXPECT_EQ(sumOf(After, 0).InTime, sumOf(Before, 0).InTime);
  EXPECT_EQ(sumOf(After, 0).LongestSearch, sumOf(Before, 0).LongestSearch);
}

} // namespace
} // namespace comfreyrill
