#include <LibPlaces/TargetShares.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// The same gap as the one after which the membership takes this process for
// paused.
constexpr Duration ViewLifetime = std::chrono::milliseconds(500);
// Targets that were not in use for this time are forgotten. Longer than any
// window of a share.
constexpr Duration UseLifetime = std::chrono::minutes(2);
// Shares are counted in requests per second, so other hosts have room for a
// request within that time.
constexpr Duration RoomElsewhere = std::chrono::seconds(1);

void assign(const TargetShareTable &Table, const TargetId &Target,
            ShareUse &Use, TimePoint Since) {
  const bool WasAssigned = Use.Share.Requests > 0;
  Use.Share = Table.ShareOf(Table.Hosts, Target, Use.RatePerSecond);
  if (!WasAssigned)
    Use.AssignedSince = Since;
}

void dropOld(ShareUse &Use, TimePoint Now) {
  while (!Use.SentAt.empty() && Now - Use.SentAt.front() >= Use.Share.Window)
    Use.SentAt.pop_front();
}

bool knowsDomain(const TargetShareTable &Table, const FailureDomain &Domain,
                 TimePoint Now) {
  return Table.UpdatedAt && Now - *Table.UpdatedAt <= ViewLifetime &&
         Domain == Table.Hosts.Domain;
}

ShareVerdict judgeUse(const TargetShareTable &Table, const TargetId &Target,
                      ShareUse &Use, double RatePerSecond, TimePoint Now) {
  Use.UsedAt = Now;
  if (Use.RatePerSecond != RatePerSecond) {
    const bool IsNew = Use.RatePerSecond == 0;
    Use.RatePerSecond = RatePerSecond;
    assign(Table, Target, Use, IsNew ? Table.HostsChangedAt : Now);
  }
  if (Use.Share.Requests == 0)
    return {};
  dropOld(Use, Now);
  TimePoint RoomAt = std::max(Now, Use.AssignedSince + AssignmentDelay);
  if (Use.SentAt.size() >= Use.Share.Requests)
    RoomAt =
        std::max(RoomAt, Use.SentAt[Use.SentAt.size() - Use.Share.Requests] +
                             Use.Share.Window);
  return {RoomAt <= Now, RoomAt};
}

} // namespace

void updateHosts(TargetShareTable &Table, const DomainHosts &Hosts,
                 TimePoint Now) {
  const bool WasFrozen =
      !Table.UpdatedAt || Now - *Table.UpdatedAt > ViewLifetime;
  Table.UpdatedAt = Now;
  if (WasFrozen)
    for (auto &[Target, Use] : Table.Targets)
      Use.Share.Requests = 0;
  if (!WasFrozen && Hosts == Table.Hosts)
    return;
  Table.Hosts = Hosts;
  Table.HostsChangedAt = Now;
  std::erase_if(Table.Targets, [&](const auto &Entry) {
    return Now - Entry.second.UsedAt > UseLifetime;
  });
  for (auto &[Target, Use] : Table.Targets)
    assign(Table, Target, Use, Now);
}

ShareVerdict judgeShare(TargetShareTable &Table, const TargetId &Target,
                        const FailureDomain &Domain, double RatePerSecond,
                        TimePoint Now) {
  if (!knowsDomain(Table, Domain, Now))
    return {};
  return judgeUse(Table, Target, Table.Targets[Target], RatePerSecond, Now);
}

ShareVerdict previewShare(const TargetShareTable &Table, const TargetId &Target,
                          const FailureDomain &Domain, double RatePerSecond,
                          TimePoint Now) {
  if (!knowsDomain(Table, Domain, Now))
    return {};
  const auto Known = Table.Targets.find(Target);
  ShareUse Copy = Known == Table.Targets.end() ? ShareUse{} : Known->second;
  return judgeUse(Table, Target, Copy, RatePerSecond, Now);
}

TimePoint roomAt(const ShareVerdict &Verdict, TimePoint LimitedUntil,
                 TimePoint Now) {
  return std::min(Verdict.RoomAt.value_or(Now + RoomElsewhere),
                  std::max(LimitedUntil, Now));
}

void recordRequest(TargetShareTable &Table, const TargetId &Target,
                   TimePoint Now) {
  ShareUse &Use = Table.Targets[Target];
  Use.UsedAt = Now;
  dropOld(Use, Now);
  Use.SentAt.push_back(Now);
}

void withdrawRequest(TargetShareTable &Table, const TargetId &Target,
                     TimePoint SentAt) {
  const auto Position = Table.Targets.find(Target);
  if (Position == Table.Targets.end())
    return;
  std::deque<TimePoint> &Sent = Position->second.SentAt;
  const auto Request = std::lower_bound(Sent.begin(), Sent.end(), SentAt);
  if (Request != Sent.end())
    Sent.erase(Request);
}

} // namespace comfreyrill
