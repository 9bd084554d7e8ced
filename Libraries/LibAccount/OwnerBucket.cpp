#include <LibAccount/OwnerBucket.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// While a partition is not detected, which takes up to 3 s, the owner grants
// its full rate to its part of the fleet. What the others grant meanwhile must
// stay within the overrun of a quota: in 5 s, half a second of the rate and 20
// requests.
constexpr double SubstituteShare = 0.1;
constexpr double SubstituteTokens = 2;
// Hosts that request batches need a level above 1 between two requests, also
// if the burst is small.
constexpr Duration CapacityTime = std::chrono::milliseconds(50);
// Refused hosts return one after another. The owner may be a host of 0.1 cores,
// so it is asked at most 200 times a second for one account by refused hosts.
constexpr Duration RetrySpacing = std::chrono::milliseconds(5);
// Longer delays would leave tokens unused when refused hosts have no more
// requests.
constexpr Duration RetrySpread = std::chrono::seconds(1);

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

double fullRate(const AllotmentTerms &Terms) {
  return Terms.Rate * Terms.Share;
}

double currentRate(const AllotmentTerms &Terms, TimePoint FirstSince,
                   TimePoint Now) {
  const double Full = fullRate(Terms);
  if (Terms.Position == 0 && Now >= FirstSince + TakeoverTime)
    return Full;
  // Half as much for each further host in the order, so that the sum is bounded
  // although many of them may be asked.
  const auto Halvings =
      static_cast<int>(std::clamp<std::size_t>(Terms.Position, 1, 10));
  return std::ldexp(substituteRate(Full), -Halvings);
}

double capacity(const AllotmentTerms &Terms) {
  const double Least =
      1 + currentRate(Terms, TimePoint::min(), {}) * seconds(CapacityTime);
  return Terms.Position == 0
             ? std::max((Terms.Burst + BurstTolerance) * Terms.Share, Least)
             : Least;
}

double tokensBetween(const AllotmentTerms &Terms, TimePoint FirstSince,
                     TimePoint From, TimePoint To) {
  if (To <= From)
    return 0;
  const TimePoint FullFrom = std::clamp(FirstSince + TakeoverTime, From, To);
  return currentRate(Terms, FirstSince, From) * seconds(FullFrom - From) +
         currentRate(Terms, FirstSince, To) * seconds(To - FullFrom);
}

// A new owner soon grants the full rate. By the reduced rate, hosts would be
// told to wait several times as long, and would go on rejecting requests.
Duration timeUntilToken(const OwnerBucket &Bucket, TimePoint Now) {
  const double Missing = 1 - Bucket.Level;
  const Duration AtThisRate =
      fromSeconds(Missing / currentRate(Bucket.Terms, Bucket.FirstSince, Now));
  const TimePoint FullFrom = Bucket.FirstSince + TakeoverTime;
  if (Bucket.Terms.Position != 0 || Now >= FullFrom ||
      Now + AtThisRate <= FullFrom)
    return AtThisRate;
  const double Later =
      Missing - tokensBetween(Bucket.Terms, Bucket.FirstSince, Now, FullFrom);
  return FullFrom - Now + fromSeconds(Later / fullRate(Bucket.Terms));
}

} // namespace

double substituteRate(double Rate) {
  return std::min(Rate, Rate * SubstituteShare + SubstituteTokens);
}

OwnerBucket makeOwnerBucket(const AllotmentTerms &Terms, TimePoint FirstSince,
                            TimePoint Now) {
  OwnerBucket Bucket;
  Bucket.Terms = Terms;
  Bucket.RefilledAt = Now;
  Bucket.FirstSince = FirstSince;
  if (Terms.Position == 0)
    Bucket.Level =
        std::min(capacity(Terms), StartTokens + tokensBetween(Terms, FirstSince,
                                                              FirstSince, Now));
  return Bucket;
}

void refill(OwnerBucket &Bucket, const AllotmentTerms &Terms, TimePoint Now) {
  const double Added = std::min(
      tokensBetween(Bucket.Terms, Bucket.FirstSince, Bucket.RefilledAt, Now),
      tokensBetween(Terms, Bucket.FirstSince, Bucket.RefilledAt, Now));
  // The capacity was that of the old terms until now.
  Bucket.Level =
      std::min({Bucket.Level + Added, capacity(Bucket.Terms), capacity(Terms)});
  if (Terms.Position == 0 && Bucket.Terms.Position != 0) {
    Bucket.Level = std::min(Bucket.Level, 0.0);
    Bucket.FirstSince = Now;
  }
  Bucket.Terms = Terms;
  Bucket.RefilledAt = std::max(Bucket.RefilledAt, Now);
}

GrantedBatch grantBatch(OwnerBucket &Bucket, const AllotmentTerms &Terms,
                        std::int32_t Wanted, TimePoint Now) {
  refill(Bucket, Terms, Now);
  if (Bucket.Level >= 1) {
    const double Granted = std::min(std::floor(Bucket.Level),
                                    static_cast<double>(std::max(Wanted, 1)));
    Bucket.Level -= Granted;
    return {static_cast<std::int32_t>(Granted), std::nullopt};
  }
  const Duration UntilToken = timeUntilToken(Bucket, Now);
  const double Rate =
      currentRate(Bucket.Terms, Bucket.FirstSince,
                  std::max(Now + UntilToken, Bucket.RetriesUntil));
  const Duration Spacing = std::max(fromSeconds(1 / Rate), RetrySpacing);
  Bucket.RetriesUntil =
      std::min(std::max(Bucket.RetriesUntil, Now) + Spacing, Now + RetrySpread);
  return {0, std::max(UntilToken, Bucket.RetriesUntil - Now)};
}

void returnToBucket(OwnerBucket &Bucket) {
  Bucket.Level = std::min(Bucket.Level + 1, capacity(Bucket.Terms));
}

bool isFull(const OwnerBucket &Bucket) {
  return Bucket.Level >= capacity(Bucket.Terms);
}

} // namespace comfreyrill
