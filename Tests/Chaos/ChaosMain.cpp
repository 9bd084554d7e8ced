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
    R"(Runs real processes under a seeded mix of faults and compares the books.

Usage:
  chaos-driver --build DIRECTORY --work DIRECTORY [options]

Options:
  --build DIRECTORY  The built tree.
  --work DIRECTORY   An empty directory for settings, outputs and books.
  --seed N           Seed of faults and calls [default: 1].
  --seconds N        Time of calls [default: 60].
  --hosts N          Entry hosts, at least 4 [default: 4].
  --rate N           Calls a second of all callers [default: 400].
  --inject FAULT     Trial of the check: double-run repeats a run at its target.
)";

/// Calm at the end of the calls, in which hosts must agree on the manifest.
constexpr Duration CalmTime = std::chrono::seconds(6);

struct Totals {
  std::uint64_t Calls = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Unknown = 0;
  std::vector<SendRow> Sends;
};

Totals readBooks(Run &Current, const std::vector<std::string> &Paths) {
  Totals All;
  for (const std::string &Path : Paths) {
    std::stringstream Text;
    Text << std::ifstream(Path).rdbuf();
    boost::json::error_code Code;
    const auto Value = boost::json::parse(Text.str(), Code);
    if (Code || !Value.is_object()) {
      Current.Violations.push_back("no book of a caller at " + Path);
      continue;
    }
    const auto &Book = Value.as_object();
    const auto Count = [&](const char *Group, const char *Kind) {
      return Book.at(Group).as_object().at(Kind).to_number<std::uint64_t>();
    };
    All.Calls += Book.at("calls").to_number<std::uint64_t>();
    All.Wrong += Count("send_outcomes", "wrong_answer");
    for (const char *Kind : {"unknown", "broken", "timed_out"})
      All.Unknown += Count("call_outcomes", Kind);
    const auto Rows = readSends(Book);
    All.Sends.insert(All.Sends.end(), Rows.begin(), Rows.end());
  }
  return All;
}

Awaitable<boost::json::object> readRunBook(Run &Current, Fleet &Processes) {
  const auto Response = co_await ask(Current, Processes.targetControl(),
                                     http::verb::get, "/control/runs");
  boost::json::object Book;
  if (Response)
    Book = boost::json::parse(Response.value().body()).as_object();
  else
    Current.Violations.push_back("no run book: " + Response.error().Message);
  co_return Book;
}

// Sends a request that has run once more to a target, as a host would that
// ignores its records.
Awaitable<void> injectDoubleRun(Run &Current, Fleet &Processes) {
  const auto Book = co_await readRunBook(Current, Processes);
  for (const RunRow &Row : readRuns(Book)) {
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

// Tells which reasons stand behind the outcomes that are no answers.
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

void checkManifests(Run &Current, Fleet &Processes) {
  for (const Host &Checked : Processes.hosts())
    if (Current.ShownNow[Checked.Name] < Current.HighestAccepted)
      Current.Violations.push_back(
          "manifest: " + Checked.Name + " shows " +
          std::to_string(Current.ShownNow[Checked.Name]) + " and not " +
          std::to_string(Current.HighestAccepted) + " after the calm");
}

Awaitable<bool> waitUntilReady(Run &Current, Fleet &Processes) {
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    co_await pause(Current, std::chrono::milliseconds(100));
    if (Current.ShownNow.size() == Processes.hosts().size())
      co_return true;
  }
  Current.Violations.emplace_back("not all hosts became ready within 10 s");
  co_return false;
}

Awaitable<void> drive(Run &Current, Fleet &Processes, Duration Length,
                      bool InjectDoubleRun, boost::json::object &RunBook) {
  for (Host &Watched : Processes.hosts())
    asio::co_spawn(Current.Context, watchHost(Current, Watched),
                   asio::detached);
  if (co_await waitUntilReady(Current, Processes)) {
    Processes.startCallers();
    Current.FaultsUntil = Current.TimeSource.now() + Length - CalmTime;
    for (const char *Name : {"first", "second", "third"})
      asio::co_spawn(Current.Context, operate(Current, Processes, Name),
                     asio::detached);
    asio::co_spawn(Current.Context, replaceHosts(Current, Processes),
                   asio::detached);
    asio::co_spawn(Current.Context, causeFaults(Current, Processes),
                   asio::detached);
    const TimePoint Limit =
        Current.TimeSource.now() + Length + std::chrono::seconds(30);
    while (Processes.callersRunning() && Current.TimeSource.now() < Limit) {
      co_await pause(Current, std::chrono::milliseconds(50));
      Processes.reap();
    }
    if (Processes.callersRunning())
      Current.Violations.emplace_back("a caller did not end in time");
    checkManifests(Current, Processes);
    if (InjectDoubleRun)
      co_await injectDoubleRun(Current, Processes);
    RunBook = co_await readRunBook(Current, Processes);
  }
  Current.Done = true;
  Current.Context.stop();
}

int judge(Run &Current, Fleet &Processes, const boost::json::object &RunBook) {
  if (RunBook.empty()) {
    for (const std::string &Line : Current.Violations)
      std::cout << Line << "\n";
    std::cout << "chaos: no calls were made\n";
    return 1;
  }
  const Totals All = readBooks(Current, Processes.callerBooks());
  const auto Runs = readRuns(RunBook);
  const Findings Found = compareBooks(All.Sends, Runs, Processes.lives());
  auto &Lines = Current.Violations;
  Lines.insert(Lines.end(), Found.Lines.begin(), Found.Lines.end());
  Lines.insert(Lines.end(), Processes.unexpectedEnds().begin(),
               Processes.unexpectedEnds().end());
  if (All.Calls == 0)
    Lines.emplace_back("no caller sent a call");
  if (All.Wrong > 0)
    Lines.push_back(std::to_string(All.Wrong) +
                    " wrong answers; see the books");
  for (const std::string &Line : Lines)
    std::cout << "violation: " << Line << "\n";
  printReasons(All.Sends);
  std::cout << "runs = " << Runs.size()
            << "; host processes = " << Processes.lives().size()
            << "; manifests applied = " << Current.Applied
            << "; conflicts = " << Current.Conflicts
            << "; recognised after a lost answer = "
            << Current.RecognisedAfterLoss
            << "; most runs of one crashing request = " << Found.MostCrashes
            << "; unexplained breaks = " << Found.UnexplainedBreaks << "\n"
            << "chaos: calls = " << All.Calls
            << "; double runs = " << Found.DoubleRuns
            << "; false not-run = " << Found.FalseNotRun
            << "; wrong answers = " << All.Wrong
            << "; cut calls = " << Found.CutCalls
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
    std::cerr << "--inject knows double-run only\n";
    return 2;
  }
  std::filesystem::create_directories(Settings.Work);
  const auto Length = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Settings.Seconds));

  const std::string Work = Settings.Work;
  Run Current;
  Current.Generator.seed(Settings.Seed);
  Fleet Processes(std::move(Settings));
  if (const auto Started = Processes.start(); !Started) {
    std::cerr << Started.error().Message << "\n";
    return 1;
  }
  // The children end with the driver, also when it is interrupted.
  asio::signal_set Signals(Current.Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Current.Violations.emplace_back("interrupted");
    Current.Context.stop();
  });
  boost::json::object RunBook;
  asio::co_spawn(Current.Context,
                 drive(Current, Processes, Length, Inject, RunBook),
                 [&](const std::exception_ptr &Failure) {
                   if (Failure)
                     Current.Violations.emplace_back("the driver failed");
                   Current.Context.stop();
                 });
  Current.Context.run();
  std::ofstream(Work + "/runs.json") << boost::json::serialize(RunBook) << "\n";
  const int Verdict = judge(Current, Processes, RunBook);
  Processes.end();
  return Verdict;
}
