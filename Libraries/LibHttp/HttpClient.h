#pragma once

#include <LibHttp/HttpConnection.h>

namespace comfreyrill {

/// Sends one request over a new connection that is not reused; meant for
/// infrequent requests.
Awaitable<Result<HttpResponse>> fetch(Endpoint Remote, HttpRequest Request,
                                      HttpLimits Limits, TimePoint Deadline);

} // namespace comfreyrill
