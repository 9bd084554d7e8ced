#include "RateLimitedTargets.h"

#include <LibPlaces/RateLimitShare.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// More than any service has. The oldest one is forgotten above this number, so
// that malformed answers cannot use up the memory.
constexpr std::size_t LimitsMaximum = 4096;
// Registrations disappear for a few seconds while the store is away.
constexpr Duration UnregisteredTime = std::chrono::seconds(60);

// A target whose answers to probes name the limit is probed before a request is
// sent as a check, so that its answer decides.
RateLimitVerdict decide(const TargetRateLimit &Limit, const ShareVerdict &Share,
                        TimePoint Now) {
  if (Share.IsAdmitted)
    return {};
  if (Now >= Limit.RecheckAt)
    return {true, !Limit.IsNamedByProbes, std::nullopt};
  return {false, false, roomAt(Share, TimePoint::max(), Now)};
}

} // namespace

RateLimitedTargets::RateLimitedTargets(const Clock &TimeSource,
                                       Random &Generator,
                                       RateLimitedLog &Events)
    : TimeSource(TimeSource), Generator(Generator), Events(Events),
      Shares(rateLimitShare) {}

void RateLimitedTargets::updateHosts(const DomainHosts &Hosts,
                                     std::size_t KnownHosts) {
  FleetHosts = KnownHosts;
  comfreyrill::updateHosts(Shares, Hosts, TimeSource.now());
}

void RateLimitedTargets::record(const TargetProcess &Process,
                                double RequestsPerSecond, SignalSource Source) {
  const auto Position = Limits.find(Process);
  const bool IsNew = Position == Limits.end();
  const bool IsChanged =
      !IsNew && Position->second.RequestsPerSecond != RequestsPerSecond;
  if (IsNew && Limits.size() >= LimitsMaximum)
    Limits.erase(std::min_element(
        Limits.begin(), Limits.end(), [](const auto &One, const auto &Other) {
          return One.second.NamedAt < Other.second.NamedAt;
        }));
  TargetRateLimit &Limit = IsNew ? Limits[Process] : Position->second;
  recordRateLimit(Limit, RequestsPerSecond, Source, FleetHosts,
                  TimeSource.now(), Generator);
  Counts.Begun += IsNew ? 1 : 0;
  Counts.Changed += IsChanged ? 1 : 0;
  if (IsNew || IsChanged)
    log("target_rate_limited", Process, Limit, Source);
}

void RateLimitedTargets::recordUnlimited(const TargetProcess &Process,
                                         SignalSource Source,
                                         TimePoint SentAt) {
  const auto Position = Limits.find(Process);
  if (Position == Limits.end() ||
      !endsRateLimit(Position->second, Source, SentAt))
    return;
  ++Counts.Ended;
  log("target_rate_limit_ended", Process, Position->second, Source);
  Limits.erase(Position);
}

void RateLimitedTargets::removeUnregistered(const TargetDirectory &Directory) {
  const TimePoint Now = TimeSource.now();
  std::erase_if(Limits, [&](const auto &Entry) {
    const auto Known = Directory.Targets.find(Entry.first.Id);
    return (Known == Directory.Targets.end() ||
            processOf(Known->second.Registration) != Entry.first) &&
           Now - Entry.second.NamedAt > UnregisteredTime;
  });
}

RateLimitVerdict
RateLimitedTargets::judge(const TargetRegistration &Registered) const {
  const TargetRateLimit *Limit = find(Registered);
  if (Limit == nullptr)
    return {};
  const TimePoint Now = TimeSource.now();
  return decide(*Limit,
                judgeShare(Shares, Registered.Id, Registered.Domain,
                           Limit->RequestsPerSecond, Now),
                Now);
}

RateLimitVerdict
RateLimitedTargets::preview(const TargetRegistration &Registered) const {
  const TargetRateLimit *Limit = find(Registered);
  if (Limit == nullptr)
    return {};
  const TimePoint Now = TimeSource.now();
  return decide(*Limit,
                previewShare(Shares, Registered.Id, Registered.Domain,
                             Limit->RequestsPerSecond, Now),
                Now);
}

// Each request asks for each target of its service, so the process is not
// copied where no target has a limit.
const TargetRateLimit *
RateLimitedTargets::find(const TargetRegistration &Registered) const {
  if (Limits.empty())
    return nullptr;
  const auto Known = Limits.find(processOf(Registered));
  return Known == Limits.end() ? nullptr : &Known->second;
}

void RateLimitedTargets::beginAttempt(const TargetProcess &Process) {
  const auto Known = Limits.find(Process);
  if (Known == Limits.end())
    return;
  const TimePoint Now = TimeSource.now();
  recordRequest(Shares, Process.Id, Now);
  if (Now >= Known->second.RecheckAt)
    postponeRecheck(Known->second, FleetHosts, Now, Generator);
}

void RateLimitedTargets::withdrawAttempt(const TargetProcess &Process,
                                         TimePoint SentAt) {
  withdrawRequest(Shares, Process.Id, SentAt);
}

void RateLimitedTargets::log(std::string_view Event,
                             const TargetProcess &Process,
                             const TargetRateLimit &Limit,
                             SignalSource Source) {
  LogLine Line(Event);
  Line.field("target", Process.Id.Value)
      .field("started_at_ms", Process.StartedAtMilliseconds)
      .field("source", signalSourceName(Source))
      .field("requests_per_1000_s",
             static_cast<std::uint64_t>(Limit.RequestsPerSecond * 1000));
  Events.writeAlways(LogLevel::Info, Line);
}

} // namespace comfreyrill
