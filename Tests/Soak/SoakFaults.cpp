#include "SoakRun.h"

#include <array>
#include <csignal>
#include <iostream>

namespace comfreyrill::soak {

namespace {

/// Faults come in series and overlap: the mean gap is shorter than most last.
constexpr double MeanGapSeconds = 0.5;
/// Hosts that run undisturbed by signals; callers need some.
constexpr std::size_t FewestRunning = 2;
constexpr std::size_t FewestTargets = 4;
constexpr Duration StopTime = std::chrono::seconds(6);
/// What a delayed link adds to each piece.
constexpr Duration LinkDelay = std::chrono::milliseconds(150);
/// Between the report of a target that it leaves, and its end.
constexpr Duration TargetLingerTime = std::chrono::seconds(4);

Duration between(SoakRun &Current, int Low, int High) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(Low, High)(Current.Generator));
}

std::string milliseconds(Duration Length) {
  return std::to_string(Length / std::chrono::milliseconds(1)) + " ms";
}

/// Notes a disturbance that goes on until it is ended.
std::size_t beginDisturbance(SoakRun &Current,
                             std::optional<std::size_t> Host) {
  Current.Book.Disturbances.push_back(
      {Host, Current.TimeSource.now(), TimePoint::max()});
  return Current.Book.Disturbances.size() - 1;
}

void endDisturbance(SoakRun &Current, std::size_t Index) {
  Current.Book.Disturbances[Index].Until = Current.TimeSource.now();
}

std::optional<std::size_t> drawRunningHost(SoakRun &Current) {
  std::vector<std::size_t> Running;
  const auto &Hosts = Current.Fleet.hosts();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Hosts[Index].Process && !Hosts[Index].IsStopping &&
        !Hosts[Index].IsFrozen)
      Running.push_back(Index);
  if (Running.size() <= FewestRunning)
    return std::nullopt;
  return Running[randomIndex(Current.Generator, Running.size())];
}

SoakTarget &drawTarget(SoakRun &Current) {
  return *Current.Live[randomIndex(Current.Generator, Current.Live.size())];
}

Awaitable<void> killHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  report(Current, "kill " + Host.Name);
  const std::size_t Noted = beginDisturbance(Current, Index);
  Host.IsStopping = true;
  Host.Process->signal(SIGKILL);
  while (Host.IsStopping)
    co_await sleepFor(Current, std::chrono::milliseconds(20));
  endDisturbance(Current, Noted);
}

Awaitable<void> stopHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  report(Current, "stop " + Host.Name);
  Host.IsStopping = true;
  const std::uint32_t Lifetime = Host.Lifetime;
  Host.Process->signal(SIGTERM);
  const TimePoint Last = Current.TimeSource.now() + StopTime;
  while (Host.Lifetime == Lifetime && Current.TimeSource.now() < Last)
    co_await sleepFor(Current, std::chrono::milliseconds(20));
  if (Host.Lifetime == Lifetime && Host.Process) {
    Current.Violations.push_back("planned stop of " + Host.Name +
                                 " took longer than 6 s");
    Host.Process->signal(SIGKILL);
  }
  // A host that has just started is not in touch yet.
  endDisturbance(Current, beginDisturbance(Current, Index));
}

Awaitable<void> freezeHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  const Duration Length = between(Current, 200, 3000);
  report(Current, "freeze " + Host.Name + " for " + milliseconds(Length));
  const std::size_t Noted = beginDisturbance(Current, Index);
  Host.IsFrozen = true;
  Host.Process->signal(SIGSTOP);
  co_await sleepFor(Current, Length);
  Host.Process->signal(SIGCONT);
  Host.IsFrozen = false;
  endDisturbance(Current, Noted);
}

void reloadHost(SoakRun &Current, std::size_t Index) {
  SoakHost &Host = Current.Fleet.hosts()[Index];
  report(Current, "reload " + Host.Name);
  Host.Process->signal(SIGHUP);
}

LinkFault drawLinkFault(SoakRun &Current) {
  constexpr std::array<LinkFault, 5> Faults{
      LinkFault::Delay, LinkFault::Reset, LinkFault::SilentForward,
      LinkFault::SilentBackward, LinkFault::Silent};
  return Faults[randomIndex(Current.Generator, Faults.size())];
}

Awaitable<void> disturbLink(SoakRun &Current, LoopbackProxy &Link,
                            std::string Name, std::optional<std::size_t> Host) {
  const LinkFault Fault = drawLinkFault(Current);
  const Duration Length = between(Current, 200, 4000);
  report(Current, std::string(linkFaultName(Fault)) + " on the link of " +
                      Name + " for " + milliseconds(Length));
  const std::size_t Noted = beginDisturbance(Current, Host);
  const auto Kept = Link.shared_from_this();
  Kept->inject(Fault, LinkDelay);
  co_await sleepFor(Current, Length);
  Kept->heal();
  endDisturbance(Current, Noted);
}

Awaitable<void> disturbStore(SoakRun &Current) {
  constexpr std::array<StoreFault, 3> Faults{
      StoreFault::Unavailable, StoreFault::Busy, StoreFault::Slow};
  const std::size_t Kind = randomIndex(Current.Generator, Faults.size() + 1);
  const Duration Length = between(Current, 200, 4000);
  report(Current, "store fault " + std::to_string(Kind) + " for " +
                      milliseconds(Length));
  const std::size_t Noted = beginDisturbance(Current, std::nullopt);
  if (Kind == Faults.size()) {
    Current.Store.compact();
  } else {
    Current.Store.inject(Faults[Kind]);
    co_await sleepFor(Current, Length);
    Current.Store.inject(StoreFault::None);
  }
  endDisturbance(Current, Noted);
}

Awaitable<void> disturbTarget(SoakRun &Current) {
  constexpr std::array<TargetFault, 4> Faults{
      TargetFault::Slow, TargetFault::Shed, TargetFault::Unsigned,
      TargetFault::LoseAnswer};
  SoakTarget &Target = drawTarget(Current);
  const std::size_t Kind = randomIndex(Current.Generator, Faults.size());
  const Duration Length = between(Current, 200, 3000);
  report(Current, "target fault " + std::to_string(Kind) + " at " +
                      Target.id() + " for " + milliseconds(Length));
  Target.inject(Faults[Kind]);
  co_await sleepFor(Current, Length);
  Target.inject(TargetFault::None);
  Target.link().heal();
}

/// A target leaves as planned, or crashes; another one takes its place.
Awaitable<void> replaceTarget(SoakRun &Current, bool IsPlanned) {
  if (Current.Live.size() <= FewestTargets)
    co_return;
  SoakTarget &Target = drawTarget(Current);
  std::erase(Current.Live, &Target);
  report(Current, (IsPlanned ? "drain " : "crash ") + Target.id());
  if (IsPlanned) {
    Current.Store.put("servers", Target.id(), Target.registration(true));
    Current.Book.DrainedTargets.push_back(
        {Current.TimeSource.now(), Target.id(), 0});
    co_await sleepFor(Current, TargetLingerTime);
  }
  Target.crash();
  co_await sleepFor(Current, between(Current, 100, 1000));
  Current.Store.remove("servers", Target.id());
  if (const auto Added = addTarget(Current); !Added)
    Current.Violations.push_back(Added.error().Message);
}

void start(SoakRun &Current, Awaitable<void> Fault) {
  asio::co_spawn(Current.Loop, std::move(Fault), asio::detached);
}

void drawHostFault(SoakRun &Current, std::size_t Kind) {
  const auto Index = drawRunningHost(Current);
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
    return start(Current, disturbLink(Current, *Host.StoreLink,
                                      Host.Name + " to the store", *Index));
  }
}

void drawFault(SoakRun &Current) {
  constexpr std::size_t HostFaults = 5;
  const std::size_t Kind = randomIndex(Current.Generator, 12);
  if (Kind < HostFaults)
    return drawHostFault(Current, Kind);
  switch (Kind) {
  case 5:
    return start(Current, disturbStore(Current));
  case 6:
    return start(Current, disturbTarget(Current));
  case 7:
    return start(Current, replaceTarget(Current, true));
  case 8:
    return start(Current, replaceTarget(Current, false));
  case 9: {
    SoakTarget &Target = drawTarget(Current);
    return start(Current, disturbLink(Current, Target.link(), Target.id(),
                                      std::nullopt));
  }
  default:
    return writeNextConfiguration(Current);
  }
}

} // namespace

Awaitable<void> injectFaults(SoakRun &Current) {
  std::exponential_distribution<double> Gap(1 / MeanGapSeconds);
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await sleepFor(
        Current, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(Gap(Current.Generator))));
    drawFault(Current);
  }
}

Awaitable<void> superviseHosts(SoakRun &Current) {
  while (!Current.IsOver) {
    co_await sleepFor(Current, std::chrono::milliseconds(10));
    for (SoakHost &Host : Current.Fleet.hosts()) {
      if (Host.Process->isRunning())
        continue;
      if (!Host.IsStopping)
        Current.Violations.push_back(Host.Name + " ended by itself");
      Current.Fleet.startHost(Host);
    }
  }
}

} // namespace comfreyrill::soak
