#include <LibGateway/Admission.h>
#include <LibGateway/WaitingOrder.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace comfreyrill {

namespace {

// Distance between the rounds of two requests. A probe within a failure domain
// takes less, so that the first one has its slot before the second one looks.
constexpr Duration RoundDistance = std::chrono::milliseconds(1);
// Time in which the rounds of all requests begin. In the rest of the interval
// slots become free for those of the highest rank: with rounds over the whole
// interval, small accounts beside a large one got 0.86 of what they asked for.
constexpr Duration RoundsTime = std::chrono::milliseconds(4);
// Requests that take part in one interval.
constexpr std::ptrdiff_t TakingPartMaximum = 16;
// A request whose round lasts longer than this holds no others: its probes
// hang, or it waits for the end of a pause.
constexpr Duration HoldingMaximum = 2 * SelectionRetryInterval;
// Time constant for what an account has received. It is long beside a request
// and short beside the times for which accounts send more than usual.
constexpr double ReceivedDecaySeconds = 2;
// Counts are decayed in steps, because each step visits all accounts.
constexpr double ReceivedStepSeconds = 0.05;
constexpr double NegligibleSeconds = 1e-4;

SearchingRequest *findRequest(WaitingOrder &Order, std::uint64_t Id) {
  const auto Found = std::find_if(
      Order.Searching.begin(), Order.Searching.end(),
      [&](const SearchingRequest &Entry) { return Entry.Id == Id; });
  return Found == Order.Searching.end() ? nullptr : &*Found;
}

double receivedBy(const WaitingOrder &Order, const AccountName &Account) {
  const auto Found = Order.Received.find(Account);
  return Found == Order.Received.end() ? 0 : Found->second;
}

// A request that misses its objective in any case yields to those of the same
// priority that can meet theirs; its answer is worth less.
auto rankOf(const WaitingOrder &Order, const SearchingRequest &Request,
            TimePoint Now) {
  const bool IsLate = Now + Request.ExpectedTime > Request.ObjectiveAt;
  return std::tuple(Request.Priority, Request.RoutePriority, IsLate,
                    receivedBy(Order, Request.Account));
}

/// True for a request that waits because there is no free slot.
bool holdsOthers(const SearchingRequest &Request, TimePoint Now) {
  return Request.HoldsOthers && Now - Request.RoundsAt < HoldingMaximum;
}

std::ptrdiff_t waitingBefore(const WaitingOrder &Order,
                             const SearchingRequest &Request, TimePoint Now) {
  const auto Rank = rankOf(Order, Request, Now);
  const auto Arrival = std::tuple(Request.ArrivedAt, Request.Id);
  return std::count_if(Order.Searching.begin(), Order.Searching.end(),
                       [&](const SearchingRequest &Other) {
                         if (!holdsOthers(Other, Now))
                           return false;
                         const auto OtherRank = rankOf(Order, Other, Now);
                         return OtherRank < Rank ||
                                (OtherRank == Rank &&
                                 std::tuple(Other.ArrivedAt, Other.Id) <
                                     Arrival);
                       });
}

// An arriving request need not yield to waiting ones of the same rank: the slot
// that it finds may be one that they have not seen, and would stay free until
// their next rounds.
bool mustArrivalWait(const WaitingOrder &Order, const SearchingRequest &Request,
                     TimePoint Now) {
  return std::any_of(Order.Searching.begin(), Order.Searching.end(),
                     [&](const SearchingRequest &Other) {
                       return holdsOthers(Other, Now) &&
                              rankOf(Order, Other, Now) <
                                  rankOf(Order, Request, Now);
                     });
}

TimePoint nextRoundsAt(WaitingOrder &Order, TimePoint Now) {
  if (Order.NextRoundsAt <= Now)
    Order.NextRoundsAt = Now + SelectionRetryInterval;
  return Order.NextRoundsAt;
}

Duration distanceBetweenRounds(const WaitingOrder &Order) {
  const auto Waiting = std::count_if(
      Order.Searching.begin(), Order.Searching.end(),
      [](const SearchingRequest &Entry) { return Entry.HoldsOthers; });
  return std::min(
      RoundDistance,
      RoundsTime / std::clamp<std::ptrdiff_t>(Waiting, 1, TakingPartMaximum));
}

} // namespace

std::uint64_t joinOrder(WaitingOrder &Order, SearchingRequest Request) {
  Request.Id = ++Order.LastId;
  Order.Searching.push_back(std::move(Request));
  return Order.LastId;
}

void leaveOrder(WaitingOrder &Order, std::uint64_t Id) {
  std::erase_if(Order.Searching,
                [&](const SearchingRequest &Entry) { return Entry.Id == Id; });
}

// The rounds of the waiting requests follow one another in the order of their
// ranks, and each request that takes part does so once in each interval. The
// first one thus sees all slots that became free since the last rounds, and the
// others those that it leaves. A round that hangs delays no other request.
RoundDecision decideRound(WaitingOrder &Order, std::uint64_t Id,
                          TimePoint Now) {
  SearchingRequest *Request = findRequest(Order, Id);
  if (Request == nullptr)
    return {RoundTurn::TakePart, Now};
  if (Request->IsWaiting && Now + Request->ExpectedTime > Request->Deadline)
    return {RoundTurn::Leave, Now};
  if (!Request->IsWaiting) {
    if (!mustArrivalWait(Order, *Request, Now))
      return {RoundTurn::TakePart, Now};
    Request->IsWaiting = true;
    Request->HoldsOthers = true;
    Request->RoundsAt = nextRoundsAt(Order, Now);
  }
  if (Now < Request->RoundsAt)
    return {RoundTurn::Wait, Request->RoundsAt};
  const std::ptrdiff_t Before = waitingBefore(Order, *Request, Now);
  if (Before >= TakingPartMaximum) {
    if (Now >= Request->SearchEndsAt)
      return {RoundTurn::Leave, Now};
    Request->RoundsAt = nextRoundsAt(Order, Now);
    return {RoundTurn::Wait, Request->RoundsAt};
  }
  const TimePoint TurnAt =
      Request->RoundsAt + Before * distanceBetweenRounds(Order);
  if (Now < TurnAt)
    return {RoundTurn::Wait, TurnAt};
  return {RoundTurn::TakePart, Now};
}

void recordFruitlessRound(WaitingOrder &Order, std::uint64_t Id,
                          bool HasFreeSlot, TimePoint Now) {
  SearchingRequest *Request = findRequest(Order, Id);
  if (Request == nullptr)
    return;
  Request->IsWaiting = true;
  Request->HoldsOthers = !HasFreeSlot;
  Request->RoundsAt = nextRoundsAt(Order, Now);
}

void recordReceived(WaitingOrder &Order, const AccountName &Account,
                    Duration ExpectedTime, TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - Order.ReceivedAt).count();
  if (Seconds >= ReceivedStepSeconds) {
    const double Factor = std::exp(-Seconds / ReceivedDecaySeconds);
    for (auto &[Name, Received] : Order.Received)
      Received *= Factor;
    std::erase_if(Order.Received, [](const auto &Entry) {
      return Entry.second < NegligibleSeconds;
    });
    Order.ReceivedAt = Now;
  }
  Order.Received[Account] +=
      std::chrono::duration<double>(ExpectedTime).count();
}

// Under too little room, the hosts' requests compete for the slots that become
// free. Those that search longer get more of them.
std::uint32_t searchPriority(const WaitingOrder &Order,
                             const AccountName &Account,
                             std::uint32_t Priority) {
  double Total = 0;
  for (const auto &[Name, Received] : Order.Received)
    Total += Received;
  const bool IsBelowShare =
      receivedBy(Order, Account) * static_cast<double>(Order.Received.size()) <
      Total;
  return IsBelowShare ? 0 : Priority;
}

PlaceInOrder::PlaceInOrder(std::shared_ptr<WaitingOrder> Order,
                           SearchingRequest Request)
    : Order(std::move(Order)), Id(joinOrder(*this->Order, std::move(Request))) {
}

PlaceInOrder::~PlaceInOrder() { leaveOrder(*Order, Id); }

} // namespace comfreyrill
