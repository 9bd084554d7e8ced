#include "Caller.h"

#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

namespace {

constexpr const char *Usage =
    R"(Test caller: sends calls, checks the answers and records the outcomes.

Usage:
  standin-caller (--host ADDRESS... | --direct ADDRESS) [options]

Options:
  --host ADDRESS      A host that is queried for the current addresses.
  --direct ADDRESS    A target that is called directly, without a host.
  --service NAME      The service to call [default: stock].
  --name TEXT         Prefix of all tokens; must differ between callers
                      [default: caller].
  --rate N            Calls per second in open loop; 0 selects closed loop
                      [default: 100].
  --outstanding N     Concurrent calls in closed loop; maximum of concurrent
                      calls in open loop [default: 1000].
  --count N           Maximum number of calls [default: 1000000].
  --seconds N         Time during which calls start [default: 10].
  --keyed SHARE       Share of non-idempotent calls [default: 0].
  --crash-every N     One call in N crashes its target; 0 for none [default: 0].
  --answer-bytes N    Minimum size of an answer [default: 0].
  --timeout-ms N      Deadline of each send [default: 2000].
  --seed N            Seed of the random number generator [default: 1].
  --book FILE         File for the call log; without it only counts are printed.
)";

} // namespace

int main(int Count, char **Arguments) {
  using namespace comfreyrill;
  auto Options = docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  const auto Text = [&](const char *Name) { return Options[Name].asString(); };
  standins::CallerSettings Settings;
  try {
    Settings.Service = Text("--service");
    Settings.Name = Text("--name");
    Settings.Rate = std::stod(Text("--rate"));
    Settings.Outstanding =
        static_cast<std::uint32_t>(std::stoul(Text("--outstanding")));
    Settings.Count = std::stoull(Text("--count"));
    Settings.Length = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::stod(Text("--seconds"))));
    Settings.KeyedShare = std::stod(Text("--keyed"));
    Settings.CrashEvery = std::stoull(Text("--crash-every"));
    Settings.AnswerBytes = std::stoull(Text("--answer-bytes"));
    Settings.Timeout =
        std::chrono::milliseconds(std::stoull(Text("--timeout-ms")));
    Settings.Seed = std::stoull(Text("--seed"));
  } catch (const std::logic_error &) {
    std::cerr << "an option has an invalid number; see --help\n";
    return 2;
  }
  std::vector<std::string> Hosts;
  if (Options["--host"].isStringList())
    Hosts = Options["--host"].asStringList();
  if (Options["--direct"].isString())
    Hosts.push_back(Options["--direct"].asString());
  for (const std::string &Host : Hosts) {
    const auto Parsed = parseEndpoint(Host);
    if (!Parsed) {
      std::cerr << Parsed.error().Message << "\n";
      return 2;
    }
    Settings.Hosts.push_back(Parsed.value());
  }
  if (Options["--direct"].isString())
    Settings.DirectTarget = Settings.Hosts.front();

  const bool KeepRows = Options["--book"].isString();
  standins::CallLog Log(KeepRows);
  asio::io_context Context(1);
  const SystemClock TimeSource;
  const auto Running = std::make_shared<standins::Caller>(
      Context.get_executor(), TimeSource, std::move(Settings), Log);
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &Code, int) {
    if (!Code)
      Running->stop();
  });
  asio::co_spawn(Context, Running->run(),
                 [&](const std::exception_ptr &) { Signals.cancel(); });
  Context.run();
  auto Json = Log.toJson(Running->elapsed());
  if (KeepRows)
    std::ofstream(Text("--book")) << boost::json::serialize(Json) << "\n";
  Json.erase("sends");
  Json.erase("columns");
  std::cout << boost::json::serialize(Json) << std::endl;
  return Log.sends(standins::SendOutcome::WrongAnswer) == 0 ? 0 : 1;
}
