#include "Replay.h"
#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

ReplayResult replayTrace(const Trace &Input, const PolicySpec &Spec) {
  Engine Running(Input, Spec);
  return Running.run();
}

double quantileMilliseconds(const ReplayResult &Result, double Quantile) {
  if (Result.AnswerTimes.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Quantile * static_cast<double>(Result.AnswerTimes.size()));
  return 1000 *
         Result.AnswerTimes[std::min(Index, Result.AnswerTimes.size() - 1)];
}

} // namespace comfreyrill::replay
