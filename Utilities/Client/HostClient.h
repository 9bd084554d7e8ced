#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Result.h>
#include <LibHttp/HttpClient.h>

#include <string>

namespace comfreyrill {

/// One call to a host's admin listener; yields the body of a status below 300.
/// Fails with NotFound, Unavailable or the kinds of a failed exchange.
Awaitable<Result<std::string>> callHost(Endpoint Host, http::verb Verb,
                                        std::string Target, TimePoint Deadline);

} // namespace comfreyrill
