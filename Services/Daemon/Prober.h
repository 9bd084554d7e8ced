#pragma once

#include "CallExecution.h"

namespace comfreyrill {

/// Asks targets for their load within the measurement budget.
class Prober {
public:
  explicit Prober(const ExecutionContext &Environment);

  /// Starts a probe when the budget allows one and something is worth asking.
  void probeIfDue(const std::shared_ptr<ServiceRuntime> &Runtime);

private:
  Awaitable<void> probe(std::shared_ptr<ServiceRuntime> Runtime,
                        TargetIndex Index, TargetConfig Target);

  ExecutionContext Environment;
};

/// Reads the answer to GET /load. Fails with InvalidInput.
Result<LoadReport> parseLoadAnswer(std::string_view Text);

} // namespace comfreyrill
