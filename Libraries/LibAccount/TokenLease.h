#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Random.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace comfreyrill {

/// Requests of one account that arrived at this host within the last second.
struct DemandMeter {
  static constexpr std::size_t BucketCount = 10;

  struct Bucket {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
  };
  std::array<Bucket, BucketCount> Buckets;
};

void recordDemand(DemandMeter &Meter, TimePoint Now);
/// Requests within about the last second.
std::uint32_t recentDemand(const DemandMeter &Meter, TimePoint Now);

/// Share of the rate that a host grants itself while it has no owner to ask.
struct FallbackShare {
  double Level = 0;
  std::optional<TimePoint> RefilledAt;
  /// An owner has responded since the last use.
  bool IsSuspended = false;
};

/// Takes a token of the share of one of KnownHosts hosts. Returns nothing when
/// a token was taken, otherwise the time until the next one.
std::optional<Duration> takeFallbackToken(FallbackShare &Share, double Rate,
                                          std::size_t KnownHosts,
                                          Random &Generator, TimePoint Now);

/// Tokens that a host holds until their lifetime ends.
struct HeldTokens {
  std::int32_t Count = 0;
  TimePoint Until;
};

/// Request for tokens that awaits the owner's response.
struct PendingTokenRequest {
  std::uint64_t Number = 0;
  HostId Owner;
  TimePoint SentAt;
};

enum class TokenSource { Lease, OwnBucket, Fallback };

/// What a host keeps of an account that it serves.
struct TokenLease {
  /// By the end of their lifetime.
  std::vector<HeldTokens> Tokens;
  DemandMeter Demand;
  /// The owner has refused tokens until this time.
  TimePoint RefusedUntil;
  /// The owner does not know the account before this time.
  TimePoint UnownedUntil;
  std::optional<PendingTokenRequest> Pending;
  /// Request whose owner has not responded in time, but still may.
  std::optional<PendingTokenRequest> Late;
  /// Callers that wait for a token.
  std::int32_t Waiting = 0;
  FallbackShare Fallback;
  /// Origin of the token that was taken last.
  TokenSource LastSource = TokenSource::Lease;
  TimePoint LastTokenUntil;
  TimePoint UsedAt;
  /// Tokens whose lifetime has ended since the last call of takeVoidCount.
  std::uint64_t VoidTokens = 0;
};

/// Lifetime of granted tokens. Requests of a window of 5 s thus run with the
/// tokens of at most 5.5 s, which is the overrun that a quota allows.
inline constexpr Duration TokenLifetime = std::chrono::milliseconds(500);

/// Takes a token whose lifetime has not ended. Returns false if there is none.
bool takeToken(TokenLease &Lease, TimePoint Now);

/// Takes back the token that was taken last. Only for tokens of the lease.
void returnToLease(TokenLease &Lease, TimePoint Now);

/// Adds granted tokens. The lifetime begins when the request was sent, because
/// the time of the grant is not known to this host.
void addTokens(TokenLease &Lease, std::int32_t Count, Duration Lifetime,
               TimePoint SentAt, TimePoint Now);

/// Removes tokens whose lifetime has ended.
void discardVoidTokens(TokenLease &Lease, TimePoint Now);

std::int32_t heldTokens(const TokenLease &Lease);

/// Number of tokens to request: for the waiting callers and for the requests
/// that the demand of the last second promises for the next 200 ms.
std::int32_t wantedTokens(const TokenLease &Lease, TimePoint Now);

/// True when the host should request tokens although no caller waits, so that
/// callers do not wait for the owner.
bool isRunningLow(const TokenLease &Lease, TimePoint Now);

} // namespace comfreyrill
