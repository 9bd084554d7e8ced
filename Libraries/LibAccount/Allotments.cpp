#include <LibAccount/Allotments.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration SkipTime = std::chrono::seconds(1);
// A new host does not know the others yet and would be the owner of all
// accounts.
constexpr Duration NewHostTime = std::chrono::milliseconds(250);
// Above the interval of ticks, with a margin for hosts of 0.1 cores. A shorter
// pause only makes the host miss the responses of some requests.
constexpr Duration PauseThreshold = std::chrono::milliseconds(500);
// Callers that a host refuses at the same time come back over this time.
constexpr Duration FallbackSpread = std::chrono::milliseconds(250);
constexpr Duration SweepInterval = std::chrono::seconds(5);
// Longer than any account needs to save up its burst.
constexpr Duration LostOwnerMemory = std::chrono::hours(1);
constexpr Duration LeaseIdleTime = std::chrono::seconds(10);
// The timer of a wait may fire this late on a busy host, which must not keep it
// from asking the second owner.
constexpr Duration TimerDelay = std::chrono::milliseconds(10);
// An owner that has an older configuration gets the new one within this time
// or little later.
constexpr Duration UnownedTime = std::chrono::milliseconds(500);
// Refusals longer than this are those of accounts with very low rates, whose
// limit may be raised meanwhile.
constexpr Duration RefusalMaximum = std::chrono::seconds(2);

AllotmentTerms termsOf(const Allotments &State, const ClientAccount &Holder) {
  return {Holder.Rate, Holder.Burst, liveShare(State.View),
          ownerPosition(State.View, Holder.Name)};
}

// A lost host matters only to the accounts of which it was a possible owner:
// the loss of any other host must not cost an account what it has saved up.
TimePoint ownerSince(const Allotments &State, const AccountName &Account) {
  const std::uint64_t OwnHash = ownerHash(State.View.Self);
  TimePoint Since = State.OwnerSince;
  for (const auto &[Host, Known] : State.Lost)
    if (Known.LostAt > Since && precedes(Known.Hash, OwnHash, Account))
      Since = Known.LostAt;
  return Since;
}

void resetOwnership(Allotments &State, TimePoint Now) {
  State.OwnerSince = Now;
  for (auto &[Account, Bucket] : State.Buckets) {
    Bucket.Level = std::min(Bucket.Level, 0.0);
    Bucket.RefilledAt = Now;
    Bucket.FirstSince = Now;
  }
}

void sweep(Allotments &State, TimePoint Now) {
  std::erase_if(State.Skipped,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(State.Lost, [&](const auto &Entry) {
    return Now - Entry.second.LostAt > LostOwnerMemory;
  });
  std::erase_if(State.Leases, [&](const auto &Entry) {
    const TokenLease &Lease = Entry.second;
    return Lease.Waiting == 0 && !Lease.Pending &&
           Now - Lease.UsedAt > LeaseIdleTime;
  });
  // A bucket that is not full must be kept: a new one would begin with what a
  // permanent owner has saved up.
  for (auto &[Account, Bucket] : State.Buckets)
    refill(Bucket, Bucket.Terms, Now);
  std::erase_if(State.Buckets,
                [](const auto &Entry) { return isFull(Entry.second); });
}

TimePoint firstSkipEnd(const Allotments &State, TimePoint Now) {
  TimePoint First = Now + SkipTime;
  for (const auto &[Owner, Until] : State.Skipped)
    if (Until > Now)
      First = std::min(First, Until);
  return First;
}

// The owner is asked again from Until on. The share of one of many hosts may
// have its next token only minutes later.
TokenDecision fallBack(Allotments &State, TokenLease &Lease, double Rate,
                       TimePoint Until, Random &Generator, TimePoint Now) {
  const auto RetryAfter = takeFallbackToken(
      Lease.Fallback, Rate, State.View.KnownHosts, Generator, Now);
  if (RetryAfter) {
    std::uniform_real_distribution<double> Fraction(0, 1);
    const auto Spread = std::chrono::duration_cast<Duration>(
        FallbackSpread * Fraction(Generator));
    return {TokenStep::Refused,
            TokenSource::Fallback,
            std::min(*RetryAfter, std::max(Until - Now, Duration(0)) + Spread),
            {}};
  }
  Lease.LastSource = TokenSource::Fallback;
  return {TokenStep::Taken, TokenSource::Fallback, {}, {}};
}

} // namespace

Allotments makeAllotments(const HostId &Self, TimePoint Now) {
  Allotments State;
  State.Started = Now;
  State.View.Self = Self;
  State.OwnerSince = Now;
  State.LastTick = Now;
  State.NextSweep = Now + SweepInterval;
  return State;
}

void tick(Allotments &State, TimePoint Now) {
  if (Now - State.LastTick > PauseThreshold) {
    resetOwnership(State, Now);
    for (auto &[Account, Lease] : State.Leases) {
      Lease.VoidTokens += static_cast<std::uint64_t>(heldTokens(Lease));
      Lease.Tokens.clear();
    }
  }
  State.LastTick = Now;
  if (Now < State.NextSweep)
    return;
  State.NextSweep = Now + SweepInterval;
  sweep(State, Now);
}

void updateView(Allotments &State, FleetView View, TimePoint Now) {
  const auto Remains = [&](const OwnerCandidate &Known) {
    return std::any_of(
        View.Candidates.begin(), View.Candidates.end(),
        [&](const OwnerCandidate &New) { return New.Host == Known.Host; });
  };
  for (const OwnerCandidate &Known : State.View.Candidates)
    if (!Remains(Known))
      State.Lost[Known.Host] = {Known.Hash, Now};
  State.View = std::move(View);
  for (auto &[Account, Bucket] : State.Buckets) {
    AllotmentTerms Terms = Bucket.Terms;
    Terms.Share = liveShare(State.View);
    Terms.Position = ownerPosition(State.View, Account);
    refill(Bucket, Terms, Now);
  }
}

GrantedBatch grantAsOwner(Allotments &State, const ClientAccount &Holder,
                          std::int32_t Wanted, TimePoint Now) {
  // Detects a pause whose end this host has not noticed yet.
  if (Now - State.LastTick > PauseThreshold)
    tick(State, Now);
  const AllotmentTerms Terms = termsOf(State, Holder);
  auto Position = State.Buckets.find(Holder.Name);
  if (Position == State.Buckets.end())
    Position = State.Buckets
                   .emplace(Holder.Name,
                            makeOwnerBucket(
                                Terms, ownerSince(State, Holder.Name), Now))
                   .first;
  return grantBatch(Position->second, Terms, Wanted, Now);
}

TokenLease &beginAcquire(Allotments &State, const AccountName &Account,
                         TimePoint Now) {
  TokenLease &Lease = State.Leases[Account];
  Lease.UsedAt = Now;
  recordDemand(Lease.Demand, Now);
  return Lease;
}

namespace {

TokenDecision decideAtOnce(Allotments &State, TokenLease &Lease,
                           const ClientAccount &Holder, TimePoint GiveUpAt,
                           Random &Generator, TimePoint Now) {
  if (takeToken(Lease, Now))
    return {TokenStep::Taken, TokenSource::Lease, {}, {}};
  if (Now < Lease.RefusedUntil)
    return {
        TokenStep::Refused, TokenSource::Lease, Lease.RefusedUntil - Now, {}};
  // The owner may be as new as this host.
  if (Now - State.Started < NewHostTime)
    return fallBack(State, Lease, Holder.Rate, State.Started + NewHostTime,
                    Generator, Now);
  if (Now < Lease.UnownedUntil)
    return fallBack(State, Lease, Holder.Rate, Lease.UnownedUntil, Generator,
                    Now);
  const auto IsInTime = [&](TimePoint SentAt) {
    return SentAt + OwnerTimeout <= GiveUpAt + TimerDelay;
  };
  if (Lease.Pending && IsInTime(Lease.Pending->SentAt))
    return {TokenStep::Await, {}, {}, {}};
  const OwnerCandidate *Owner =
      chooseOwner(State.View, Holder.Name, State.Skipped, Now);
  if (Owner && Owner->Host == State.View.Self) {
    const GrantedBatch Batch = grantAsOwner(State, Holder, 1, Now);
    if (Batch.RetryAfter)
      return {
          TokenStep::Refused, TokenSource::OwnBucket, *Batch.RetryAfter, {}};
    Lease.LastSource = TokenSource::OwnBucket;
    return {TokenStep::Taken, TokenSource::OwnBucket, {}, {}};
  }
  // An owner that does not respond here may grant the rate to other hosts.
  if (!Owner || Lease.Pending || !IsInTime(Now))
    return fallBack(State, Lease, substituteRate(Holder.Rate),
                    firstSkipEnd(State, Now), Generator, Now);
  return {TokenStep::Ask, {}, {}, *Owner};
}

bool mayStillRespond(const TokenLease &Lease, TimePoint GiveUpAt,
                     TimePoint Now) {
  return Lease.Late && Now < Lease.Late->SentAt + TokenWaitMaximum &&
         Lease.Late->SentAt + TokenWaitMaximum <= GiveUpAt + TimerDelay;
}

} // namespace

// The hosts that are asked in place of a slow owner have few tokens or none, so
// their refusal does not show that the account has used up its quota.
TokenDecision decide(Allotments &State, TokenLease &Lease,
                     const ClientAccount &Holder, TimePoint GiveUpAt,
                     Random &Generator, TimePoint Now) {
  const TokenDecision Decision =
      decideAtOnce(State, Lease, Holder, GiveUpAt, Generator, Now);
  if (Decision.Step == TokenStep::Refused &&
      mayStillRespond(Lease, GiveUpAt, Now))
    return {TokenStep::Await, {}, {}, {}};
  return Decision;
}

TimePoint awaitsUntil(const TokenLease &Lease) {
  if (Lease.Pending)
    return Lease.Pending->SentAt + OwnerTimeout;
  return Lease.Late ? Lease.Late->SentAt + TokenWaitMaximum : TimePoint::min();
}

std::optional<OwnerCandidate> chooseEarlyRenewal(const Allotments &State,
                                                 const TokenLease &Lease,
                                                 const AccountName &Account,
                                                 TimePoint Now) {
  if (Lease.Pending || Now < Lease.RefusedUntil ||
      Now - State.Started < NewHostTime || !isRunningLow(Lease, Now))
    return std::nullopt;
  const OwnerCandidate *Owner =
      chooseOwner(State.View, Account, State.Skipped, Now);
  if (!Owner || Owner->Host == State.View.Self)
    return std::nullopt;
  return *Owner;
}

std::uint64_t beginRequest(Allotments &State, TokenLease &Lease,
                           const HostId &Owner, TimePoint Now) {
  Lease.Pending = {++State.LastRequest, Owner, Now};
  return State.LastRequest;
}

void onResponse(Allotments &State, TokenLease &Lease,
                const PendingTokenRequest &Request,
                const OwnerResponse &Response, TimePoint Now) {
  if (Lease.Pending && Lease.Pending->Number == Request.Number)
    Lease.Pending.reset();
  if (Lease.Late && Lease.Late->Number == Request.Number)
    Lease.Late.reset();
  // The response has spent a pause of this host in its buffers.
  if (Now - Request.SentAt > TokenLifetime)
    return;
  State.Skipped.erase(Request.Owner);
  if (Response.Granted > 0) {
    addTokens(Lease, Response.Granted, Response.Lifetime, Request.SentAt, Now);
    // A host that was asked in place of this one may have refused tokens.
    Lease.RefusedUntil = Now;
  } else if (Response.RetryAfter) {
    Lease.RefusedUntil = Now + std::clamp(*Response.RetryAfter,
                                          Duration::zero(), RefusalMaximum);
    // The owner is asked again when it is no longer skipped.
    if (Lease.Late)
      Lease.RefusedUntil =
          std::min(Lease.RefusedUntil,
                   std::max(Now, Lease.Late->SentAt + OwnerTimeout + SkipTime));
  } else
    Lease.UnownedUntil = Now + UnownedTime;
}

bool onFailure(Allotments &State, TokenLease &Lease, std::uint64_t Number,
               TimePoint Now) {
  if (!Lease.Pending || Lease.Pending->Number != Number)
    return false;
  State.Skipped[Lease.Pending->Owner] = Now + SkipTime;
  Lease.Pending.reset();
  return true;
}

std::optional<HostId> expireRequest(Allotments &State, TokenLease &Lease,
                                    TimePoint Now) {
  if (!Lease.Pending || Now < Lease.Pending->SentAt + OwnerTimeout)
    return std::nullopt;
  const HostId Owner = Lease.Pending->Owner;
  if (!Lease.Late || Now >= Lease.Late->SentAt + TokenWaitMaximum)
    Lease.Late = Lease.Pending;
  onFailure(State, Lease, Lease.Pending->Number, Now);
  return Owner;
}

void returnToken(Allotments &State, const AccountName &Account, TimePoint Now) {
  const auto Lease = State.Leases.find(Account);
  if (Lease == State.Leases.end())
    return;
  switch (Lease->second.LastSource) {
  case TokenSource::Lease:
    returnToLease(Lease->second, Now);
    break;
  case TokenSource::Fallback:
    Lease->second.Fallback.Level =
        std::min(1.0, Lease->second.Fallback.Level + 1);
    break;
  case TokenSource::OwnBucket:
    if (const auto Bucket = State.Buckets.find(Account);
        Bucket != State.Buckets.end())
      returnToBucket(Bucket->second);
    break;
  }
}

} // namespace comfreyrill
