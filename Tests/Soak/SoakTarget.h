#pragma once

#include "LoopbackProxy.h"
#include "SoakBook.h"

#include <LibHttp/HttpServer.h>

#include <boost/json.hpp>
#include <memory>
#include <string>

namespace comfreyrill::soak {

/// How a target answers requests that are not probes.
enum class TargetFault {
  None,
  /// Four times slower, and says so.
  Slow,
  /// Sheds every other request.
  Shed,
  /// Answers every other request without its signature.
  Unsigned,
  /// Runs each request and resets the connection in place of an answer.
  LoseAnswer,
};

/// A target of the users' platform behind a proxy, with a book of what reached
/// it.
class SoakTarget {
public:
  SoakTarget(const Executor &Context, const Clock &TimeSource,
             Random &Generator, SoakBook &Book, std::string Id,
             std::string Domain);
  ~SoakTarget();

  Result<void> start();
  const std::string &id() const { return Id; }
  /// What it registers in the store.
  boost::json::value registration(bool IsDraining) const;

  void inject(TargetFault NewFault) { Fault = NewFault; }
  LoopbackProxy &link() { return *Link; }
  /// Ends as by a crash.
  void crash() { Server->close(); }

private:
  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);
  HttpResponse answerProbe(const HttpRequest &Request) const;
  std::string load() const;

  Executor Context;
  const Clock &TimeSource;
  Random &Generator;
  SoakBook &Book;
  std::string Id;
  std::string Domain;
  std::shared_ptr<HttpServer> Server;
  std::shared_ptr<LoopbackProxy> Link;
  TargetFault Fault = TargetFault::None;
  std::uint32_t Running = 0;
  std::uint64_t Handled = 0;
};

/// The body that a target makes for a request.
std::string bodyFor(const std::string &Request);

} // namespace comfreyrill::soak
