#include <LibPlaces/RateLimitShare.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

constexpr double LimitMinimum = 0.01;
constexpr double LimitMaximum = 1e5;
// What a target may get in the time over which its requests are counted.
constexpr double CountedSeconds = 4;
constexpr double AllowedLimitFactor = 1.5;
constexpr double AllowedSlack = 5;

// One window of the share may end and another one begin within the counted
// time, so it counts for one window more than fits in.
double largestCount(const HostShare &Share) {
  const double Window = std::chrono::duration<double>(Share.Window).count();
  return Share.Requests * (std::floor(CountedSeconds / Window + 1e-9) + 1);
}

} // namespace

// With a limit of few requests per second, each assigned host has about one of
// them: more hosts would leave most of it unused, and the loss of one of fewer
// hosts would cost more of it.
HostShare rateLimitShare(const DomainHosts &Hosts, const TargetId &Target,
                         double RequestsPerSecond) {
  if (Hosts.IsIsolated || !(RequestsPerSecond > 0))
    return {};
  const double Limit =
      std::clamp(RequestsPerSecond, LimitMinimum, LimitMaximum);
  const auto Assigned =
      std::clamp(static_cast<std::uint32_t>(Limit), 1U,
                 static_cast<std::uint32_t>(Hosts.Others.size()) + 1U);
  const double PerHost = Limit / Assigned;
  HostShare Share;
  Share.Requests = static_cast<std::uint32_t>(std::max(1.0, PerHost));
  Share.Window = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Share.Requests / PerHost));
  // Hosts with other views may believe that they are assigned, too.
  const auto HostsMaximum = static_cast<std::uint32_t>(
      (AllowedLimitFactor * CountedSeconds * Limit + AllowedSlack) /
      largestCount(Share));
  const HostRank Rank = rankHost(Hosts, Target);
  if (Rank.LiveBefore >= Assigned || Rank.KnownBefore >= HostsMaximum)
    return {};
  return Share;
}

} // namespace comfreyrill
