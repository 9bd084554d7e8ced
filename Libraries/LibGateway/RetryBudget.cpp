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

void withdrawRequest(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                     TimePoint CountedAt) {
  const std::int64_t Number = bucketNumber(Policy, CountedAt);
  for (RetryBudget::Bucket &Entry : Budget.Buckets)
    if (Entry.Number == Number && Entry.Requests > 0)
      --Entry.Requests;
}

bool spendExtraAttempt(RetryBudget &Budget, const RetryBudgetPolicy &Policy,
                       std::size_t Hosts, TimePoint Now) {
  const std::int64_t Current = bucketNumber(Policy, Now);
  double Requests = 0;
  double ExtraAttempts = 0;
  for (const RetryBudget::Bucket &Entry : Budget.Buckets) {
    const std::int64_t Age = Current - Entry.Number;
    if (Entry.Number < 0 || Age < 0 ||
        Age > static_cast<std::int64_t>(RetryBudget::BucketCount))
      continue;
    ExtraAttempts += Entry.ExtraAttempts;
    // The oldest bucket is only partly in the window. Its extra attempts count
    // and its requests do not, so that the limit holds in any case.
    if (Age < static_cast<std::int64_t>(RetryBudget::BucketCount))
      Requests += Entry.Requests;
  }
  const double SlackShare =
      Policy.Slack / static_cast<double>(std::max<std::size_t>(Hosts, 1));
  if (ExtraAttempts + 1 > Policy.Ratio * Requests + SlackShare)
    return false;
  ++bucketAt(Budget, Current).ExtraAttempts;
  return true;
}

} // namespace comfreyrill
