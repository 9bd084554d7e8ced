#pragma once

namespace comfreyrill {

/// Token bucket for extra attempts (retries or hedges), refilled in proportion
/// to the first attempts.
struct RatioBudget {
  double Tokens = 0;
};

/// Adds the tokens for one first attempt. The number of tokens is capped, so
/// that tokens saved over time do not permit a large burst of extra attempts.
void addTokens(RatioBudget &Budget, double Ratio);

/// Takes the token for one extra attempt. Returns false if there is none.
bool tryTakeToken(RatioBudget &Budget);

} // namespace comfreyrill
