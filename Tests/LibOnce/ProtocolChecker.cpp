#include "ProtocolChecker.h"

#include <algorithm>
#include <functional>
#include <unordered_set>

namespace comfreyrill::testing {

namespace {

// Two hashes of 64 bits. With 10^7 states, the probability of a collision is
// below 10^-24, so that no new state is mistaken for an explored one.
struct Digest {
  std::uint64_t First = 0;
  std::uint64_t Second = 0;

  bool operator==(const Digest &) const = default;
};

struct DigestHash {
  std::size_t operator()(const Digest &Value) const { return Value.First; }
};

Digest digestOf(std::string Bytes) {
  Digest Value;
  Value.First = std::hash<std::string>{}(Bytes);
  Bytes += "second";
  Value.Second = std::hash<std::string>{}(Bytes);
  return Value;
}

struct SearchNode {
  std::size_t Parent = 0;
  Action ActionTaken;
};

struct FrontierEntry {
  SystemState Current;
  std::size_t Index = 0;
};

std::vector<std::string> traceTo(const ProtocolModel &Model,
                                 const std::vector<SearchNode> &Nodes,
                                 std::size_t Index) {
  std::vector<Action> Actions;
  for (; Index != 0; Index = Nodes[Index].Parent)
    Actions.push_back(Nodes[Index].ActionTaken);
  std::reverse(Actions.begin(), Actions.end());
  std::vector<std::string> Trace;
  SystemState Current = Model.initialState();
  for (const Action &ActionTaken : Actions) {
    Trace.push_back(Model.describe(Current, ActionTaken));
    Current = Model.apply(Current, ActionTaken);
  }
  return Trace;
}

bool isAnySet(const SystemState::PerRequest &Values) {
  return std::any_of(Values.begin(), Values.end(), [](const auto &Row) {
    return std::any_of(Row.begin(), Row.end(),
                       [](std::uint8_t Value) { return Value != 0; });
  });
}

} // namespace

CheckResult checkProtocol(const ModelParameters &Parameters,
                          std::size_t StatesMaximum) {
  ProtocolModel Model(Parameters);
  CheckResult Result;
  std::unordered_set<Digest, DigestHash> Seen;
  std::vector<SearchNode> Nodes{{}};
  std::vector<FrontierEntry> Level{{Model.initialState(), 0}};
  Seen.insert(digestOf(Model.serializeState(Level.front().Current)));
  while (!Level.empty()) {
    std::vector<FrontierEntry> NextLevel;
    for (const FrontierEntry &From : Level) {
      Result.ReportedAnswer += isAnySet(From.Current.ReportedAnswer) ? 1 : 0;
      Result.ReportedNotRun += isAnySet(From.Current.ReportedNotRun) ? 1 : 0;
      for (const Action &ActionTaken : Model.enabledActions(From.Current)) {
        SystemState Next = Model.apply(From.Current, ActionTaken);
        ++Result.Transitions;
        if (!Seen.insert(digestOf(Model.serializeState(Next))).second)
          continue;
        Nodes.push_back({From.Index, ActionTaken});
        Result.Violation = Model.violation(Next);
        Result.States = Nodes.size();
        if (!Result.Violation.empty()) {
          Result.Trace = traceTo(Model, Nodes, Nodes.size() - 1);
          return Result;
        }
        if (Result.States >= StatesMaximum)
          return Result;
        NextLevel.push_back({std::move(Next), Nodes.size() - 1});
      }
    }
    Level = std::move(NextLevel);
    ++Result.Depth;
  }
  Result.Exhausted = true;
  return Result;
}

std::string summary(const CheckResult &Result) {
  std::string Text =
      "states=" + std::to_string(Result.States) +
      " transitions=" + std::to_string(Result.Transitions) +
      " depth=" + std::to_string(Result.Depth) +
      " exhausted=" + (Result.Exhausted ? "yes" : "no") +
      " states_with_answer=" + std::to_string(Result.ReportedAnswer) +
      " states_with_not_run=" + std::to_string(Result.ReportedNotRun);
  if (!Result.Violation.empty())
    Text += "\nviolation: " + Result.Violation;
  for (const std::string &ActionTaken : Result.Trace)
    Text += "\n  " + ActionTaken;
  return Text;
}

} // namespace comfreyrill::testing
