#include "GatewayMain.h"

#include "Gateway.h"

#include <platform/Settings.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

namespace comfreyrill {

namespace {

constexpr int ExitInvalidSettings = 2;
constexpr int ExitUnavailable = 4;
// Larger blocks are returned to the system when they are freed. Without a fixed
// threshold, glibc raises it to the size of the blocks that are freed, and the
// memory of large messages stays with the process.
constexpr int DirectAllocationBytes = 256 * 1024;

using SignalSet = asio::basic_signal_set<Executor>;

std::string environmentVariable(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

Result<GatewaySettings> readSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorKind::NotFound,
                 "cannot read the settings file '" + Path +
                     "'; name a file that exists and may be read"};
  std::ostringstream Text;
  Text << File.rdbuf();
  TRY(auto Configured, parseGatewaySettings(Text.str()));
  // What is missing without these variables does not keep a host from serving.
  const auto Completed = applyEnvironment(
      Configured, {environmentVariable(platform::MetricsAddressVariable),
                   environmentVariable(platform::MemoryLimitVariable),
                   environmentVariable(platform::DomainBytePriceVariable),
                   platform::includesEvacuations(
                       environmentVariable(platform::ContractsVariable))});
  if (!Completed)
    std::cerr << "comfreyrilld: environment variable ignored: "
              << Completed.error().Message << '\n';
  return Configured;
}

Awaitable<void> awaitStop(SignalSet &Signals, Gateway &Process) {
  co_await Signals.async_wait(UseTuple);
  Process.drain();
  // The drain has its own end. A repeated SIGTERM must not cut off the requests
  // in progress, while an operator at a terminal may want to.
  while (true) {
    const auto [Code, Signal] = co_await Signals.async_wait(UseTuple);
    if (Code || Signal == SIGINT)
      break;
  }
  Process.stop();
}

Awaitable<void> awaitReload(SignalSet &Signals, Gateway &Process,
                            std::string Path) {
  while (true) {
    const auto [Code, Signal] = co_await Signals.async_wait(UseTuple);
    if (Code)
      co_return;
    const auto Changed = readSettings(Path);
    if (Changed)
      Process.reload(Changed.value());
    else
      std::cerr
          << "comfreyrilld: settings not reloaded, keeping the current ones: "
          << Changed.error().Message << '\n';
  }
}

} // namespace

int runGateway(std::string SettingsPath, bool IsCheckOnly) {
  if (SettingsPath.empty())
    SettingsPath = environmentVariable(platform::SettingsVariable);
  asio::io_context Loop(1);
  SignalSet StopSignals(Loop.get_executor());
  SignalSet ReloadSignals(Loop.get_executor());
  // Until a signal is in a set, it ends the process. Signals that arrive during
  // the start are handled after it.
  if (!IsCheckOnly) {
    StopSignals.add(SIGTERM);
    StopSignals.add(SIGINT);
    ReloadSignals.add(SIGHUP);
  }
  const auto Configured = readSettings(SettingsPath);
  if (!Configured) {
    std::cerr << "comfreyrilld: " << Configured.error().Message << '\n';
    return ExitInvalidSettings;
  }
  if (IsCheckOnly) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  // Without this, a write to a connection that the peer has closed would end
  // the process.
  std::signal(SIGPIPE, SIG_IGN);
  ::mallopt(M_MMAP_THRESHOLD, DirectAllocationBytes);
  const SystemClock TimeSource;
  Gateway Process(Configured.value(), Loop, TimeSource);
  const auto Started = Process.start();
  if (!Started) {
    std::cerr << "comfreyrilld: " << Started.error().Message << '\n';
    return ExitUnavailable;
  }
  asio::co_spawn(Loop, awaitStop(StopSignals, Process), asio::detached);
  asio::co_spawn(Loop, awaitReload(ReloadSignals, Process, SettingsPath),
                 asio::detached);
  Loop.run();
  // Suspended coroutines in the event loop refer to services, and services
  // refer to the loop, so neither can be destroyed safely before the other.
  std::cout.flush();
  std::quick_exit(0);
}

} // namespace comfreyrill
