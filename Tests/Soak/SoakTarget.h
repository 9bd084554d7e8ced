#pragma once

#include "LoopbackProxy.h"
#include "SoakRecords.h"

#include <LibHttp/HttpServer.h>

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>

namespace comfreyrill::soak {

/// Fault that a target injects into requests other than probes.
enum class TargetFault {
  None,
  /// Requests take four times as long, and the load report says so.
  Slow,
  /// Sheds every other request.
  Shed,
  /// Responds to every other request without the signature header.
  Unsigned,
  /// Runs each request, then resets the connection instead of responding.
  LoseAnswer,
};

/// A test target of the platform behind a proxy. The target records the
/// requests that it receives.
class SoakTarget {
public:
  SoakTarget(const Executor &Context, const Clock &TimeSource,
             Random &Generator, SoakRecords &Records, TargetProcess Process,
             std::string Domain);
  ~SoakTarget();

  /// Starts the server behind a link of its own, or behind the one of an
  /// earlier process.
  Result<void> start(std::shared_ptr<LoopbackProxy> Existing = nullptr);
  const std::string &id() const { return Process.Id; }
  const TargetProcess &process() const { return Process; }
  const std::string &domain() const { return Domain; }
  /// Returns the registration of the target for the store.
  boost::json::value registration() const;
  /// From now on all answers say that the target leaves, and probes find it
  /// unhealthy.
  void leave() { IsLeaving = true; }
  /// From now on the registration says that the target drains.
  void drain() { IsDraining = true; }

  void inject(TargetFault NewFault) { Fault = NewFault; }
  /// Refuses requests, and probes if so told, each with the time for which its
  /// host shall send none. Zero ends the pause.
  void pause(std::chrono::seconds NewRetryAfter, bool ProbesToo = false) {
    RetryAfter = NewRetryAfter;
    RefusesProbes = ProbesToo;
  }
  /// Names a limit on the requests per second in all answers; 0 ends it.
  void limit(double RequestsPerSecond) { RequestLimit = RequestsPerSecond; }
  bool isLimited() const { return RequestLimit > 0; }
  bool isPaused() const { return RetryAfter > RetryAfter.zero(); }
  const std::shared_ptr<LoopbackProxy> &link() const { return Link; }
  /// Simulates a crash by closing the server.
  void crash();
  bool hasCrashed() const { return HasCrashed; }

private:
  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);
  HttpResponse answerProbe(const HttpRequest &Request);
  /// Sets the headers that say who answers and whether the target leaves.
  void identify(HttpResponse &Answer) const;
  std::string load() const;
  void observeLink();
  /// Returns the number of the connection on which a request has arrived.
  std::size_t takeConnection(const std::string &Request);

  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  SoakRecords &Records;
  TargetProcess Process;
  std::string Domain;
  std::shared_ptr<HttpServer> Server;
  std::shared_ptr<LoopbackProxy> Link;
  TargetFault Fault = TargetFault::None;
  bool IsLeaving = false;
  bool IsDraining = false;
  std::chrono::seconds RetryAfter{0};
  bool RefusesProbes = false;
  double RequestLimit = 0;
  std::map<std::string, std::size_t> ConnectionsByRequest;
  bool HasCrashed = false;
  std::uint32_t Running = 0;
  std::uint64_t Handled = 0;
};

/// Returns the process that sent an answer, or nothing when no target did.
std::optional<TargetProcess> responderOf(const HttpResponse &Answer);

/// Returns the response body that targets generate for a request.
std::string responseBody(const std::string &Request);

} // namespace comfreyrill::soak
