#include <LibGateway/RetryBudget.h>

#include <algorithm>

namespace comfreyrill {

namespace {

std::int64_t bucketNumber(const RetryBudgetPolicy &Policy, TimePoint Now) {
  const Duration Width = Policy.Window / RetryBudget::BucketCount;
  return Now.time_since_epoch() / std::max(Width, Duration(1));
}

RetryBudget::Bucket &bucketAt(RetryBudget &Budget, std::int64_t Number) {
  RetryBudget::Bucket &Found =
      Budget.Buckets[static_cast<std::size_t>(Number) % Budget.Buckets.size()];
  if (Found.Number != Number)
    Found = {Number, 0, 0};
  return Found;
}

} // namespace

void recordRequest(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                   TimePoint Now) {
  ++bucketAt(Budget, bucketNumber(Policy, Now)).Requests;
}

bool spendExtraAttempt(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                       std::size_t Hosts, TimePoint Now) {
  const std::int64_t Current = bucketNumber(Policy, Now);
  double Requests = 0;
  double Extra = 0;
  for (const RetryBudget::Bucket &Entry : Budget.Buckets) {
    const std::int64_t Age = Current - Entry.Number;
    if (Entry.Number < 0 || Age < 0 ||
        Age > static_cast<std::int64_t>(RetryBudget::BucketCount))
      continue;
    Extra += Entry.Extra;
    // The oldest bucket is only partly in the window, so its requests do not
    // count while its extra attempts do.
    if (Age < static_cast<std::int64_t>(RetryBudget::BucketCount))
      Requests += Entry.Requests;
  }
  const double Share =
      Policy.Slack / static_cast<double>(std::max<std::size_t>(Hosts, 1));
  if (Extra + 1 > Policy.Ratio * Requests + Share)
    return false;
  ++bucketAt(Budget, Current).Extra;
  return true;
}

} // namespace comfreyrill
