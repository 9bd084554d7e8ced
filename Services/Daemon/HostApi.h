#pragma once

#include "CallService.h"

#include <LibMembership/Addresses.h>

namespace comfreyrill {

/// HTTP interface for callers: host addresses, idempotency keys and calls.
class HostApi {
public:
  HostApi(const DaemonDependencies &Dependencies, CallService &Calls,
          KeyedCalls &Keys, const MemberTable &Members);

  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> CallerLeft);

private:
  HttpResponse addresses(std::string_view Path);
  HttpResponse keys(std::string_view Path);
  Result<std::shared_ptr<ServiceRuntime>> findService(std::string_view Path);

  DaemonDependencies Dependencies;
  CallService &Calls;
  KeyedCalls &Keys;
  const MemberTable &Members;
};

/// Returns the response to a request that could not be parsed.
HttpResponse invalidRequestResponse(http::status Status, const Error &Cause);

} // namespace comfreyrill
