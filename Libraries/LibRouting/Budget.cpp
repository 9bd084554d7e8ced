#include <LibRouting/Budget.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Ten attempts let a host answer the loss of a few targets at once; a larger
// store would let retries multiply the load of an outage.
constexpr double AllowanceMaximum = 10;

// Sums of a ratio such as 0.1 fall short of 1 by rounding.
constexpr double RoundingTolerance = 1e-9;

} // namespace

void earn(RatioBudget &Budget, double Ratio) {
  Budget.Allowance = std::min(Budget.Allowance + Ratio, AllowanceMaximum);
}

bool spend(RatioBudget &Budget) {
  if (Budget.Allowance < 1 - RoundingTolerance)
    return false;
  Budget.Allowance -= 1;
  return true;
}

} // namespace comfreyrill
