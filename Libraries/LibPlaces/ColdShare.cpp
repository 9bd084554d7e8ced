#include <LibPlaces/ColdShare.h>

#include <algorithm>
#include <cmath>

namespace comfreyrill {

namespace {

// With fewer requests per second, most of a share would pass unused, because
// requests do not arrive evenly. With more, the loss of one host would cost
// more of the budget.
constexpr std::uint32_t RequestsPerHost = 2;
// A target may get 1.5 times its rate plus 8 requests. Half of what exceeds the
// rate is left for requests that were under way when the views changed, the
// other half for hosts with other views.
constexpr double SpareRateFactor = 0.25;
constexpr double SpareRequests = 4;
// Keeps windows short and counts small whatever the configuration says.
constexpr double RateMinimum = 0.01;
constexpr double RateMaximum = 1e5;

} // namespace

HostShare coldShare(const DomainHosts &Hosts, const TargetId &Target,
                    double RatePerSecond) {
  if (Hosts.IsIsolated || !(RatePerSecond > 0))
    return {};
  const double Rate = std::clamp(RatePerSecond, RateMinimum, RateMaximum);
  const HostRank Rank = rankHost(Hosts, Target);
  const auto Whole = static_cast<std::uint32_t>(std::max(1.0, Rate));
  // Lost hosts count too: a host that sees no other one live must not take over
  // the whole budget.
  const auto Assigned =
      std::clamp(Whole / RequestsPerHost, 1U,
                 static_cast<std::uint32_t>(Hosts.Others.size()) + 1U);
  const std::uint32_t Largest = (Whole + Assigned - 1) / Assigned;
  const auto Spare = static_cast<std::uint32_t>(
      (SpareRateFactor * Rate + SpareRequests) / Largest);
  if (Rank.LiveBefore >= Assigned || Rank.KnownBefore >= Assigned + Spare)
    return {};
  HostShare Share;
  Share.Requests =
      Whole / Assigned + (Rank.LiveBefore < Whole % Assigned ? 1U : 0U);
  if (Rate < 1)
    Share.Window = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / Rate));
  return Share;
}

} // namespace comfreyrill
