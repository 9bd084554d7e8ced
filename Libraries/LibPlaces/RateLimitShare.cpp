#include <LibPlaces/RateLimitShare.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr double LimitMinimum = 0.01;
constexpr double LimitMaximum = 1e5;
// A window of a share may begin just before the four seconds and another one
// end just after them, so a share can count for up to five seconds in four.
// What that leaves of 1.5 times the limit and five requests is shared by hosts
// with other views.
constexpr double SpareLimitFactor = 1.5 * 4 / 5 - 1;
constexpr double SpareRequestsPerSecond = 5.0 / 5;

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
  const auto Spare = static_cast<std::uint32_t>(
      (SpareLimitFactor * Limit + SpareRequestsPerSecond) / PerHost);
  const HostRank Rank = rankHost(Hosts, Target);
  if (Rank.LiveBefore >= Assigned || Rank.KnownBefore >= Assigned + Spare)
    return {};
  HostShare Share;
  Share.Requests = static_cast<std::uint32_t>(std::max(1.0, PerHost));
  Share.Window = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Share.Requests / PerHost));
  return Share;
}

} // namespace comfreyrill
