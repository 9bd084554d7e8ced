#pragma once

#include <LibAccount/OwnerBucket.h>
#include <LibAccount/OwnerChoice.h>
#include <LibAccount/TokenLease.h>
#include <LibGateway/Configuration.h>

#include <map>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Time after which an owner counts as not responding.
inline constexpr Duration OwnerTimeout = std::chrono::milliseconds(40);
/// Time that a request may wait for a token, give or take the delay of a timer.
/// A host of 0.1 cores that has used up its share of a scheduling period of
/// 100 ms responds up to 90 ms late.
inline constexpr Duration TokenWaitMaximum = std::chrono::milliseconds(120);

/// A host that has left the view, and may have owned accounts before.
struct LostOwner {
  std::uint64_t Hash = 0;
  TimePoint LostAt;
};

/// What one host knows of the allotments of accounts, as their owner and as a
/// host that needs tokens.
struct Allotments {
  TimePoint Started;
  FleetView View;
  /// Last time at which this host started or resumed. Until then another host
  /// may have been the owner of any account.
  TimePoint OwnerSince;
  std::map<HostId, LostOwner> Lost;
  TimePoint LastTick;
  TimePoint NextSweep;
  SkippedOwners Skipped;
  std::map<AccountName, OwnerBucket> Buckets;
  std::map<AccountName, TokenLease> Leases;
  std::uint64_t LastRequest = 0;
};

Allotments makeAllotments(const HostId &Self, TimePoint Now);

/// Called several times a second. After a pause of this process, other hosts
/// may have been owners, so its tokens are discarded and its buckets emptied.
void tick(Allotments &State, TimePoint Now);

/// Records a changed view of the fleet.
void updateView(Allotments &State, FleetView View, TimePoint Now);

/// Grants tokens as an owner. The account must have a limit.
GrantedBatch grantAsOwner(Allotments &State, const ClientAccount &Holder,
                          std::int32_t Wanted, TimePoint Now);

enum class TokenStep {
  Taken,
  Refused,
  /// A request for tokens has to be sent.
  Ask,
  /// The response to a request that was sent has to be awaited.
  Await,
};

struct TokenDecision {
  TokenStep Step = TokenStep::Taken;
  /// For Taken and Refused.
  TokenSource Source = TokenSource::Lease;
  /// For Refused.
  Duration RetryAfter{0};
  /// For Ask.
  OwnerCandidate Owner;
};

/// Returns the lease of an account and counts a request.
TokenLease &beginAcquire(Allotments &State, const AccountName &Account,
                         TimePoint Now);

/// Decides how a request gets its token. Called again after each wait. GiveUpAt
/// is the time by which the request must have been decided.
TokenDecision decide(Allotments &State, TokenLease &Lease,
                     const ClientAccount &Holder, TimePoint GiveUpAt,
                     Random &Generator, TimePoint Now);

/// Returns the time until which callers wait for the response to a request that
/// was sent.
TimePoint awaitsUntil(const TokenLease &Lease);

/// Returns the owner to ask for tokens in advance, if the host should do so.
std::optional<OwnerCandidate> chooseEarlyRenewal(const Allotments &State,
                                                 const TokenLease &Lease,
                                                 const AccountName &Account,
                                                 TimePoint Now);

/// Records that a request for tokens is sent; returns its number.
std::uint64_t beginRequest(Allotments &State, TokenLease &Lease,
                           const HostId &Owner, TimePoint Now);

/// Response of an owner. Neither tokens nor a time means that the owner does
/// not know the account.
struct OwnerResponse {
  std::int32_t Granted = 0;
  Duration Lifetime{0};
  std::optional<Duration> RetryAfter;
};

/// Records a response, also one that arrives after the time-out: the owner is
/// slow, not gone.
void onResponse(Allotments &State, TokenLease &Lease,
                const PendingTokenRequest &Request,
                const OwnerResponse &Response, TimePoint Now);

/// Records that a request has failed. Returns true if it was still awaited.
bool onFailure(Allotments &State, TokenLease &Lease, std::uint64_t Number,
               TimePoint Now);

/// Ends the wait for an owner that has not responded in time. Returns the owner
/// in this case.
std::optional<HostId> expireRequest(Allotments &State, TokenLease &Lease,
                                    TimePoint Now);

/// Takes back the token of a request that was then rejected for another reason.
void returnToken(Allotments &State, const AccountName &Account, TimePoint Now);

} // namespace comfreyrill
