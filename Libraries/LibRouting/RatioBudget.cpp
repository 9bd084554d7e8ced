#include <LibRouting/RatioBudget.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Ten tokens are enough to retry when a few targets are lost at the same time;
// a larger bucket would let retries multiply the load during an outage.
constexpr double TokensMaximum = 10;

// Rounding can leave the sum of ten times 0.1 slightly below 1.
constexpr double RoundingTolerance = 1e-9;

} // namespace

void addTokens(RatioBudget &Budget, double Ratio) {
  Budget.Tokens = std::min(Budget.Tokens + Ratio, TokensMaximum);
}

bool tryTakeToken(RatioBudget &Budget) {
  if (Budget.Tokens < 1 - RoundingTolerance)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace comfreyrill
