#pragma once

#include "CallRequest.h"

#include <LibHttp/ConnectionPool.h>
#include <LibRouting/Routing.h>

#include <memory>

namespace comfreyrill {

/// What became of a request that was sent to one target.
struct AttemptReport {
  AttemptEnd End = AttemptEnd::Failed;
  /// True when the target cannot have run the request.
  bool IsProvedNotRun = false;
  /// True when the target closed the connection after the request was sent,
  /// as one that crashed would.
  bool LooksLikeCrash = false;
  /// Set when the target answered in full.
  std::optional<HttpResponse> Answer;
  std::optional<LoadReport> Load;
  Error Cause{ErrorKind::Internal, ""};
};

/// Lets another coroutine end an attempt in progress.
struct AttemptHandle {
  std::shared_ptr<HttpConnection> Connection;
  bool IsCancelled = false;

  void cancel();
};

/// Sends one request to one target and waits for the whole answer.
Awaitable<AttemptReport> sendToTarget(ConnectionPool &Pool, Endpoint Target,
                                      const HttpRequest &Request,
                                      HttpLimits Limits, TimePoint Deadline,
                                      std::shared_ptr<AttemptHandle> Handle);

/// The request as the target receives it.
HttpRequest makeTargetRequest(HttpRequest Original, const CallRequest &Call,
                              const RequestId &Id);

/// Reads a Comfreyrill-Load field, "in_flight=3;slots=6;queued=0".
std::optional<LoadReport> parseLoadReport(std::string_view Text);

} // namespace comfreyrill
