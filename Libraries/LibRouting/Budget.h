#pragma once

namespace comfreyrill {

/// Extra attempts earned as a ratio of first attempts.
struct RatioBudget {
  double Allowance = 0;
};

/// Adds what one first attempt earns; the allowance is capped so that a quiet
/// time does not permit a burst.
void earn(RatioBudget &Budget, double Ratio);

/// Takes one extra attempt from the allowance; false when there is none.
bool spend(RatioBudget &Budget);

} // namespace comfreyrill
