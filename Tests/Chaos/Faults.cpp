#include "Faults.h"

#include <algorithm>
#include <iostream>

namespace comfreyrill::chaos {

namespace {

constexpr double MeanGapSeconds = 0.9;
/// Minimum number of hosts that are neither killed, frozen nor stopping;
/// callers need one.
constexpr std::size_t MinimumHealthyHosts = 2;
/// A planned stop that takes longer than this counts as hung.
constexpr Duration MaximumStopTime = std::chrono::seconds(20);

void logFault(ChaosRun &Current, const std::string &Text) {
  const double Left = std::chrono::duration<double>(Current.FaultsUntil -
                                                    Current.TimeSource.now())
                          .count();
  std::cout << "fault (" << static_cast<int>(Left) << " s left): " << Text
            << "\n";
}

Duration randomDuration(ChaosRun &Current, int Low, int High) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(Low, High)(Current.Generator));
}

std::string milliseconds(Duration Length) {
  return std::to_string(Length / std::chrono::milliseconds(1));
}

bool isHealthy(const Host &Candidate) {
  return Candidate.Process && !Candidate.IsFrozen &&
         Candidate.Lifetime.StopStartedMs <= 0;
}

Host *chooseHealthyHost(ChaosRun &Current, Fleet &Processes) {
  std::vector<Host *> Healthy;
  for (Host &Candidate : Processes.hosts())
    if (isHealthy(Candidate))
      Healthy.push_back(&Candidate);
  if (Healthy.size() <= MinimumHealthyHosts)
    return nullptr;
  return Healthy[randomIndex(Current.Generator, Healthy.size())];
}

Awaitable<void> killAndRestart(ChaosRun &Current, Fleet &Processes,
                               Host &Chosen) {
  logFault(Current, "kill " + Chosen.Name);
  Processes.killHost(Chosen);
  while (Chosen.Process) {
    co_await sleepFor(Current, std::chrono::milliseconds(5));
    Processes.reap();
  }
  co_await sleepFor(Current, randomDuration(Current, 100, 2000));
  Processes.startHost(Chosen);
}

Awaitable<void> freeze(ChaosRun &Current, Fleet &Processes, Host &Chosen) {
  const Duration Length = randomDuration(Current, 300, 5000);
  logFault(Current, "freeze " + Chosen.Name + " for " +
                        std::to_string(Length / std::chrono::milliseconds(1)) +
                        " ms");
  Processes.freezeHost(Chosen);
  co_await sleepFor(Current, Length);
  Processes.resumeHost(Chosen);
}

// A rejected fault is a violation, because a run without the fault would not
// test anything.
Awaitable<void> postControl(ChaosRun &Current, Endpoint Remote,
                            std::string Path, std::string Text) {
  const auto Response = co_await sendRequest(
      Current, std::move(Remote), http::verb::post, Path, std::move(Text));
  if (!Response || Response.value().result() != http::status::ok)
    Current.Violations.push_back("a control API rejected POST " + Path);
}

Awaitable<void> injectPlatformFault(ChaosRun &Current, Fleet &Processes,
                                    std::string Text) {
  logFault(Current, "platform " + Text);
  co_await postControl(Current, Processes.platformControl(), "/control/faults",
                       Text);
}

Awaitable<void> changeTarget(ChaosRun &Current, Fleet &Processes,
                             std::string Members) {
  const auto &All = Processes.targets();
  const auto Index = randomIndex(Current.Generator, All.size());
  const std::string Text =
      "{\"targets\":[" +
      boost::json::serialize(All[Index].as_object().at("id")) + "]," + Members +
      "}";
  logFault(Current, "target " + Text);
  co_await postControl(Current, Processes.targetControl(), "/control/behaviour",
                       Text);
}

std::string randomOutage(ChaosRun &Current) {
  const char *Kind =
      randomIndex(Current.Generator, 2) == 0 ? "refuse" : "unavailable";
  return std::string("{\"outage\":\"") + Kind + "\",\"length_ms\":" +
         milliseconds(randomDuration(Current, 500, 6000)) + "}";
}

std::string randomPlatformFault(ChaosRun &Current) {
  return "{\"lose_answers\":" +
         std::to_string(1 + randomIndex(Current.Generator, 3)) +
         ",\"stale_versions\":" +
         std::to_string(randomIndex(Current.Generator, 3)) +
         ",\"delay_ms\":" + milliseconds(randomDuration(Current, 0, 200)) +
         ",\"length_ms\":" + milliseconds(randomDuration(Current, 500, 3000)) +
         "}";
}

Awaitable<void> injectRandomFault(ChaosRun &Current, Fleet &Processes) {
  switch (randomIndex(Current.Generator, 10)) {
  case 0:
  case 1:
    if (Host *Chosen = chooseHealthyHost(Current, Processes))
      asio::co_spawn(Current.Context,
                     killAndRestart(Current, Processes, *Chosen),
                     asio::detached);
    break;
  case 2:
  case 3:
    if (Host *Chosen = chooseHealthyHost(Current, Processes))
      asio::co_spawn(Current.Context, freeze(Current, Processes, *Chosen),
                     asio::detached);
    break;
  case 4:
    co_await changeTarget(Current, Processes, R"("crash_now":true)");
    break;
  case 5:
    co_await changeTarget(Current, Processes,
                          R"("mean_ms":30,"load_report":"lying")");
    break;
  case 6:
    co_await changeTarget(
        Current, Processes,
        R"("mean_ms":3,"load_report":"truthful","failure_share":0)");
    break;
  case 7:
    co_await changeTarget(Current, Processes, R"("failure_share":0.3)");
    break;
  case 8:
    co_await injectPlatformFault(Current, Processes, randomOutage(Current));
    break;
  default:
    co_await injectPlatformFault(Current, Processes,
                                 randomPlatformFault(Current));
  }
}

} // namespace

Awaitable<void> injectFaults(ChaosRun &Current, Fleet &Processes) {
  std::exponential_distribution<double> Gap(1 / MeanGapSeconds);
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await sleepFor(Current, Duration(static_cast<Duration::rep>(
                                   Gap(Current.Generator) * 1e9)));
    if (Current.TimeSource.now() < Current.FaultsUntil)
      co_await injectRandomFault(Current, Processes);
  }
  co_await injectPlatformFault(Current, Processes, R"({"outage":"none"})");
  co_await postControl(
      Current, Processes.targetControl(), "/control/behaviour",
      R"({"mean_ms":3,"load_report":"truthful","failure_share":0})");
}

Awaitable<void> replaceHosts(ChaosRun &Current, Fleet &Processes) {
  std::size_t Next = 0;
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await sleepFor(Current, randomDuration(Current, 500, 3000));
    Host &Chosen = Processes.hosts()[Next % Processes.hosts().size()];
    const auto Healthy = static_cast<std::size_t>(
        std::ranges::count_if(Processes.hosts(), isHealthy));
    if (!isHealthy(Chosen) || Healthy <= MinimumHealthyHosts)
      continue;
    ++Next;
    logFault(Current, "planned stop of " + Chosen.Name);
    const TimePoint Began = Current.TimeSource.now();
    Processes.stopHost(Chosen);
    bool HasTimedOut = false;
    while (Chosen.Process) {
      co_await sleepFor(Current, std::chrono::milliseconds(20));
      Processes.reap();
      if (!HasTimedOut && Current.TimeSource.now() - Began > MaximumStopTime) {
        HasTimedOut = true;
        Current.Violations.push_back("planned stop of " + Chosen.Name +
                                     " did not end within 20 s");
        Processes.killHost(Chosen);
      }
    }
    Processes.startHost(Chosen);
  }
}

} // namespace comfreyrill::chaos
