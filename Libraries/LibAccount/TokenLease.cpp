#include <LibAccount/TokenLease.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration MeterWidth = std::chrono::milliseconds(100);
// Tokens in reserve beyond the callers that wait. Long compared with a response
// of the owner and short compared with the lifetime, so that few tokens expire.
constexpr double ReserveSeconds = 0.2;
// With 7.5 requests a second, one token in reserve expires unused in 2.4% of
// the cases; with fewer requests, a reserve would waste the rate.
constexpr double ReserveMargin = 0.5;
// A smaller reserve is renewed by the next caller that finds it empty. Renewing
// it in advance would take a message for each token.
constexpr std::int32_t EarlyRenewalMinimum = 4;
constexpr std::int32_t WantedMaximum = 10'000;
// A returned token may be one that was taken long before the last one.
constexpr Duration ReturnedLifetime = std::chrono::milliseconds(100);
// Tokens with which the shares of all hosts may begin together: half of the
// requests that a quota allows regardless of the rate. One token for each of
// 121 hosts would exceed the quota of a small account.
constexpr double InitialFallbackTokens = 10;
// Window of the quota. A share that has not been used for this time begins
// anew.
constexpr Duration FallbackMemory = std::chrono::seconds(5);

std::int64_t meterNumber(TimePoint Time) {
  return Time.time_since_epoch() / MeterWidth;
}

std::int32_t reserve(const TokenLease &Lease, TimePoint Now) {
  return std::max(
      0, static_cast<std::int32_t>(
             recentDemand(Lease.Demand, Now) * ReserveSeconds - ReserveMargin));
}

} // namespace

void recordDemand(DemandMeter &Meter, TimePoint Now) {
  const std::int64_t Number = meterNumber(Now);
  DemandMeter::Bucket &Found =
      Meter.Buckets[static_cast<std::size_t>(Number) % Meter.Buckets.size()];
  if (Found.Number != Number)
    Found = {Number, 0};
  ++Found.Requests;
}

std::uint32_t recentDemand(const DemandMeter &Meter, TimePoint Now) {
  const std::int64_t Number = meterNumber(Now);
  std::uint32_t Requests = 0;
  for (const DemandMeter::Bucket &Entry : Meter.Buckets)
    if (Entry.Number > Number - std::int64_t{DemandMeter::BucketCount} &&
        Entry.Number <= Number)
      Requests += Entry.Requests;
  return Requests;
}

std::optional<Duration> takeFallbackToken(FallbackShare &Share, double Rate,
                                          std::size_t KnownHosts,
                                          Random &Generator, TimePoint Now) {
  const auto Hosts = static_cast<double>(std::max<std::size_t>(KnownHosts, 1));
  const double OwnRate = Rate / Hosts;
  std::uniform_real_distribution<double> Uniform(0, 1);
  if (!Share.RefilledAt || Now - *Share.RefilledAt > FallbackMemory) {
    // With a random level the hosts together grant the rate from the start.
    const bool HasToken = Uniform(Generator) * Hosts < InitialFallbackTokens;
    Share.Level = HasToken ? 1 : Uniform(Generator);
  } else if (!Share.IsSuspended) {
    const double Seconds =
        std::chrono::duration<double>(Now - *Share.RefilledAt).count();
    Share.Level = std::min(1.0, Share.Level + Seconds * OwnRate);
  }
  Share.RefilledAt = Now;
  Share.IsSuspended = false;
  if (Share.Level >= 1) {
    Share.Level -= 1;
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::min((1 - Share.Level) / OwnRate, 3600.0)));
}

void discardVoidTokens(TokenLease &Lease, TimePoint Now) {
  std::erase_if(Lease.Tokens, [&](const HeldTokens &Held) {
    if (Now < Held.Until)
      return Held.Count == 0;
    Lease.VoidTokens += static_cast<std::uint64_t>(Held.Count);
    return true;
  });
}

bool takeToken(TokenLease &Lease, TimePoint Now) {
  discardVoidTokens(Lease, Now);
  if (Lease.Tokens.empty())
    return false;
  HeldTokens &Oldest = Lease.Tokens.front();
  Lease.LastSource = TokenSource::Lease;
  Lease.LastTokenUntil = Oldest.Until;
  if (--Oldest.Count == 0)
    Lease.Tokens.erase(Lease.Tokens.begin());
  return true;
}

void addTokens(TokenLease &Lease, std::int32_t Count, Duration Lifetime,
               TimePoint SentAt, TimePoint Now) {
  const TimePoint Until =
      SentAt + std::clamp(Lifetime, Duration::zero(), TokenLifetime);
  Lease.Fallback.IsSuspended = true;
  const auto Position =
      std::find_if(Lease.Tokens.begin(), Lease.Tokens.end(),
                   [&](const HeldTokens &Held) { return Held.Until > Until; });
  if (Count > 0)
    Lease.Tokens.insert(Position, {Count, Until});
  discardVoidTokens(Lease, Now);
}

void returnToLease(TokenLease &Lease, TimePoint Now) {
  const TimePoint Until =
      std::min(Lease.LastTokenUntil, Now + ReturnedLifetime);
  if (Until <= Now)
    ++Lease.VoidTokens;
  else if (!Lease.Tokens.empty() && Lease.Tokens.front().Until <= Until)
    ++Lease.Tokens.front().Count;
  else
    Lease.Tokens.insert(Lease.Tokens.begin(), {1, Until});
}

std::int32_t heldTokens(const TokenLease &Lease) {
  std::int32_t Count = 0;
  for (const HeldTokens &Held : Lease.Tokens)
    Count += Held.Count;
  return Count;
}

std::int32_t wantedTokens(const TokenLease &Lease, TimePoint Now) {
  return std::clamp(Lease.Waiting + reserve(Lease, Now) - heldTokens(Lease), 1,
                    WantedMaximum);
}

bool isRunningLow(const TokenLease &Lease, TimePoint Now) {
  const std::int32_t Reserve = reserve(Lease, Now);
  return Reserve >= EarlyRenewalMinimum && heldTokens(Lease) <= Reserve / 4;
}

} // namespace comfreyrill
