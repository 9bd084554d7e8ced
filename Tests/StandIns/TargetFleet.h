#pragma once

#include "Target.h"

namespace comfreyrill::standins {

/// The targets of one process with one run book and one control.
class TargetFleet : public std::enable_shared_from_this<TargetFleet> {
public:
  TargetFleet(const Executor &Context, const Clock &TimeSource,
              std::uint64_t Seed);

  /// Adds a target "PREFIXn"; port 0 takes a free port.
  Result<void> add(const std::string &Id, const Endpoint &Requested,
                   const TargetBehaviour &Behaviour);
  Result<void> listenControl(const Endpoint &Requested);
  /// {"control":...,"targets":[{"id","address","slots"}]}.
  boost::json::object describe() const;
  void close();

  const RunBook &book() const { return Book; }

private:
  HttpResponse handleControl(const HttpRequest &Request);
  Result<void> changeBehaviour(const boost::json::object &Settings);

  Executor Context;
  const Clock &TimeSource;
  Random Generator;
  RunBook Book;
  std::vector<std::shared_ptr<Target>> Targets;
  std::shared_ptr<HttpServer> ControlServer;
};

} // namespace comfreyrill::standins
