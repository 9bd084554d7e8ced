#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace comfreyrill {

/// A request that searches for a slot.
struct SearchingRequest {
  /// Assigned by joinOrder().
  std::uint64_t Id = 0;
  /// Of the account, or of the route if the account has none; 0 is the highest.
  std::uint32_t Priority = 0;
  /// Decides between requests of the same priority.
  std::uint32_t RoutePriority = 0;
  /// May be empty.
  AccountName Account;
  TimePoint ArrivedAt;
  /// Time after which the answer is late.
  TimePoint ObjectiveAt;
  TimePoint Deadline;
  /// Time after which a request that is put off gives up.
  TimePoint SearchEndsAt;
  /// Expected processing time.
  Duration ExpectedTime{0};
  /// A selection round has found no slot for the request, or it is put off
  /// until the next rounds.
  bool IsWaiting = false;
  /// The last round has found no free slot at all, so that requests of lower
  /// rank need not look first.
  bool HoldsOthers = false;
  /// Begin of the rounds in which the request is to take part next.
  TimePoint RoundsAt;
};

/// The requests of one service that search for a slot on this host, and what
/// their accounts have received lately.
struct WaitingOrder {
  std::vector<SearchingRequest> Searching;
  std::uint64_t LastId = 0;
  /// Begin of the next rounds; the requests that wait take part one after
  /// another from then on.
  TimePoint NextRoundsAt;
  /// Seconds of slots by account; older ones count less.
  std::map<AccountName, double> Received;
  TimePoint ReceivedAt;
};

enum class RoundTurn {
  /// Take part in a selection round now.
  TakePart,
  /// Ask again at a later time.
  Wait,
  /// The request can no longer be answered within its time limit.
  Leave,
};

struct RoundDecision {
  RoundTurn Turn = RoundTurn::TakePart;
  /// With Wait: when to ask again.
  TimePoint AskAgainAt;
};

/// Adds a request and returns its id.
std::uint64_t joinOrder(WaitingOrder &Order, SearchingRequest Request);

/// Removes a request that has a slot, is refused or is cancelled.
void leaveOrder(WaitingOrder &Order, std::uint64_t Id);

/// Says whether the request may take part in a selection round now. A request
/// that has not searched yet takes part at once unless one waits whose priority
/// is higher or whose account has received less.
RoundDecision decideRound(WaitingOrder &Order, std::uint64_t Id, TimePoint Now);

/// Records that the request is to take part in the next rounds. HasFreeSlot
/// tells that the round found a free slot that is too slow for the request.
void recordFruitlessRound(WaitingOrder &Order, std::uint64_t Id,
                          bool HasFreeSlot, TimePoint Now);

/// Records that a request of the account has got a slot for about this time.
void recordReceived(WaitingOrder &Order, const AccountName &Account,
                    Duration ExpectedTime, TimePoint Now);

/// Returns the priority that determines how long a request searches: the
/// highest for an account that has received less than an equal share lately.
std::uint32_t searchPriority(const WaitingOrder &Order,
                             const AccountName &Account,
                             std::uint32_t Priority);

/// Membership of one request, which ends with this object.
class PlaceInOrder {
public:
  PlaceInOrder(std::shared_ptr<WaitingOrder> Order, SearchingRequest Request);
  ~PlaceInOrder();
  PlaceInOrder(const PlaceInOrder &) = delete;
  PlaceInOrder &operator=(const PlaceInOrder &) = delete;

  RoundDecision decide(TimePoint Now) { return decideRound(*Order, Id, Now); }
  void recordFruitless(bool HasFreeSlot, TimePoint Now) {
    recordFruitlessRound(*Order, Id, HasFreeSlot, Now);
  }

private:
  std::shared_ptr<WaitingOrder> Order;
  std::uint64_t Id;
};

} // namespace comfreyrill
