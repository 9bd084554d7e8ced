#pragma once

#include <LibHttp/HttpConnection.h>

namespace comfreyrill {

/// One exchange over a connection of its own, for calls that are rare.
Awaitable<Result<HttpResponse>> fetch(Endpoint Remote, HttpRequest Request,
                                      HttpLimits Limits, TimePoint Deadline);

} // namespace comfreyrill
