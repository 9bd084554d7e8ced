#include "SoakRun.h"

#include <algorithm>
#include <csignal>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>

namespace comfreyrill::soak {

namespace {

constexpr const char *Usage =
    R"(Runs gateway processes under random faults and checks the observations of
callers and targets against the guarantees of the gateway.

Usage:
  gateway-soak --daemon PATH --work DIRECTORY --seed NUMBER [options]

Options:
  --daemon PATH      Path of the comfreyrilld to run.
  --work DIRECTORY   Directory for settings and logs.
  --seed NUMBER      Seed of the faults and calls.
  --seconds NUMBER   Time during which faults are injected [default: 20].
  --hosts NUMBER     Number of gateway hosts [default: 6].
  --callers NUMBER   Number of callers [default: 24].
)";

constexpr Duration StartTime = std::chrono::seconds(3);
// Time for the fleet to recover after the last fault.
constexpr Duration RecoveryTime = std::chrono::seconds(6);
constexpr Duration MeasurementTime = std::chrono::seconds(3);
constexpr double MinimumServedShare = 0.95;
constexpr Duration EndTime = std::chrono::seconds(8);

boost::json::value route(const std::string &Prefix, const char *Kind) {
  return boost::json::object{
      {"name", Prefix}, {"host", "desk.example"}, {"pathPrefix", Prefix},
      {"kind", Kind},   {"timeoutS", 1.2},        {"targetLatencyS", 0.3},
      {"priority", 1},  {"maxAttempts", 3},       {"service", "stock"}};
}

Result<void> startProcess(SoakRun &Current, TargetProcess Process,
                          std::string Domain,
                          std::shared_ptr<LoopbackProxy> Link) {
  auto Added = std::make_unique<SoakTarget>(
      Current.Loop.get_executor(), Current.TimeSource, Current.Generator,
      Current.Records, std::move(Process), std::move(Domain));
  TRY(Added->start(std::move(Link)));
  Current.Store.put("servers", Added->id(), Added->registration());
  beginReadiness(Current, *Added);
  Current.LiveTargets.push_back(Added.get());
  Current.Targets.push_back(std::move(Added));
  return outcome::success();
}

/// Stops all hosts with SIGTERM; each must end with code 0 within EndTime.
Awaitable<void> endHosts(SoakRun &Current) {
  for (SoakHost &Host : Current.Fleet.hosts())
    Host.Process->signal(SIGTERM);
  const TimePoint StopDeadline = Current.TimeSource.now() + EndTime;
  for (SoakHost &Host : Current.Fleet.hosts()) {
    while (Host.Process->isRunning() && Current.TimeSource.now() < StopDeadline)
      co_await sleepFor(Current, std::chrono::milliseconds(20));
    if (Host.Process->isRunning())
      Current.Violations.push_back(Host.Name + " did not end after SIGTERM");
    else if (Host.Process->exitCode() != 0)
      Current.Violations.push_back(Host.Name + " ended with code " +
                                   std::to_string(Host.Process->exitCode()));
  }
}

Awaitable<void> runScenario(SoakRun &Current) {
  co_await sleepFor(Current, StartTime);
  for (std::size_t Caller = 0; Caller < Current.Settings.Callers; ++Caller)
    asio::co_spawn(Current.Loop, runCaller(Current, Caller), asio::detached);
  asio::co_spawn(Current.Loop, superviseHosts(Current), asio::detached);
  Current.FaultsUntil = Current.TimeSource.now() + Current.Settings.FaultTime;
  co_await injectFaults(Current);
  co_await sleepFor(Current, RecoveryTime + MeasurementTime);
  const TimePoint Now = Current.TimeSource.now();
  const double Share = servedShare(Current.Records, Now - MeasurementTime, Now);
  if (Share < MinimumServedShare)
    Current.Violations.push_back("after the faults only " +
                                 std::to_string(Share) + " were served");
  for (const auto &Target : Current.Targets)
    endReadiness(Current, *Target);
  Current.IsOver = true;
  // Calls in progress end within the time that callers wait for a response.
  co_await sleepFor(Current, std::chrono::seconds(3));
  co_await endHosts(Current);
  Current.Loop.stop();
}

int reportResults(SoakRun &Current) {
  std::vector<std::string> Violations = findViolations(Current.Records);
  Violations.insert(Violations.end(), Current.Violations.begin(),
                    Current.Violations.end());
  for (const std::string &Line : Violations)
    std::cout << "VIOLATION " << Line << '\n';
  std::map<std::string, std::size_t> StatusCounts;
  for (const CallRecord &Call : Current.Records.Calls)
    ++StatusCounts[Call.Status ? std::to_string(*Call.Status) : "none"];
  std::cout << "seed " << Current.Settings.Seed << ": "
            << Current.Records.Calls.size() << " calls";
  for (const auto &[Status, Count] : StatusCounts)
    std::cout << ", " << Status << ": " << Count;
  std::cout << ", " << Current.Records.Disturbances.size() << " disturbances, "
            << Current.Records.DrainedTargets.size() << " drained targets, "
            << findLeavingAnswers(Current.Records).size()
            << " answers of leaving targets, "
            << std::count_if(Current.Records.Arrivals.begin(),
                             Current.Records.Arrivals.end(),
                             [](const ArrivalRecord &Arrival) {
                               return Arrival.RetryAfter > Duration::zero();
                             })
            << " pauses, " << Current.Records.RequestLimits.size()
            << " limits, " << countAttributedProbes(Current.Records) << " of "
            << Current.Records.Probes.size() << " probes with a known host, "
            << std::count_if(Current.Records.Probes.begin(),
                             Current.Records.Probes.end(),
                             [](const ProbeRecord &Probe) {
                               return Probe.RetryAfter > Duration::zero();
                             })
            << " probes refused, " << Current.RouteVersions.size()
            << " configurations, " << Violations.size() << " violations"
            << std::endl;
  return Violations.empty() ? 0 : 1;
}

int runSoak(const SoakSettings &Settings) {
  SoakRun Current(Settings);
  const auto Fail = [](const Error &Cause) {
    std::cerr << "gateway-soak: " << Cause.Message << '\n';
    return 2;
  };
  if (const auto Started = Current.Store.listen(); !Started)
    return Fail(Started.error());
  for (std::size_t Index = 0; Index < Settings.Targets; ++Index)
    if (const auto Added = addTarget(Current); !Added)
      return Fail(Added.error());
  writeNextConfiguration(Current);
  if (const auto Started = Current.Fleet.start(Current.Loop.get_executor(),
                                               Current.Store.endpoint());
      !Started)
    return Fail(Started.error());
  asio::co_spawn(Current.Loop, runScenario(Current), asio::detached);
  Current.Loop.run();
  return reportResults(Current);
}

} // namespace

SoakRun::SoakRun(SoakSettings Configured)
    : Settings(std::move(Configured)), Generator(Settings.Seed),
      Store(Loop.get_executor(), TimeSource), Fleet(Settings.Fleet) {}

void beginReadiness(SoakRun &Current, const SoakTarget &Target) {
  TargetReadiness Ready{
      Target.process(), {}, Current.TimeSource.now(), TimePoint::max()};
  const std::size_t HostCount = Current.Settings.Fleet.Hosts;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (hostDomain(Current.Settings.Fleet, Host) == Target.domain())
      Ready.NearHosts.push_back(Host);
  Current.Records.ReadyTargets.push_back(std::move(Ready));
}

Awaitable<void> sleepFor(SoakRun &Current, Duration Length) {
  Timer Pause(Current.Loop.get_executor());
  Pause.expires_after(Length);
  co_await Pause.async_wait(UseTuple);
}

void logFault(SoakRun &Current, const std::string &Text) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Current.FaultsUntil - Current.TimeSource.now());
  std::cout << "fault (" << Left.count() << " ms left): " << Text << '\n';
}

void writeConfiguration(SoakRun &Current) {
  boost::json::array Routes{route("/read/", "read_only"),
                            route("/once/", "non_idempotent")};
  for (const std::uint64_t Version : Current.RouteVersions)
    Routes.push_back(
        route("/added-" + std::to_string(Version) + "/", "read_only"));
  const boost::json::object Service{
      {"name", "stock"}, {"healthPath", "/health"}, {"maxConnections", 200}};
  Current.Store.put(
      "config", "main",
      boost::json::object{{"version", "r" + std::to_string(Current.Version)},
                          {"routes", std::move(Routes)},
                          {"services", boost::json::array{Service}},
                          {"limits", boost::json::object{}}});
}

void writeNextConfiguration(SoakRun &Current) {
  ++Current.Version;
  if (Current.Version > 1)
    Current.RouteVersions.push_back(Current.Version);
  writeConfiguration(Current);
  Current.Records.Configurations.push_back(
      {Current.TimeSource.now(), {}, Current.Version});
  if (Current.Version > 1)
    logFault(Current, "configuration " + std::to_string(Current.Version));
}

Result<void> addTarget(SoakRun &Current) {
  const std::size_t Number = Current.Targets.size();
  return startProcess(Current, {"t" + std::to_string(Number)},
                      hostDomain(Current.Settings.Fleet, Number), nullptr);
}

Result<void> addNextProcess(SoakRun &Current, const SoakTarget &Ended,
                            bool KeepsAddress) {
  return startProcess(Current, {Ended.id(), Ended.process().Number + 1},
                      Ended.domain(), KeepsAddress ? Ended.link() : nullptr);
}

void endReadiness(SoakRun &Current, const SoakTarget &Target) {
  for (TargetReadiness &Ready : Current.Records.ReadyTargets)
    if (Ready.Target == Target.process())
      Ready.Until = std::min(Ready.Until, Current.TimeSource.now());
}

} // namespace comfreyrill::soak

int main(int Count, char **Arguments) {
  using namespace comfreyrill;
  const auto Options =
      docopt::docopt(soak::Usage, {Arguments + 1, Arguments + Count});
  soak::SoakSettings Settings;
  Settings.Fleet.Daemon = Options.at("--daemon").asString();
  Settings.Fleet.Work = Options.at("--work").asString();
  Settings.Fleet.Hosts =
      static_cast<std::size_t>(Options.at("--hosts").asLong());
  Settings.Seed = static_cast<std::uint64_t>(Options.at("--seed").asLong());
  Settings.FaultTime = std::chrono::seconds(Options.at("--seconds").asLong());
  Settings.Callers = static_cast<std::size_t>(Options.at("--callers").asLong());
  std::signal(SIGPIPE, SIG_IGN);
  return soak::runSoak(Settings);
}
