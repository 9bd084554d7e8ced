#include <LibGateway/SelectionExplanation.h>

#include <LibGateway/PauseWait.h>

#include <algorithm>
#include <map>

namespace comfreyrill {

namespace {

// With 220 targets of the same cost and three probes, a target stays out of all
// simulations with a probability of 3%. One simulation takes some microseconds.
constexpr int SimulationCount = 256;

/// Result of one simulated selection.
struct Simulation {
  AdmissionDecision Decision = AdmissionDecision::Refuse;
  std::vector<std::size_t> ProbedFirst;
  std::optional<std::size_t> Selected;
  /// The decision once the time for the search is up, for a request that
  /// repeats its selection.
  AdmissionDecision LastDecision = AdmissionDecision::Refuse;
};

class Simulator {
public:
  Simulator(const SelectionInput &Input, TimePoint Now)
      : Input(Input), Now(Now),
        Costs(probeCosts(Input.Candidates, Input.Factors)) {
    for (std::size_t Index = 0; Index < Input.Candidates.size(); ++Index)
      Expected.push_back(expectedProbe(Index));
  }

  Simulation run(Random &Generator) const {
    Simulation Result;
    std::vector<std::size_t> Found;
    std::vector<ProbedCandidate> Probed;
    std::optional<std::size_t> Best;
    ProbeTokenBucket Tokens = Input.ProbeTokens;
    for (const ProbeDemand &Demand : ProbesByRound) {
      const auto More = probe(Found, Demand, Tokens, Generator);
      if (Found.empty())
        Result.ProbedFirst = More;
      for (const std::size_t Index : More) {
        Found.push_back(Index);
        Probed.push_back(Expected[Index]);
      }
      Best = selectTarget(Probed, Input.Factors);
      if (Best && isGoodEnough(Probed[*Best]))
        break;
    }
    if (!Best)
      return Result;
    Result.Selected = Found[*Best];
    Result.Decision = admit(Probed[*Best], Duration::zero());
    Result.LastDecision = admit(Probed[*Best], searchTime());
    return Result;
  }

  Duration searchTime() const {
    return maximumSearchTime(Input.LatencyObjective,
                             searchPriority(Input.Waiting,
                                            Input.Searching.Account,
                                            Input.Searching.Priority));
  }

private:
  ProbedCandidate expectedProbe(std::size_t Index) const {
    const TargetCandidate &Candidate = Input.Candidates[Index];
    LoadReport Load;
    Load.Slots = Input.Slots[Index];
    if (Candidate.LastLoad && Candidate.LoadAge <= KnownLoadAgeMaximum)
      Load = *Candidate.LastLoad;
    return {Candidate, Load, true};
  }

  std::vector<std::size_t> probe(const std::vector<std::size_t> &Found,
                                 const ProbeDemand &Demand,
                                 ProbeTokenBucket &Tokens,
                                 Random &Generator) const {
    std::vector<std::size_t> Left;
    std::vector<ProbeCost> LeftCosts;
    for (std::size_t Index = 0; Index < Costs.size(); ++Index)
      if (std::find(Found.begin(), Found.end(), Index) == Found.end()) {
        Left.push_back(Index);
        LeftCosts.push_back(Costs[Index]);
      }
    std::size_t Allowed = Found.empty() ? 1 : 0;
    if (Input.IsProbed)
      Allowed = acquireProbeTokens(Tokens, Input.ProbePolicy,
                                   limitDemand(Demand, Left.size()), Now);
    std::vector<std::size_t> Chosen;
    for (const std::size_t Index : rankProbes(LeftCosts, Allowed, Generator))
      Chosen.push_back(Left[Index]);
    return Chosen;
  }

  AdmissionDecision admit(const ProbedCandidate &Best, Duration Waited) const {
    AdmissionInput Made;
    Made.ExpectedTime = std::chrono::duration_cast<Duration>(
        Input.Searching.ExpectedTime * expectedLatencyFactor(Best));
    Made.HasFreeSlot = hasFreeSlot(Best.Load);
    Made.Waited = Waited;
    Made.LatencyObjective = Input.LatencyObjective;
    Made.TimeLeft = Input.Searching.Deadline - Now - Waited;
    Made.Priority = searchPriority(Input.Waiting, Input.Searching.Account,
                                   Input.Searching.Priority);
    return decideAdmission(Made);
  }

  const SelectionInput &Input;
  TimePoint Now;
  std::vector<ProbeCost> Costs;
  std::vector<ProbedCandidate> Expected;
};

/// Counts of the results of the simulations.
struct Tally {
  std::map<AdmissionDecision, int> Decisions;
  std::map<std::size_t, int> ProbedFirst;
  std::map<std::size_t, int> Selected;
  int LastDispatches = 0;
};

Tally simulate(const Simulator &Simulated, Random &Generator) {
  Tally Counted;
  for (int Number = 0; Number < SimulationCount; ++Number) {
    const Simulation Result = Simulated.run(Generator);
    ++Counted.Decisions[Result.Decision];
    for (const std::size_t Index : Result.ProbedFirst)
      ++Counted.ProbedFirst[Index];
    if (Result.Selected)
      ++Counted.Selected[*Result.Selected];
    Counted.LastDispatches +=
        Result.LastDecision == AdmissionDecision::Dispatch ? 1 : 0;
  }
  return Counted;
}

std::vector<TargetShare> shares(const std::map<std::size_t, int> &Counts,
                                const std::vector<TargetCandidate> &Targets) {
  std::vector<TargetShare> Made;
  for (const auto &[Index, Count] : Counts)
    Made.push_back(
        {Targets[Index].Id, static_cast<double>(Count) / SimulationCount});
  std::stable_sort(Made.begin(), Made.end(),
                   [](const TargetShare &One, const TargetShare &Other) {
                     return One.Share > Other.Share;
                   });
  return Made;
}

RefusalDecision refusal(SelectionInput &Input, RefusalCause Cause,
                        TimePoint Now, Random &Generator) {
  RefusalInput Made;
  Made.Cause = Cause;
  Made.HasCandidates = Input.HasServiceCandidates;
  Made.UntilPauseEnd = Input.UntilPauseEnd;
  Made.UntilColdRoom = Input.UntilColdRoom;
  Made.UntilLimitRoom = Input.UntilLimitRoom;
  Made.ExpectedTime = Input.Searching.ExpectedTime;
  Made.TimeLeft = Input.Searching.Deadline - Now;
  return decideRefusal(Made, Input.Returns, Now, Generator);
}

SelectionExplanation refuse(SelectionInput &Input, RefusalCause Cause,
                            TimePoint Now, Random &Generator) {
  SelectionExplanation Result;
  Result.Refusal = refusal(Input, Cause, Now, Generator);
  Result.Reason = refusalCauseName(Result.Refusal->Cause);
  return Result;
}

/// Explains a request for which all targets that it could use are paused.
SelectionExplanation explainPause(SelectionInput &Input, TimePoint Now,
                                  Random &Generator) {
  PauseWaitInput Wait;
  Wait.UntilPauseEnd = *Input.UntilPauseEnd;
  Wait.ExpectedTime = Input.Searching.ExpectedTime;
  Wait.LatencyObjective = Input.LatencyObjective;
  Wait.TimeLeft = Input.Searching.Deadline - Now;
  const auto HeldFor = pauseWait(Wait, Generator);
  if (!HeldFor)
    return refuse(Input, RefusalCause::Paused, Now, Generator);
  SelectionExplanation Result;
  Result.Result = ExplainedResult::Hold;
  Result.Reason = "paused";
  Result.HeldFor = HeldFor;
  return Result;
}

/// Fills in the result that most simulations have.
void decideResult(SelectionExplanation &Result, const Tally &Counted,
                  const Simulator &Simulated, SelectionInput &Input,
                  TimePoint Now, Random &Generator) {
  const auto Usual =
      std::max_element(Counted.Decisions.begin(), Counted.Decisions.end(),
                       [](const auto &One, const auto &Other) {
                         return One.second < Other.second;
                       });
  Result.Likelihood = static_cast<double>(Usual->second) / SimulationCount;
  if (Usual->first == AdmissionDecision::Dispatch) {
    Result.Result = ExplainedResult::Send;
    Result.Reason = "free_slot";
    return;
  }
  if (Usual->first == AdmissionDecision::Refuse) {
    Result.Refusal = refusal(Input, RefusalCause::Overloaded, Now, Generator);
    Result.Reason = refusalCauseName(Result.Refusal->Cause);
    return;
  }
  Result.Result = ExplainedResult::Hold;
  Result.Reason = "no_free_slot";
  Result.HeldFor = Simulated.searchTime();
  if (2 * Counted.LastDispatches < SimulationCount)
    Result.Refusal = refusal(Input, RefusalCause::Overloaded,
                             Now + *Result.HeldFor, Generator);
}

} // namespace

// The order of the steps is that of a real request (RequestExecution).
SelectionExplanation explainSelection(SelectionInput Input, Random &Generator,
                                      TimePoint Now) {
  if (Input.Drain &&
      !endsWithinDrain(*Input.Drain,
                       {Input.Searching.Deadline, Input.Searching.ExpectedTime},
                       Now))
    return refuse(Input, RefusalCause::Draining, Now, Generator);
  const std::uint64_t Id = joinOrder(Input.Waiting, Input.Searching);
  const RoundDecision Turn = decideRound(Input.Waiting, Id, Now);
  if (Input.Candidates.empty() && Turn.Turn == RoundTurn::TakePart)
    return Input.UntilPauseEnd
               ? explainPause(Input, Now, Generator)
               : refuse(Input, RefusalCause::NoTarget, Now, Generator);
  const Simulator Simulated(Input, Now);
  const Tally Counted = simulate(Simulated, Generator);
  SelectionExplanation Result;
  Result.ProbedFirst = shares(Counted.ProbedFirst, Input.Candidates);
  Result.Selected = shares(Counted.Selected, Input.Candidates);
  if (Turn.Turn == RoundTurn::Wait) {
    Result.Result = ExplainedResult::Hold;
    Result.Reason = "others_first";
    Result.HeldFor = Simulated.searchTime();
    return Result;
  }
  decideResult(Result, Counted, Simulated, Input, Now, Generator);
  return Result;
}

} // namespace comfreyrill
