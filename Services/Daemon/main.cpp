#include "HostDaemon.h"
#include "Version.h"

#include <Gateway/GatewayMain.h>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char Usage[] = R"(comfreyrilld, the host daemon of comfreyrill.

Usage:
  comfreyrilld --settings FILE [--check]
  comfreyrilld gateway [--settings FILE] [--check]
  comfreyrilld --version
  comfreyrilld --help

With "gateway" it serves callers and targets of the users' platform; without a
file, the settings are those that the platform's environment variable names.

Options:
  --settings FILE  Settings in JSON; docs/settings.md describes the fields.
  --check          Check the settings and exit.
  --version        Print the version.
  --help           Print this text.

The first SIGTERM or SIGINT drains the host; the second ends it at once. A
gateway is ended at once only by SIGINT: its drain ends with its stop time.
Exit codes: 0 done, 1 usage, 2 invalid settings, 4 an address is in use.
)";

constexpr int ExitInvalidSettings = 2;
constexpr int ExitUnavailable = 4;

using namespace comfreyrill;

Awaitable<void> awaitSignals(asio::io_context &Loop, HostDaemon &Process) {
  asio::basic_signal_set<Executor> Signals(Loop.get_executor(), SIGTERM,
                                           SIGINT);
  co_await Signals.async_wait(UseTuple);
  Process.drain();
  co_await Signals.async_wait(UseTuple);
  Process.stop();
}

/// Runs the host process. Returns only when the host cannot start.
int run(const Settings &Configured) {
  // A write to a connection that the remote side has closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Loop(1);
  const SystemClock TimeSource;
  HostDaemon Process(Configured, Loop, TimeSource);
  const auto Started = Process.start();
  if (!Started) {
    std::cerr << "comfreyrilld: " << Started.error().Message << '\n';
    return ExitUnavailable;
  }
  asio::co_spawn(Loop, awaitSignals(Loop, Process), asio::detached);
  Loop.run();
  // Suspended coroutine frames refer to services, and services refer to the
  // event loop, so no destruction order of the two is safe.
  std::cout.flush();
  std::quick_exit(0);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const auto Options =
      docopt::docopt(Usage, {Arguments + 1, Arguments + ArgumentCount}, true,
                     "comfreyrilld " + std::string(ProgramVersion));
  if (Options.at("gateway").asBool()) {
    const auto &Path = Options.at("--settings");
    return runGateway(Path ? Path.asString() : "",
                      Options.at("--check").asBool());
  }
  const auto Configured = readSettings(Options.at("--settings").asString());
  if (!Configured) {
    std::cerr << "comfreyrilld: " << Configured.error().Message << '\n';
    return ExitInvalidSettings;
  }
  if (Options.at("--check").asBool()) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  return run(Configured.value());
}
