#include "ProtocolChecker.h"

#include <algorithm>
#include <functional>
#include <unordered_set>

namespace comfreyrill::testing {

namespace {

// Two hashes of 64 bits: among 10^7 states a collision has a probability below
// 10^-24, so that no state is taken for one that was seen.
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

struct Reached {
  std::size_t Parent = 0;
  Action Taken;
};

struct Frontier {
  World Current;
  std::size_t Index = 0;
};

std::vector<std::string> traceTo(const ProtocolModel &Model,
                                 const std::vector<Reached> &Path,
                                 std::size_t Index) {
  std::vector<Action> Actions;
  for (; Index != 0; Index = Path[Index].Parent)
    Actions.push_back(Path[Index].Taken);
  std::reverse(Actions.begin(), Actions.end());
  std::vector<std::string> Trace;
  World Current = Model.initial();
  for (const Action &Taken : Actions) {
    Trace.push_back(Model.describe(Current, Taken));
    Current = Model.apply(Current, Taken);
  }
  return Trace;
}

bool isAnySet(const World::PerRequest &Values) {
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
  std::vector<Reached> Path{{}};
  std::vector<Frontier> Level{{Model.initial(), 0}};
  Seen.insert(digestOf(Model.digestInput(Level.front().Current)));
  while (!Level.empty()) {
    std::vector<Frontier> NextLevel;
    for (const Frontier &From : Level) {
      Result.ToldAnswer += isAnySet(From.Current.ToldAnswer) ? 1 : 0;
      Result.ToldNotRun += isAnySet(From.Current.ToldNotRun) ? 1 : 0;
      for (const Action &Taken : Model.enabled(From.Current)) {
        World Next = Model.apply(From.Current, Taken);
        ++Result.Transitions;
        if (!Seen.insert(digestOf(Model.digestInput(Next))).second)
          continue;
        Path.push_back({From.Index, Taken});
        Result.Violation = Model.violation(Next);
        Result.States = Path.size();
        if (!Result.Violation.empty()) {
          Result.Trace = traceTo(Model, Path, Path.size() - 1);
          return Result;
        }
        if (Result.States >= StatesMaximum)
          return Result;
        NextLevel.push_back({std::move(Next), Path.size() - 1});
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
      " states_with_answer=" + std::to_string(Result.ToldAnswer) +
      " states_with_not_run=" + std::to_string(Result.ToldNotRun);
  if (!Result.Violation.empty())
    Text += "\nviolation: " + Result.Violation;
  for (const std::string &Taken : Result.Trace)
    Text += "\n  " + Taken;
  return Text;
}

} // namespace comfreyrill::testing
