#include "Faults.h"

#include <algorithm>
#include <iostream>

namespace comfreyrill::chaos {

namespace {

constexpr double MeanGapSeconds = 0.9;
/// Hosts that are neither killed, frozen nor stopping; callers need one.
constexpr std::size_t FewestHealthy = 2;
/// A planned stop that takes longer than this hangs.
constexpr Duration LongestStop = std::chrono::seconds(20);

void report(Run &Current, const std::string &Text) {
  const double Left = std::chrono::duration<double>(Current.FaultsUntil -
                                                    Current.TimeSource.now())
                          .count();
  std::cout << "fault (" << static_cast<int>(Left) << " s left): " << Text
            << "\n";
}

Duration between(Run &Current, int Low, int High) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(Low, High)(Current.Generator));
}

std::string milliseconds(Duration Length) {
  return std::to_string(Length / std::chrono::milliseconds(1));
}

bool isHealthy(const Host &Candidate) {
  return Candidate.Process && !Candidate.IsFrozen &&
         Candidate.Life.StopBeganMs <= 0;
}

Host *drawHost(Run &Current, Fleet &Processes) {
  std::vector<Host *> Healthy;
  for (Host &Candidate : Processes.hosts())
    if (isHealthy(Candidate))
      Healthy.push_back(&Candidate);
  if (Healthy.size() <= FewestHealthy)
    return nullptr;
  return Healthy[randomIndex(Current.Generator, Healthy.size())];
}

Awaitable<void> killAndRestart(Run &Current, Fleet &Processes, Host &Chosen) {
  report(Current, "kill " + Chosen.Name);
  Processes.killHost(Chosen);
  while (Chosen.Process) {
    co_await pause(Current, std::chrono::milliseconds(5));
    Processes.reap();
  }
  co_await pause(Current, between(Current, 100, 2000));
  Processes.startHost(Chosen);
}

Awaitable<void> freeze(Run &Current, Fleet &Processes, Host &Chosen) {
  const Duration Length = between(Current, 300, 5000);
  report(Current, "freeze " + Chosen.Name + " for " +
                      std::to_string(Length / std::chrono::milliseconds(1)) +
                      " ms");
  Processes.freezeHost(Chosen);
  co_await pause(Current, Length);
  Processes.resumeHost(Chosen);
}

// A fault that does not come about would leave a run that proves nothing.
Awaitable<void> control(Run &Current, Endpoint Remote, std::string Path,
                        std::string Text) {
  const auto Response = co_await ask(Current, std::move(Remote),
                                     http::verb::post, Path, std::move(Text));
  if (!Response || Response.value().result() != http::status::ok)
    Current.Violations.push_back("the control of a stand-in refused " + Path);
}

Awaitable<void> faultPlatform(Run &Current, Fleet &Processes,
                              std::string Text) {
  report(Current, "platform " + Text);
  co_await control(Current, Processes.platformControl(), "/control/faults",
                   Text);
}

Awaitable<void> changeTarget(Run &Current, Fleet &Processes,
                             std::string Members) {
  const auto &All = Processes.targets();
  const auto Index = randomIndex(Current.Generator, All.size());
  const std::string Text =
      "{\"targets\":[" +
      boost::json::serialize(All[Index].as_object().at("id")) + "]," + Members +
      "}";
  report(Current, "target " + Text);
  co_await control(Current, Processes.targetControl(), "/control/behaviour",
                   Text);
}

std::string drawOutage(Run &Current) {
  const char *Kind =
      randomIndex(Current.Generator, 2) == 0 ? "refuse" : "unavailable";
  return std::string("{\"outage\":\"") + Kind +
         "\",\"length_ms\":" + milliseconds(between(Current, 500, 6000)) + "}";
}

std::string drawPlatformTrouble(Run &Current) {
  return "{\"lose_answers\":" +
         std::to_string(1 + randomIndex(Current.Generator, 3)) +
         ",\"stale_versions\":" +
         std::to_string(randomIndex(Current.Generator, 3)) +
         ",\"delay_ms\":" + milliseconds(between(Current, 0, 200)) +
         ",\"length_ms\":" + milliseconds(between(Current, 500, 3000)) + "}";
}

Awaitable<void> drawFault(Run &Current, Fleet &Processes) {
  switch (randomIndex(Current.Generator, 10)) {
  case 0:
  case 1:
    if (Host *Chosen = drawHost(Current, Processes))
      asio::co_spawn(Current.Context,
                     killAndRestart(Current, Processes, *Chosen),
                     asio::detached);
    break;
  case 2:
  case 3:
    if (Host *Chosen = drawHost(Current, Processes))
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
    co_await faultPlatform(Current, Processes, drawOutage(Current));
    break;
  default:
    co_await faultPlatform(Current, Processes, drawPlatformTrouble(Current));
  }
}

} // namespace

Awaitable<void> causeFaults(Run &Current, Fleet &Processes) {
  std::exponential_distribution<double> Gap(1 / MeanGapSeconds);
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await pause(Current, Duration(static_cast<Duration::rep>(
                                Gap(Current.Generator) * 1e9)));
    if (Current.TimeSource.now() < Current.FaultsUntil)
      co_await drawFault(Current, Processes);
  }
  co_await faultPlatform(Current, Processes, R"({"outage":"none"})");
  co_await control(
      Current, Processes.targetControl(), "/control/behaviour",
      R"({"mean_ms":3,"load_report":"truthful","failure_share":0})");
}

Awaitable<void> replaceHosts(Run &Current, Fleet &Processes) {
  std::size_t Next = 0;
  while (Current.TimeSource.now() < Current.FaultsUntil) {
    co_await pause(Current, between(Current, 500, 3000));
    Host &Chosen = Processes.hosts()[Next % Processes.hosts().size()];
    const auto Healthy = static_cast<std::size_t>(
        std::ranges::count_if(Processes.hosts(), isHealthy));
    if (!isHealthy(Chosen) || Healthy <= FewestHealthy)
      continue;
    ++Next;
    report(Current, "planned stop of " + Chosen.Name);
    const TimePoint Began = Current.TimeSource.now();
    Processes.stopHost(Chosen);
    bool Hangs = false;
    while (Chosen.Process) {
      co_await pause(Current, std::chrono::milliseconds(20));
      Processes.reap();
      if (!Hangs && Current.TimeSource.now() - Began > LongestStop) {
        Hangs = true;
        Current.Violations.push_back("planned stop of " + Chosen.Name +
                                     " did not end within 20 s");
        Processes.killHost(Chosen);
      }
    }
    Processes.startHost(Chosen);
  }
}

} // namespace comfreyrill::chaos
