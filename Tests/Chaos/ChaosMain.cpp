#include "Faults.h"

#include <csignal>
#include <docopt/docopt.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace comfreyrill;
using namespace comfreyrill::chaos;

constexpr const char *Usage =
    R"(Runs real processes under random faults and compares the logs of callers
and targets.

Usage:
  chaos-driver --build DIRECTORY --work DIRECTORY [options]

Options:
  --build DIRECTORY  Build directory.
  --work DIRECTORY   Empty directory for settings, process outputs and call
                     logs.
  --seed N           Seed of faults and calls [default: 1].
  --seconds N        Time during which calls start [default: 60].
  --hosts N          Number of entry hosts, at least 4 [default: 4].
  --rate N           Calls per second of all callers together [default: 400].
  --inject FAULT     Violation that the driver must detect; double-run repeats a
                     run at a target.
)";

/// Time without faults at the end of the calls; hosts must converge on the
/// newest manifest within it.
constexpr Duration SettleTime = std::chrono::seconds(6);

struct CallerTotals {
  std::uint64_t Calls = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Unknown = 0;
  std::vector<SendRow> Sends;
};

CallerTotals readCallLogs(ChaosRun &Current,
                          const std::vector<std::string> &Paths) {
  CallerTotals All;
  for (const std::string &Path : Paths) {
    std::stringstream Text;
    Text << std::ifstream(Path).rdbuf();
    boost::json::error_code Code;
    const auto Value = boost::json::parse(Text.str(), Code);
    if (Code || !Value.is_object()) {
      Current.Violations.push_back("cannot read the call log " + Path);
      continue;
    }
    const auto &Log = Value.as_object();
    const auto Count = [&](const char *Group, const char *Kind) {
      return Log.at(Group).as_object().at(Kind).to_number<std::uint64_t>();
    };
    All.Calls += Log.at("calls").to_number<std::uint64_t>();
    All.Wrong += Count("send_outcomes", "wrong_answer");
    for (const char *Kind : {"unknown", "broken", "timed_out"})
      All.Unknown += Count("call_outcomes", Kind);
    const auto Rows = readSends(Log);
    All.Sends.insert(All.Sends.end(), Rows.begin(), Rows.end());
  }
  return All;
}

Awaitable<boost::json::object> readRunLog(ChaosRun &Current, Fleet &Processes) {
  const auto Response = co_await sendRequest(Current, Processes.targetControl(),
                                             http::verb::get, "/control/runs");
  boost::json::object Log;
  if (Response)
    Log = boost::json::parse(Response.value().body()).as_object();
  else
    Current.Violations.push_back("cannot read the run log: " +
                                 Response.error().Message);
  co_return Log;
}

// Sends a request that has already run to a target again, as a host would that
// ignores its outcome records.
Awaitable<void> injectDoubleRun(ChaosRun &Current, Fleet &Processes) {
  const auto Log = co_await readRunLog(Current, Processes);
  for (const RunRow &Row : readRuns(Log)) {
    if (Row.Key.empty() || Row.Token.ends_with("-crash"))
      continue;
    const auto Target = parseEndpoint(std::string(
        Processes.targets()[0].as_object().at("address").as_string()));
    HttpRequest Request(http::verb::post, "/checkout?token=" + Row.Token, 11);
    Request.set("Idempotency-Key", Row.Key);
    const auto Sent =
        co_await fetch(Target.value(), std::move(Request), {},
                       Current.TimeSource.now() + std::chrono::seconds(2));
    std::cout << (Sent ? "injected: second run of " : "cannot inject a run of ")
              << Row.Token << "\n";
    co_return;
  }
}

// Prints the number of sends without an answer by outcome and reason.
void printReasons(const std::vector<SendRow> &Sends) {
  std::map<std::string, std::uint64_t> Counts;
  for (const SendRow &Row : Sends)
    if (Row.Outcome != "answer")
      ++Counts[Row.Outcome + " " + Row.Reason.substr(0, Row.Reason.find(' '))];
  std::cout << "sends without an answer:";
  for (const auto &[Name, Count] : Counts)
    std::cout << " " << Name << "=" << Count << ";";
  std::cout << "\n";
}

void checkManifests(ChaosRun &Current, Fleet &Processes) {
  for (const Host &Checked : Processes.hosts())
    if (Current.LatestManifestNumbers[Checked.Name] < Current.HighestAccepted)
      Current.Violations.push_back(
          "manifest: " + Checked.Name + " shows " +
          std::to_string(Current.LatestManifestNumbers[Checked.Name]) +
          " and not " + std::to_string(Current.HighestAccepted) +
          " after the settle time");
}

Awaitable<bool> waitUntilReady(ChaosRun &Current, Fleet &Processes) {
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    co_await sleepFor(Current, std::chrono::milliseconds(100));
    if (Current.LatestManifestNumbers.size() == Processes.hosts().size())
      co_return true;
  }
  Current.Violations.emplace_back("not all hosts became ready within 10 s");
  co_return false;
}

Awaitable<void> runScenario(ChaosRun &Current, Fleet &Processes,
                            Duration Length, bool InjectDoubleRun,
                            boost::json::object &RunLog) {
  for (Host &Watched : Processes.hosts())
    asio::co_spawn(Current.Context, monitorHost(Current, Watched),
                   asio::detached);
  if (co_await waitUntilReady(Current, Processes)) {
    Processes.startCallers();
    Current.FaultsUntil = Current.TimeSource.now() + Length - SettleTime;
    for (const char *Name : {"first", "second", "third"})
      asio::co_spawn(Current.Context, runOperator(Current, Processes, Name),
                     asio::detached);
    asio::co_spawn(Current.Context, replaceHosts(Current, Processes),
                   asio::detached);
    asio::co_spawn(Current.Context, injectFaults(Current, Processes),
                   asio::detached);
    const TimePoint Limit =
        Current.TimeSource.now() + Length + std::chrono::seconds(30);
    while (Processes.callersRunning() && Current.TimeSource.now() < Limit) {
      co_await sleepFor(Current, std::chrono::milliseconds(50));
      Processes.reap();
    }
    if (Processes.callersRunning())
      Current.Violations.emplace_back("a caller did not end in time");
    checkManifests(Current, Processes);
    if (InjectDoubleRun)
      co_await injectDoubleRun(Current, Processes);
    RunLog = co_await readRunLog(Current, Processes);
  }
  Current.Done = true;
  Current.Context.stop();
}

int reportResults(ChaosRun &Current, Fleet &Processes,
                  const boost::json::object &RunLog) {
  if (RunLog.empty()) {
    for (const std::string &Line : Current.Violations)
      std::cout << Line << "\n";
    std::cout << "chaos: no calls were made\n";
    return 1;
  }
  const CallerTotals All = readCallLogs(Current, Processes.callerLogs());
  const auto Runs = readRuns(RunLog);
  const Findings Found = compareLogs(All.Sends, Runs, Processes.lifetimes());
  auto &Lines = Current.Violations;
  Lines.insert(Lines.end(), Found.Lines.begin(), Found.Lines.end());
  Lines.insert(Lines.end(), Processes.unexpectedEnds().begin(),
               Processes.unexpectedEnds().end());
  if (All.Calls == 0)
    Lines.emplace_back("no caller sent a call");
  if (All.Wrong > 0)
    Lines.push_back(std::to_string(All.Wrong) +
                    " wrong answers; see the call logs");
  for (const std::string &Line : Lines)
    std::cout << "violation: " << Line << "\n";
  printReasons(All.Sends);
  std::cout << "runs = " << Runs.size()
            << "; host processes = " << Processes.lifetimes().size()
            << "; manifests applied = " << Current.Applied
            << "; conflicts = " << Current.Conflicts
            << "; recognised after a lost answer = "
            << Current.ConfirmedAfterLostResponse
            << "; most runs of one crashing request = "
            << Found.MaximumCrashesPerRequest
            << "; unexplained breaks = " << Found.UnexplainedConnectionLosses
            << "\n"
            << "chaos: calls = " << All.Calls
            << "; double runs = " << Found.DoubleRuns
            << "; false not-run = " << Found.FalseNotRun
            << "; wrong answers = " << All.Wrong
            << "; cut calls = " << Found.InterruptedCalls
            << "; reversions = " << Current.Reversions
            << "; unknown = " << All.Unknown << std::endl;
  return Lines.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  FleetSettings Settings;
  Settings.Build = Options["--build"].asString();
  Settings.Work = Options["--work"].asString();
  Settings.Hosts = static_cast<std::uint32_t>(Options["--hosts"].asLong());
  Settings.Seed = static_cast<std::uint64_t>(Options["--seed"].asLong());
  Settings.Seconds = std::stod(Options["--seconds"].asString());
  Settings.Rate = std::stod(Options["--rate"].asString());
  const bool Inject = Options["--inject"].isString();
  if (Inject && Options["--inject"].asString() != "double-run") {
    std::cerr << "--inject accepts only double-run\n";
    return 2;
  }
  std::filesystem::create_directories(Settings.Work);
  const auto Length = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Settings.Seconds));

  const std::string Work = Settings.Work;
  ChaosRun Current;
  Current.Generator.seed(Settings.Seed);
  Fleet Processes(std::move(Settings));
  if (const auto Started = Processes.start(); !Started) {
    std::cerr << Started.error().Message << "\n";
    return 1;
  }
  // An interrupted driver stops its loop instead of exiting, so that it still
  // ends the child processes.
  asio::signal_set Signals(Current.Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Current.Violations.emplace_back("interrupted");
    Current.Context.stop();
  });
  boost::json::object RunLog;
  asio::co_spawn(Current.Context,
                 runScenario(Current, Processes, Length, Inject, RunLog),
                 [&](const std::exception_ptr &Failure) {
                   if (Failure)
                     Current.Violations.emplace_back("the driver failed");
                   Current.Context.stop();
                 });
  Current.Context.run();
  std::ofstream(Work + "/runs.json") << boost::json::serialize(RunLog) << "\n";
  const int Verdict = reportResults(Current, Processes, RunLog);
  Processes.end();
  return Verdict;
}
