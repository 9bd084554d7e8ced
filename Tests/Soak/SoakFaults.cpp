#include "SoakFaults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace comfreyrill::soak {

namespace {

/// The mean gap is shorter than most faults last, so that faults overlap.
constexpr double MeanGapSeconds = 0.5;
/// Minimum number of hosts that are neither stopping nor frozen; callers need
/// some.
constexpr std::size_t MinimumRunningHosts = 2;
constexpr Duration StopTime = std::chrono::seconds(6);
/// Delay that a delayed link adds to each chunk of data.
constexpr Duration LinkDelay = std::chrono::milliseconds(150);

std::optional<std::size_t> chooseRunningHost(SoakRun &Current) {
  std::vector<std::size_t> Running;
  const auto &Hosts = Current.Fleet.hosts();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Hosts[Index].Process && !Hosts[Index].IsStopping &&
        !Hosts[Index].IsFrozen)
      Running.push_back(Index);
  if (Running.size() <= MinimumRunningHosts)
    return std::nullopt;
  return Running[randomIndex(Current.Generator, Running.size())];
}

Awaitable<void> killHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  logFault(Current, "kill " + Host.Name);
  const std::size_t DisturbanceIndex = beginDisturbance(Current, Index);
  Host.IsStopping = true;
  Host.Process->signal(SIGKILL);
  while (Host.IsStopping)
    co_await sleepFor(Current, std::chrono::milliseconds(20));
  endDisturbance(Current, DisturbanceIndex);
}

Awaitable<void> stopHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  logFault(Current, "stop " + Host.Name);
  Host.IsStopping = true;
  const std::uint32_t Lifetime = Host.Lifetime;
  Host.Process->signal(SIGTERM);
  const TimePoint StopDeadline = Current.TimeSource.now() + StopTime;
  while (Host.Lifetime == Lifetime && Current.TimeSource.now() < StopDeadline)
    co_await sleepFor(Current, std::chrono::milliseconds(20));
  if (Host.Lifetime == Lifetime && Host.Process) {
    Current.Violations.push_back("planned stop of " + Host.Name +
                                 " took longer than 6 s");
    Host.Process->signal(SIGKILL);
  }
  // The restart counts as a disturbance, because a host that has just started
  // is not up to date yet.
  endDisturbance(Current, beginDisturbance(Current, Index));
}

Awaitable<void> freezeHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  const Duration Length = randomDuration(Current, 200, 3000);
  logFault(Current, "freeze " + Host.Name + " for " + milliseconds(Length));
  const std::size_t DisturbanceIndex = beginDisturbance(Current, Index);
  Host.IsFrozen = true;
  Host.Process->signal(SIGSTOP);
  co_await sleepFor(Current, Length);
  Host.Process->signal(SIGCONT);
  Host.IsFrozen = false;
  endDisturbance(Current, DisturbanceIndex);
  const Disturbance &Ended = Current.Records.Disturbances[DisturbanceIndex];
  Current.Records.Freezes.push_back({Index, Ended.From, Ended.Until});
}

void reloadHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  logFault(Current, "reload " + Host.Name);
  Host.Process->signal(SIGHUP);
}

LinkFault randomLinkFault(SoakRun &Current) {
  constexpr std::array<LinkFault, 5> Faults{
      LinkFault::Delay, LinkFault::Reset, LinkFault::SilentForward,
      LinkFault::SilentBackward, LinkFault::Silent};
  return Faults[randomIndex(Current.Generator, Faults.size())];
}

Awaitable<void> injectLinkFault(SoakRun &Current, LoopbackProxy &Link,
                                std::string Name,
                                std::optional<std::size_t> Host) {
  const LinkFault Fault = randomLinkFault(Current);
  const Duration Length = randomDuration(Current, 200, 4000);
  logFault(Current, std::string(linkFaultName(Fault)) + " on the link of " +
                        Name + " for " + milliseconds(Length));
  const std::size_t DisturbanceIndex = beginDisturbance(Current, Host);
  const auto LinkReference = Link.shared_from_this();
  LinkReference->inject(Fault, LinkDelay);
  co_await sleepFor(Current, Length);
  LinkReference->clearFault();
  endDisturbance(Current, DisturbanceIndex);
}

Awaitable<void> injectTargetLinkFault(SoakRun &Current, SoakTarget &Target) {
  const TimePoint Begin = Current.TimeSource.now();
  co_await injectLinkFault(Current, *Target.link(), Target.id(), std::nullopt);
  Current.Records.TargetLinkFaults.push_back(
      {Target.id(), Begin, Current.TimeSource.now()});
}

void injectHostFault(SoakRun &Current, std::size_t Kind) {
  const auto Index = chooseRunningHost(Current);
  if (!Index)
    return;
  SoakHost &Host = Current.Fleet.hosts()[*Index];
  switch (Kind) {
  case 0:
    return start(Current, killHost(Current, *Index));
  case 1:
    return start(Current, stopHost(Current, *Index));
  case 2:
    return start(Current, freezeHost(Current, *Index));
  case 3:
    return reloadHost(Current, *Index);
  default:
    return start(Current, injectLinkFault(Current, *Host.StoreLink,
                                          Host.Name + " to the store", *Index));
  }
}

void injectRandomFault(SoakRun &Current) {
  constexpr std::size_t HostFaults = 5;
  const std::size_t Kind = randomIndex(Current.Generator, 17);
  if (Kind < HostFaults)
    return injectHostFault(Current, Kind);
  switch (Kind) {
  case 5:
    return start(Current, injectStoreFault(Current));
  case 6:
    return start(Current, injectTargetFault(Current));
  case 7:
    return start(Current, leaveTarget(Current));
  case 8:
    return start(Current, crashTarget(Current));
  case 9: {
    SoakTarget &Target = chooseTarget(Current);
    return start(Current, injectTargetLinkFault(Current, Target));
  }
  case 10:
    return start(Current, silenceStoreToHosts(Current));
  case 11:
    return start(Current, restoreStore(Current));
  case 12:
    return start(Current, pauseTarget(Current));
  case 13:
    return start(Current, restartTarget(Current));
  case 14:
    return start(Current, limitTarget(Current));
  default:
    return writeNextConfiguration(Current);
  }
}

} // namespace

SoakTarget &chooseTarget(SoakRun &Current) {
  return *Current.LiveTargets[randomIndex(Current.Generator,
                                          Current.LiveTargets.size())];
}

Duration randomDuration(SoakRun &Current, int Low, int High) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(Low, High)(Current.Generator));
}

std::string milliseconds(Duration Length) {
  return std::to_string(Length / std::chrono::milliseconds(1)) + " ms";
}

std::size_t beginDisturbance(SoakRun &Current,
                             std::optional<std::size_t> Host) {
  Current.Records.Disturbances.push_back(
      {Host, Current.TimeSource.now(), TimePoint::max()});
  return Current.Records.Disturbances.size() - 1;
}

void endDisturbance(SoakRun &Current, std::size_t Index) {
  Current.Records.Disturbances[Index].Until = Current.TimeSource.now();
}

void start(SoakRun &Current, Awaitable<void> Fault) {
  asio::co_spawn(Current.Loop, std::move(Fault), asio::detached);
}

Awaitable<void> injectFaults(SoakRun &Current) {
  std::exponential_distribution<double> Gap(1 / MeanGapSeconds);
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await sleepFor(
        Current, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(Gap(Current.Generator))));
    injectRandomFault(Current);
  }
}

Awaitable<void> superviseHosts(SoakRun &Current) {
  while (!Current.IsOver) {
    co_await sleepFor(Current, std::chrono::milliseconds(10));
    auto &Hosts = Current.Fleet.hosts();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      SoakHost &Host = Hosts[Index];
      if (Host.Process->isRunning())
        continue;
      if (!Host.IsStopping)
        Current.Violations.push_back(Host.Name + " ended unexpectedly");
      Current.Fleet.startHost(Host);
      Current.Records.Restarts.push_back({Index, Current.TimeSource.now()});
    }
  }
}

} // namespace comfreyrill::soak
