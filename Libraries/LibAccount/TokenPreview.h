#pragma once

#include <LibAccount/Allotments.h>

#include <optional>

namespace comfreyrill {

/// What the next request of an account would find, as far as this host knows.
struct TokenPreview {
  /// With Ask and Await, only the owner knows whether there is a token.
  TokenDecision Decision;
  /// Tokens that this host holds.
  std::int32_t Held = 0;
  /// Time for which the owner has refused tokens; 0 without a refusal.
  Duration RefusedFor{0};
  /// The host to ask for tokens; absent while none is known.
  std::optional<HostId> Owner;
  bool IsOwnerSelf = false;
};

/// Decides for a request that arrives now on a copy of the state, so that no
/// token is taken, no owner is asked and no request counts as demand.
TokenPreview previewToken(const Allotments &State, const ClientAccount &Holder,
                          Random &Generator, TimePoint Now);

} // namespace comfreyrill
