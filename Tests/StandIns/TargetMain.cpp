#include "TargetFleet.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char *Usage =
    R"(Test targets; one process can run hundreds of them.

Usage:
  standin-target [--count N] [--prefix TEXT] [--listen ADDRESS]
                 [--control ADDRESS] [--behaviour JSON] [--seed N]

Options:
  --count N          Number of targets [default: 1].
  --prefix TEXT      Prefix of the target ids, followed by a number from 1
                     [default: t].
  --listen ADDRESS   Address of the first target; the others use the following
                     ports, or free ports with port 0 [default: 127.0.0.1:0].
  --control ADDRESS  Address of the control API [default: 127.0.0.1:0].
  --behaviour JSON   Settings as in POST /control/behaviour [default: {}].
  --seed N           Seed of the random number generator [default: 1].

The first line of the output contains all addresses as JSON.
)";

} // namespace

int main(int Count, char **Arguments) {
  using namespace comfreyrill;
  const auto Options =
      docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  const auto Listen = parseEndpoint(Options.at("--listen").asString());
  const auto Control = parseEndpoint(Options.at("--control").asString());
  const auto Settings =
      standins::parseObject(Options.at("--behaviour").asString());
  if (!Listen || !Control || !Settings) {
    std::cerr << "invalid argument: "
              << (!Listen    ? Listen.error()
                  : !Control ? Control.error()
                             : Settings.error())
                     .Message
              << "\n";
    return 2;
  }
  standins::TargetBehaviour Behaviour;
  if (const auto Applied = standins::applySettings(Settings.value(), Behaviour);
      !Applied) {
    std::cerr << Applied.error().Message << "\n";
    return 2;
  }
  asio::io_context Context(1);
  const SystemClock TimeSource;
  const auto Fleet = std::make_shared<standins::TargetFleet>(
      Context.get_executor(), TimeSource,
      static_cast<std::uint64_t>(Options.at("--seed").asLong()));
  auto Started = Fleet->listenControl(Control.value());
  for (long Index = 0; Started && Index < Options.at("--count").asLong();
       ++Index) {
    Endpoint Address = Listen.value();
    if (Address.Port != 0)
      Address.Port = static_cast<std::uint16_t>(Address.Port + Index);
    Started = Fleet->add(Options.at("--prefix").asString() +
                             std::to_string(Index + 1),
                         Address, Behaviour);
  }
  if (!Started) {
    std::cerr << Started.error().Message << "\n";
    return 1;
  }
  std::cout << boost::json::serialize(Fleet->describe()) << std::endl;
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Fleet->close();
    Context.stop();
  });
  Context.run();
  return 0;
}
