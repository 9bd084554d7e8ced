#include "Replay.h"
#include "Engine.h"

#include <algorithm>

namespace comfreyrill::replay {

Outcome replayTrace(const Trace &Input, const PolicySpec &Spec) {
  Engine Running(Input, Spec);
  return Running.run();
}

double quantileMilliseconds(const Outcome &Result, double Share) {
  if (Result.Times.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Share * static_cast<double>(Result.Times.size()));
  return 1000 * Result.Times[std::min(Index, Result.Times.size() - 1)];
}

} // namespace comfreyrill::replay
