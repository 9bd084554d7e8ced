#include "SoakRun.h"

#include <csignal>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>

namespace comfreyrill::soak {

namespace {

constexpr const char *Usage =
    R"(Runs gateway processes under a seeded mix of faults and checks what callers
and targets see against the promises of the gateway.

Usage:
  gateway-soak --daemon PATH --work DIRECTORY --seed NUMBER [options]

Options:
  --daemon PATH      The comfreyrilld to run.
  --work DIRECTORY   Where settings and logs are written.
  --seed NUMBER      Draws the faults.
  --seconds NUMBER   How long faults are injected [default: 20].
  --hosts NUMBER     Gateway processes [default: 6].
  --callers NUMBER   Callers [default: 24].
)";

constexpr Duration StartTime = std::chrono::seconds(3);
// After the last fault the fleet has this long to be whole again.
constexpr Duration RecoveryTime = std::chrono::seconds(6);
constexpr Duration JudgedTime = std::chrono::seconds(3);
constexpr double ServedShareLeast = 0.95;
constexpr Duration EndTime = std::chrono::seconds(8);

boost::json::value route(const std::string &Prefix, const char *Kind) {
  return boost::json::object{
      {"name", Prefix}, {"host", "desk.example"}, {"pathPrefix", Prefix},
      {"kind", Kind},   {"timeoutS", 1.2},        {"targetLatencyS", 0.3},
      {"priority", 1},  {"maxAttempts", 3},       {"service", "stock"}};
}

/// Ends all processes as planned; each must do so in time.
Awaitable<void> endHosts(SoakRun &Current) {
  for (SoakHost &Host : Current.Fleet.hosts())
    Host.Process->signal(SIGTERM);
  const TimePoint Last = Current.TimeSource.now() + EndTime;
  for (SoakHost &Host : Current.Fleet.hosts()) {
    while (Host.Process->isRunning() && Current.TimeSource.now() < Last)
      co_await sleepFor(Current, std::chrono::milliseconds(20));
    if (Host.Process->isRunning())
      Current.Violations.push_back(Host.Name + " did not end after SIGTERM");
    else if (Host.Process->exitCode() != 0)
      Current.Violations.push_back(Host.Name + " ended with code " +
                                   std::to_string(Host.Process->exitCode()));
  }
}

Awaitable<void> play(SoakRun &Current) {
  co_await sleepFor(Current, StartTime);
  for (std::size_t Caller = 0; Caller < Current.Settings.Callers; ++Caller)
    asio::co_spawn(Current.Loop, callUntilOver(Current, Caller),
                   asio::detached);
  asio::co_spawn(Current.Loop, superviseHosts(Current), asio::detached);
  Current.FaultsUntil = Current.TimeSource.now() + Current.Settings.FaultTime;
  co_await injectFaults(Current);
  co_await sleepFor(Current, RecoveryTime + JudgedTime);
  const TimePoint Now = Current.TimeSource.now();
  const double Share = shareServed(Current.Book, Now - JudgedTime, Now);
  if (Share < ServedShareLeast)
    Current.Violations.push_back("after the faults only " +
                                 std::to_string(Share) + " were served");
  Current.IsOver = true;
  // Calls in progress end within the time that callers wait.
  co_await sleepFor(Current, std::chrono::seconds(3));
  co_await endHosts(Current);
  Current.Loop.stop();
}

int judge(SoakRun &Current) {
  std::vector<std::string> Violations = findViolations(Current.Book);
  Violations.insert(Violations.end(), Current.Violations.begin(),
                    Current.Violations.end());
  for (const std::string &Line : Violations)
    std::cout << "VIOLATION " << Line << '\n';
  std::map<std::string, std::size_t> Ends;
  for (const CallRecord &Call : Current.Book.Calls)
    ++Ends[Call.Status ? std::to_string(*Call.Status) : "none"];
  std::cout << "seed " << Current.Settings.Seed << ": "
            << Current.Book.Calls.size() << " calls";
  for (const auto &[Status, Count] : Ends)
    std::cout << ", " << Status << ": " << Count;
  std::cout << ", " << Current.Book.Disturbances.size() << " disturbances, "
            << Current.Book.DrainedTargets.size() << " drained targets, "
            << Current.RouteVersions.size() << " configurations, "
            << Violations.size() << " violations" << std::endl;
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
  asio::co_spawn(Current.Loop, play(Current), asio::detached);
  Current.Loop.run();
  return judge(Current);
}

} // namespace

SoakRun::SoakRun(SoakSettings Configured)
    : Settings(std::move(Configured)), Generator(Settings.Seed),
      Store(Loop.get_executor(), TimeSource), Fleet(Settings.Fleet) {}

Awaitable<void> sleepFor(SoakRun &Current, Duration Length) {
  Timer Pause(Current.Loop.get_executor());
  Pause.expires_after(Length);
  co_await Pause.async_wait(UseTuple);
}

void report(SoakRun &Current, const std::string &Text) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Current.FaultsUntil - Current.TimeSource.now());
  std::cout << "fault (" << Left.count() << " ms left): " << Text << '\n';
}

void writeNextConfiguration(SoakRun &Current) {
  ++Current.Version;
  boost::json::array Routes{route("/read/", "read_only"),
                            route("/once/", "non_idempotent")};
  if (Current.Version > 1)
    Current.RouteVersions.push_back(Current.Version);
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
  Current.Book.Configurations.push_back(
      {Current.TimeSource.now(), "", Current.Version});
  if (Current.Version > 1)
    report(Current, "configuration " + std::to_string(Current.Version));
}

Result<void> addTarget(SoakRun &Current) {
  const std::size_t Number = Current.Targets.size();
  auto Added = std::make_unique<SoakTarget>(
      Current.Loop.get_executor(), Current.TimeSource, Current.Generator,
      Current.Book, "t" + std::to_string(Number),
      "d" + std::to_string(Number % Current.Settings.Fleet.Domains));
  TRY(Added->start());
  Current.Store.put("servers", Added->id(), Added->registration(false));
  Current.Live.push_back(Added.get());
  Current.Targets.push_back(std::move(Added));
  return outcome::success();
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
