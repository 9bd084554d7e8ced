#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>

#include <string>

namespace comfreyrill {

/// Sends a request to a host's admin listener and returns the response body if
/// the status is below 300. Fails with NotFound for status 404, Unavailable for
/// 500 and above, Refused for other statuses, or with the error of the
/// exchange.
Awaitable<Result<std::string>> sendHostRequest(Endpoint Host, http::verb Verb,
                                               std::string Target,
                                               TimePoint Deadline);

} // namespace comfreyrill
