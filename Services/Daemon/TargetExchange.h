#pragma once

#include "CallRequest.h"

#include <LibHttp/ConnectionPool.h>
#include <LibRouting/Routing.h>

#include <functional>
#include <memory>

namespace comfreyrill {

/// Result of one attempt to send a request to a target.
struct AttemptReport {
  AttemptEnd End = AttemptEnd::Failed;
  /// True when the target cannot have run the request.
  bool IsProvedNotRun = false;
  /// True when the connection was lost after the request was sent, or the
  /// status of the answer indicates that the target crashed.
  bool LooksLikeCrash = false;
  /// Set when the target sent a complete answer and did not shed the request.
  std::optional<HttpResponse> Answer;
  std::optional<LoadReport> Load;
  /// The answer, whatever its status, says that the target drains.
  bool SaysDraining = false;
  /// The answer says that the target has shed the request. It may have broken
  /// off, and then proves nothing.
  bool SaysShed = false;
  /// Set when an answer with status 503 has a usable Retry-After.
  std::optional<Duration> RetryAfter;
  Error Cause{ErrorKind::Internal, ""};
};

/// Lets another coroutine cancel an attempt in progress.
struct AttemptHandle {
  std::shared_ptr<HttpConnection> Connection;
  bool IsCancelled = false;

  void cancel();
};

/// Sends one request to one target and waits for the complete answer. MayBegin
/// is asked once the connection is open; if it returns false, nothing is sent
/// and the attempt is withdrawn.
Awaitable<AttemptReport> sendToTarget(ConnectionPool &Pool, Endpoint Target,
                                      const HttpRequest &Request,
                                      HttpLimits Limits, TimePoint Deadline,
                                      std::shared_ptr<AttemptHandle> Handle,
                                      std::function<bool()> MayBegin);

/// Returns the request to send to the target: without hop-by-hop headers, with
/// the path, the request id and the nesting depth of the call.
HttpRequest makeTargetRequest(HttpRequest Original, const CallRequest &Call,
                              const RequestId &Id);

/// Parses a Comfreyrill-Load header, for example
/// "in_flight=3;slots=6;queued=0". Returns nothing when the header is malformed
/// or has no in_flight.
std::optional<LoadReport> parseLoadReport(std::string_view Text);

} // namespace comfreyrill
