#include <LibMembership/Roles.h>

#include <algorithm>
#include <tuple>

namespace comfreyrill {

namespace {

constexpr std::size_t WatcherCount = 2;
// A silent platform looks like one without changes. The other hosts find its
// changes when they poll; without such hosts, only the end of the watch shows
// that the platform answers.
constexpr Duration WatchTimeBesidePolls = std::chrono::seconds(30);
constexpr Duration WatchTimeWithoutPolls = std::chrono::milliseconds(1500);

struct Candidate {
  int Tier = 0;
  std::uint64_t Rank = 0;
  HostId Host;

  bool operator<(const Candidate &Other) const {
    return std::tie(Tier, Other.Rank, Host.Value) <
           std::tie(Other.Tier, Rank, Other.Host.Value);
  }
};

// Lower tiers are preferred. A host that cannot reach the platform yields to
// one that can, but stays ahead of starting hosts, which have no manifest. So
// some host still tries when none has reached the platform lately.
int tier(const HostDescription &Description) {
  switch (Description.State) {
  case HostState::Ready:
    return Description.ReachesPlatform ? 0 : 1;
  case HostState::Starting:
    return Description.ReachesPlatform ? 2 : 3;
  case HostState::Leaving:
    break;
  }
  return 4;
}

Candidate candidate(const HostDescription &Description, std::uint64_t Rank) {
  return {tier(Description), Rank, Description.Host};
}

// This host is always in its own list. Of all running hosts, the one of the
// highest rank therefore watches regardless of its view of the others and of
// their view of it.
std::vector<Candidate> bestCandidates(const MemberTable &Table, TimePoint Now) {
  std::vector<Candidate> Candidates{candidate(Table.Self, Table.Rank)};
  for (const auto &Other : Table.Peers)
    if (liveness(Table, Other, Now) == Liveness::Alive)
      Candidates.push_back(candidate(Other.Description, Other.Rank));
  const std::size_t Count = std::min(WatcherCount, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
                    Candidates.end());
  Candidates.resize(Count);
  return Candidates;
}

} // namespace

std::vector<HostId> platformWatchers(const MemberTable &Table, TimePoint Now) {
  std::vector<HostId> Hosts;
  for (auto &Best : bestCandidates(Table, Now))
    Hosts.push_back(std::move(Best.Host));
  return Hosts;
}

PlatformPollingPlan platformPollingPlan(const MemberTable &Table,
                                        TimePoint Now) {
  PlatformPollingPlan Plan;
  const auto Hosts = platformWatchers(Table, Now);
  Plan.IsWatcher =
      std::find(Hosts.begin(), Hosts.end(), Table.Self.Host) != Hosts.end();
  const auto &Settings = Table.Settings;
  const auto Count =
      static_cast<Duration::rep>(aliveCount(Table, Now) + std::size_t{1});
  Plan.RetryInterval = Settings.ShortestPollInterval;
  Plan.WatchTime = aliveCount(Table, Now) + 1 > WatcherCount
                       ? WatchTimeBesidePolls
                       : WatchTimeWithoutPolls;
  Plan.PollInterval = std::max(Settings.ShortestPollInterval,
                               Settings.PollIntervalPerHost * Count);
  return Plan;
}

bool isPreferredWatcher(const HostDescription &One, std::uint64_t OneRank,
                        const HostDescription &Other, std::uint64_t OtherRank) {
  return candidate(One, OneRank) < candidate(Other, OtherRank);
}

bool isReporter(const MemberTable &Table, TimePoint Now) {
  return Table.Self.State == HostState::Ready && Table.Self.ReachesPlatform &&
         Now - Table.Started >= Table.Settings.LostAfter &&
         bestCandidates(Table, Now).front().Host == Table.Self.Host;
}

std::vector<MemberStatus> memberStatuses(const MemberTable &Table,
                                         TimePoint Now) {
  std::vector<MemberStatus> Statuses{{Table.Self, Liveness::Alive, {}}};
  for (const auto &Other : Table.Peers)
    Statuses.push_back(
        {Other.Description, liveness(Table, Other, Now),
         Other.LaggingSince ? Now - *Other.LaggingSince : Duration::zero()});
  std::sort(Statuses.begin(), Statuses.end(),
            [](const MemberStatus &One, const MemberStatus &Other) {
              return One.Description.Host.Value < Other.Description.Host.Value;
            });
  return Statuses;
}

} // namespace comfreyrill
