#include "Fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <set>
#include <thread>

namespace comfreyrill::chaos {

namespace {

constexpr int CallerCount = 3;

void writeFile(const std::string &Path, const boost::json::value &Value) {
  std::ofstream(Path) << boost::json::serialize(Value) << "\n";
}

/// Returns free ports on an address. All ports stay bound until the last one is
/// allocated, so that they differ.
std::vector<std::uint16_t> freePorts(const std::string &Address, int Count) {
  boost::asio::io_context Context;
  std::vector<boost::asio::ip::tcp::acceptor> Held;
  std::vector<std::uint16_t> Ports;
  for (int Index = 0; Index < Count; ++Index) {
    Held.emplace_back(Context, boost::asio::ip::tcp::endpoint(
                                   boost::asio::ip::make_address(Address), 0));
    Ports.push_back(Held.back().local_endpoint().port());
  }
  return Ports;
}

Result<Endpoint> readEndpoint(const boost::json::object &Object,
                              const char *Name) {
  return parseEndpoint(std::string(Object.at(Name).as_string()));
}

} // namespace

double nowMilliseconds() {
  return static_cast<double>(BootClock::now().time_since_epoch().count()) / 1e6;
}

Fleet::Fleet(FleetSettings NewSettings) : Settings(std::move(NewSettings)) {}

std::string Fleet::filePath(const std::string &Name) const {
  return Settings.Work + "/" + Name;
}

std::string Fleet::standInPath(const std::string &Name) const {
  return Settings.Build + "/Tests/StandIns/" + Name;
}

Result<boost::json::object>
Fleet::waitForStartLine(const ChildProcess &Process,
                        const std::string &Name) const {
  for (int Attempt = 0; Attempt < 500; ++Attempt) {
    const std::string Line = Process.firstLine();
    if (!Line.empty()) {
      boost::json::error_code Code;
      auto Value = boost::json::parse(Line, Code);
      if (!Code && Value.is_object())
        return std::move(Value.as_object());
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return Error{ErrorKind::Unavailable,
               Name + " did not start; see its output in " + Settings.Work};
}

Result<void> Fleet::start() {
  TargetProcess = std::make_unique<ChildProcess>(
      standInPath("standin-target"),
      std::vector<std::string>{
          "--count", std::to_string(Settings.Targets), "--seed",
          std::to_string(Settings.Seed), "--behaviour",
          R"({"mean_ms":3,"queue":8,"slots":)" +
              std::to_string(Settings.Slots) +
              R"(,"slow_down_every_ms":400,"cold_ms":300,"down_ms":400})"},
      filePath("target.out"));
  TRY(const auto TargetLine,
      waitForStartLine(*TargetProcess, "standin-target"));
  TRY(TargetControl, readEndpoint(TargetLine, "control"));
  Targets = TargetLine.at("targets").as_array();

  boost::json::array HostEntries;
  for (std::uint32_t Index = 1; Index <= Settings.Hosts; ++Index)
    HostEntries.push_back({{"host", "h" + std::to_string(Index)},
                           {"address", "127.0.0." + std::to_string(Index)},
                           {"state", "live"}});
  writeFile(filePath("fleet.json"), {{"hosts", std::move(HostEntries)}});
  writeFile(filePath("manifest.json"), {{"number", 1},
                                        {"apply_id", "chaos-0"},
                                        {"history", boost::json::array()},
                                        {"manifest", manifest("", 64)}});
  PlatformProcess = std::make_unique<ChildProcess>(
      standInPath("standin-platform"),
      std::vector<std::string>{"--load",
                               "manifest=" + filePath("manifest.json"),
                               "--load", "fleet=" + filePath("fleet.json")},
      filePath("platform.out"));
  TRY(const auto PlatformLine,
      waitForStartLine(*PlatformProcess, "standin-platform"));
  TRY(PlatformAddress, readEndpoint(PlatformLine, "listen"));
  TRY(PlatformControl, readEndpoint(PlatformLine, "control"));
  TRY(writeHostSettings());
  for (Host &Started : Hosts)
    startHost(Started);
  return outcome::success();
}

Result<void> Fleet::writeHostSettings() {
  for (std::uint32_t Index = 1; Index <= Settings.Hosts; ++Index) {
    const std::string Address = "127.0.0." + std::to_string(Index);
    const auto Ports = freePorts(Address, 3);
    Host Added;
    Added.Name = "h" + std::to_string(Index);
    Added.SettingsFile = filePath(Added.Name + ".json");
    Added.Caller = {Address, Ports[0]};
    Added.Peer = {Address, Ports[1]};
    Added.Admin = {Address, Ports[2]};
    Hosts.push_back(std::move(Added));
  }
  for (const Host &Written : Hosts) {
    boost::json::array Seeds;
    for (const Host &Other : Hosts)
      if (Other.Name != Written.Name)
        Seeds.push_back(boost::json::string(formatEndpoint(Other.Peer)));
    writeFile(
        Written.SettingsFile,
        {{"host", Written.Name},
         {"failure_domain", (&Written - Hosts.data()) % 2 == 0 ? "a" : "b"},
         {"caller_address", formatEndpoint(Written.Caller)},
         {"peer_address", formatEndpoint(Written.Peer)},
         {"admin_address", formatEndpoint(Written.Admin)},
         {"platform", boost::json::array{formatEndpoint(PlatformAddress)}},
         {"seeds", std::move(Seeds)},
         {"log", {{"level", "info"}, {"path", ""}}}});
  }
  return outcome::success();
}

boost::json::object Fleet::manifest(const std::string &OmittedTarget,
                                    std::uint32_t QueueLength) const {
  boost::json::array TargetEntries;
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    const auto &Entry = Targets[Index].as_object();
    if (Entry.at("id").as_string() == OmittedTarget)
      continue;
    TargetEntries.push_back({{"id", Entry.at("id")},
                             {"address", Entry.at("address")},
                             {"failure_domain", Index % 2 == 0 ? "a" : "b"},
                             {"slots", Settings.Slots}});
  }
  return {
      {"hosts_maximum", Settings.Hosts + 2},
      // The lifetime is short, so that planned stops end within the run.
      {"address_lifetime_ms", 1500},
      {"services", boost::json::array{boost::json::object{
                       {"name", "stock"},
                       {"operations", boost::json::array{boost::json::object{
                                          {"method", "POST"},
                                          {"path_prefix", "/checkout"},
                                          {"idempotent", false}}}},
                       {"targets", std::move(TargetEntries)},
                       {"queue_length", QueueLength}}}}};
}

void Fleet::startHost(Host &Started) {
  Started.Lifetime = HostLifetime{};
  Started.Lifetime.CallerAddress = formatEndpoint(Started.Caller);
  Started.Lifetime.StartedMs = nowMilliseconds();
  Started.IsFrozen = false;
  Started.Process = std::make_unique<ChildProcess>(
      Settings.Build + "/Services/Daemon/comfreyrilld",
      std::vector<std::string>{"--settings", Started.SettingsFile},
      filePath(Started.Name + "." + std::to_string(++Started.Starts) + ".log"));
}

void Fleet::startCallers() {
  for (int Index = 1; Index <= CallerCount; ++Index) {
    const std::string Name = "caller" + std::to_string(Index);
    CallerLogs.push_back(filePath(Name + ".book.json"));
    std::vector<std::string> Arguments{
        "--name", Name, "--rate", std::to_string(Settings.Rate / CallerCount),
        "--seconds", std::to_string(Settings.Seconds), "--keyed", "0.5",
        // About one crashing request per caller every 10 s.
        "--crash-every",
        std::to_string(static_cast<int>(Settings.Rate / CallerCount * 10)),
        "--answer-bytes", std::to_string(Index == 1 ? 20000 : 100),
        "--timeout-ms", "2000", "--seed",
        std::to_string(Settings.Seed * 10 + static_cast<std::uint64_t>(Index)),
        "--book", CallerLogs.back()};
    for (std::size_t Step = 0; Step < Hosts.size(); ++Step) {
      const auto First = static_cast<std::size_t>(Index);
      Arguments.emplace_back("--host");
      Arguments.push_back(
          formatEndpoint(Hosts[(First + Step) % Hosts.size()].Caller));
    }
    CallerProcesses.push_back(std::make_unique<ChildProcess>(
        standInPath("standin-caller"), Arguments, filePath(Name + ".out")));
  }
}

bool Fleet::callersRunning() {
  bool Running = false;
  for (const auto &Caller : CallerProcesses)
    Running = Caller->isRunning() || Running;
  return Running;
}

void Fleet::stopHost(Host &Stopped) {
  Stopped.Lifetime.StopStartedMs = nowMilliseconds();
  Stopped.Process->signal(SIGTERM);
}

void Fleet::killHost(Host &Killed) {
  Killed.Lifetime.WasKilledOrFrozen = true;
  Killed.Process->signal(SIGKILL);
}

void Fleet::freezeHost(Host &Frozen) {
  Frozen.Lifetime.WasKilledOrFrozen = true;
  Frozen.IsFrozen = true;
  Frozen.Process->signal(SIGSTOP);
}

void Fleet::resumeHost(Host &Resumed) {
  Resumed.IsFrozen = false;
  Resumed.Process->signal(SIGCONT);
}

void Fleet::recordHostEnd(Host &Ended) {
  Ended.Lifetime.EndedMs = nowMilliseconds();
  EndedLifetimes.push_back(Ended.Lifetime);
  const bool WasExpected =
      Ended.Lifetime.WasKilledOrFrozen || Ended.Lifetime.StopStartedMs > 0;
  if (!WasExpected ||
      (!Ended.Lifetime.WasKilledOrFrozen && Ended.Process->exitCode() != 0))
    UnexpectedEnds.push_back(
        Ended.Name + " ended with code " +
        std::to_string(Ended.Process->exitCode()) + "; see " +
        filePath(Ended.Name + "." + std::to_string(Ended.Starts) + ".log"));
  Ended.Process.reset();
}

void Fleet::reap() {
  for (Host &Current : Hosts)
    if (Current.Process && !Current.Process->isRunning())
      recordHostEnd(Current);
}

void Fleet::end() {
  for (Host &Current : Hosts)
    Current.Process.reset();
  CallerProcesses.clear();
  TargetProcess.reset();
  PlatformProcess.reset();
}

std::vector<HostLifetime> Fleet::lifetimes() const {
  auto All = EndedLifetimes;
  for (const Host &Current : Hosts)
    if (Current.Process) {
      All.push_back(Current.Lifetime);
      All.back().EndedMs = nowMilliseconds();
    }
  return All;
}

} // namespace comfreyrill::chaos
