#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// One process of a host.
struct HostProcess {
  HostId Host;
  HostIncarnation Incarnation;

  bool operator==(const HostProcess &) const = default;
};

/// A key binds a request to the process that issued it and to a witness.
struct IdempotencyKey {
  HostProcess Issuer;
  /// Absent when the issuer had no peer; then only the issuer knows the outcome
  /// of the request.
  std::optional<HostProcess> Witness;
  /// Unique among the keys of one issuer process.
  std::uint64_t Sequence = 0;
  /// Read from the issuer's clock; other hosts only compare expiries of one
  /// issuer process with each other.
  TimePoint Expiry;
  /// Authentication tag over all other fields, keyed with the issuer's secret.
  std::uint64_t Tag = 0;

  bool operator==(const IdempotencyKey &) const = default;
};

/// Longest text that parseKey reads.
inline constexpr std::size_t KeyLengthMaximumBytes = 256;
/// Longest host name that a key can carry.
inline constexpr std::size_t KeyHostLengthMaximumBytes = 64;

/// True when a host name consists of letters, digits, '.', '_' and '-' and is
/// short enough to be part of a key.
bool isValidKeyHostName(std::string_view Name);

/// Formats a key as the value of the Idempotency-Key header.
std::string formatKey(const IdempotencyKey &Key);

/// Parses the output of formatKey and accepts no other spelling. Fails with
/// TooLarge or InvalidInput.
Result<IdempotencyKey> parseKey(std::string_view Text);

/// Computes the tag of the other fields of a key.
std::uint64_t keyTag(const IdempotencyKey &Key, std::string_view Secret);

/// True when the tag of the key matches its other fields.
bool hasValidTag(const IdempotencyKey &Key, std::string_view Secret);

} // namespace comfreyrill
