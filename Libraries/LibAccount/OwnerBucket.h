#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace comfreyrill {

/// Terms by which an owner grants tokens of one account.
struct AllotmentTerms {
  /// Tokens per second, above 0.
  double Rate = 0;
  double Burst = 0;
  /// Part of the fleet that the owner hears from. The rest may have an owner of
  /// its own on the other side of a partition, so rate and burst are divided.
  double Share = 1;
  /// Number of live hosts that precede this one in the rendezvous order, 0 for
  /// the owner. Others are asked because the owner does not respond.
  std::size_t Position = 0;
};

/// Token bucket of one account at its owner.
struct OwnerBucket {
  double Level = 0;
  TimePoint RefilledAt;
  /// Terms of the last refill.
  AllotmentTerms Terms;
  /// Time since which this host precedes all live hosts.
  TimePoint FirstSince;
  /// Refused hosts have been told to ask again at different times up to this
  /// one.
  TimePoint RetriesUntil;
};

/// Time for which a new owner grants tokens at the reduced rate of the second
/// host in the order, because some hosts still ask the previous owner.
inline constexpr Duration TakeoverTime = std::chrono::milliseconds(500);

/// Tokens that an owner saves up beyond the burst. Requests arrive at random,
/// so an account of a few requests per second often sends more within a second
/// than its burst although it stays within its rate over several seconds. A
/// quarter of the 20 requests that a quota tolerates in a window; the rest is
/// for changes of the owner.
inline constexpr double BurstTolerance = 5;

/// Tokens with which a new owner begins. An account of one request per second
/// would otherwise get none for a second after a restart of all hosts. Three
/// failure domains that do not know one another yet grant them three times,
/// which leaves half of the 20 requests that a quota tolerates in a window.
inline constexpr double StartTokens = 3;

struct GrantedBatch {
  std::int32_t Granted = 0;
  /// Present when no token was granted.
  std::optional<Duration> RetryAfter;
};

/// Tokens per second that all hosts except the owner may grant together while
/// they do not know whether the owner grants tokens to other hosts.
double substituteRate(double Rate);

/// Makes the bucket of a host that has been the owner since FirstSince. A new
/// owner begins with few tokens, so that a change of the owner does not allow a
/// second burst.
OwnerBucket makeOwnerBucket(const AllotmentTerms &Terms, TimePoint FirstSince,
                            TimePoint Now);

/// Adds the tokens since the last refill, by the lower of the old and the new
/// rate, and puts the new terms in force. Empties the bucket when the host has
/// become the first owner.
void refill(OwnerBucket &Bucket, const AllotmentTerms &Terms, TimePoint Now);

/// Grants up to Wanted tokens.
GrantedBatch grantBatch(OwnerBucket &Bucket, const AllotmentTerms &Terms,
                        std::int32_t Wanted, TimePoint Now);

/// Takes back a token that was not used.
void returnToBucket(OwnerBucket &Bucket);

/// True when the bucket can be forgotten: a new one for the same owner would be
/// full as well.
bool isFull(const OwnerBucket &Bucket);

} // namespace comfreyrill
