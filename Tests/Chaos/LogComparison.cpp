#include "LogComparison.h"

#include <algorithm>
#include <unordered_map>

namespace comfreyrill::chaos {

namespace {

std::string text(const boost::json::array &Row, std::size_t Column) {
  return std::string(Row.at(Column).as_string());
}

using Index = std::unordered_multimap<std::string, const RunRow *>;

void addRun(Index &Runs, const std::string &Name, const RunRow &Row) {
  if (!Name.empty())
    Runs.emplace(Name, &Row);
}

// A non-idempotent operation uses the same token with all its keys, so a run
// with a key that was reported as not run is counted as well.
void findDoubleRuns(const std::vector<RunRow> &Runs, Findings &Found) {
  std::unordered_map<std::string, std::vector<const RunRow *>> ByToken;
  for (const RunRow &Row : Runs)
    if (!Row.Key.empty())
      ByToken[Row.Token.empty() ? Row.Key : Row.Token].push_back(&Row);
  for (const auto &[Token, Rows] : ByToken) {
    if (Rows.size() < 2)
      continue;
    ++Found.DoubleRuns;
    std::string Line = "double run: token=" + Token;
    for (const RunRow *Row : Rows)
      Line += " [" + Row->Target + " key=" + Row->Key +
              " request=" + Row->RequestId + "]";
    Found.Lines.push_back(std::move(Line));
  }
}

void findFalseNotRun(const std::vector<SendRow> &Sends,
                     const std::vector<RunRow> &Runs, Findings &Found) {
  Index ByKey;
  Index ByToken;
  Index ByRequest;
  for (const RunRow &Row : Runs) {
    addRun(ByKey, Row.Key, Row);
    addRun(ByToken, Row.Token, Row);
    addRun(ByRequest, Row.RequestId, Row);
  }
  for (const SendRow &Send : Sends) {
    if (Send.Outcome != "not_run")
      continue;
    const RunRow *Run = nullptr;
    // "Not run" of a keyed request covers only its key; another key of the same
    // operation may run later.
    if (!Send.Key.empty()) {
      if (const auto Position = ByKey.find(Send.Key); Position != ByKey.end())
        Run = Position->second;
    } else if (const auto Position = ByToken.find(Send.Token);
               !Send.Token.empty() && Position != ByToken.end()) {
      Run = Position->second;
    }
    if (Run == nullptr && !Send.RequestId.empty())
      if (const auto Position = ByRequest.find(Send.RequestId);
          Position != ByRequest.end())
        Run = Position->second;
    if (Run == nullptr)
      continue;
    ++Found.FalseNotRun;
    Found.Lines.push_back("false not-run: token=" + Send.Token +
                          " key=" + Send.Key + " host=" + Send.Host +
                          " reason=" + Send.Reason +
                          " request=" + Send.RequestId + " ran at " +
                          Run->Target + " as request=" + Run->RequestId);
  }
}

void classifyConnectionLosses(const std::vector<SendRow> &Sends,
                              const std::vector<HostLifetime> &Lifetimes,
                              Findings &Found) {
  for (const SendRow &Send : Sends) {
    if (Send.Outcome != "broken" && Send.Outcome != "timed_out")
      continue;
    bool IsDisturbed = false;
    bool IsPlanned = false;
    for (const HostLifetime &Lifetime : Lifetimes) {
      const bool Overlaps = Lifetime.CallerAddress == Send.Host &&
                            Send.SentMs <= Lifetime.EndedMs &&
                            Send.EndedMs >= Lifetime.StartedMs;
      if (!Overlaps)
        continue;
      IsDisturbed = IsDisturbed || Lifetime.WasKilledOrFrozen;
      IsPlanned = IsPlanned || (Lifetime.StopStartedMs > 0 &&
                                Send.EndedMs >= Lifetime.StopStartedMs);
    }
    if (IsDisturbed)
      continue;
    ++(IsPlanned ? Found.InterruptedCalls : Found.UnexplainedConnectionLosses);
    Found.Lines.push_back(
        std::string(IsPlanned ? "cut call" : "unexplained break") +
        ": token=" + Send.Token + " key=" + Send.Key + " host=" + Send.Host +
        " outcome=" + Send.Outcome + " reason=" + Send.Reason +
        " sent_ms=" + std::to_string(Send.SentMs) +
        " ended_ms=" + std::to_string(Send.EndedMs));
  }
}

void countCrashes(const std::vector<RunRow> &Runs, Findings &Found) {
  std::unordered_map<std::string, std::uint64_t> Crashes;
  for (const RunRow &Row : Runs)
    if (Row.Token.ends_with("-crash"))
      Found.MaximumCrashesPerRequest =
          std::max(Found.MaximumCrashesPerRequest, ++Crashes[Row.Token]);
}

} // namespace

std::vector<RunRow> readRuns(const boost::json::object &RunLog) {
  std::vector<RunRow> Runs;
  for (const auto &Entry : RunLog.at("runs").as_array()) {
    const auto &Row = Entry.as_array();
    Runs.push_back({text(Row, 0), text(Row, 1), text(Row, 2), text(Row, 3)});
  }
  return Runs;
}

std::vector<SendRow> readSends(const boost::json::object &CallLog) {
  std::vector<SendRow> Sends;
  for (const auto &Entry : CallLog.at("sends").as_array()) {
    const auto &Row = Entry.as_array();
    Sends.push_back({text(Row, 0), text(Row, 1), text(Row, 2), text(Row, 3),
                     text(Row, 4), text(Row, 5), Row.at(6).to_number<double>(),
                     Row.at(7).to_number<double>()});
  }
  return Sends;
}

Findings compareLogs(const std::vector<SendRow> &Sends,
                     const std::vector<RunRow> &Runs,
                     const std::vector<HostLifetime> &Lifetimes) {
  Findings Found;
  findDoubleRuns(Runs, Found);
  findFalseNotRun(Sends, Runs, Found);
  classifyConnectionLosses(Sends, Lifetimes, Found);
  countCrashes(Runs, Found);
  return Found;
}

} // namespace comfreyrill::chaos
