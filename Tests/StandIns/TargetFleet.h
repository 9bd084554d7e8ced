#pragma once

#include "Target.h"

namespace comfreyrill::standins {

/// The targets of one process, with a shared run log and control API.
class TargetFleet : public std::enable_shared_from_this<TargetFleet> {
public:
  TargetFleet(const Executor &Context, const Clock &TimeSource,
              std::uint64_t Seed);

  /// Starts a target; port 0 selects a free port.
  Result<void> add(const std::string &Id, const Endpoint &Requested,
                   const TargetBehaviour &Behaviour);
  Result<void> listenControl(const Endpoint &Requested);
  /// Returns {"control":...,"targets":[{"id","address","slots"}]}.
  boost::json::object describe() const;
  void close();

  const RunLog &log() const { return Log; }

private:
  HttpResponse handleControl(const HttpRequest &Request);
  Result<void> changeBehaviour(const boost::json::object &Settings);

  Executor Context;
  const Clock &TimeSource;
  Random Generator;
  RunLog Log;
  std::vector<std::shared_ptr<Target>> Targets;
  std::shared_ptr<HttpServer> ControlServer;
};

} // namespace comfreyrill::standins
