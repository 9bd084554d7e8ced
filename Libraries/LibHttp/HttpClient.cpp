#include <LibHttp/HttpClient.h>

namespace comfreyrill {

Awaitable<Result<HttpResponse>> fetch(Endpoint Remote, HttpRequest Request,
                                      HttpLimits Limits, TimePoint Deadline) {
  const Executor Context = co_await asio::this_coro::executor;
  auto Connection = std::make_shared<HttpConnection>(Context);
  Request.set(http::field::host, formatEndpoint(Remote));
  Request.prepare_payload();
  CO_TRY(co_await Connection->connect(std::move(Remote), Deadline));
  auto Response = co_await Connection->exchange(Request, Limits, Deadline);
  if (!Response)
    co_return std::move(Response.error().Cause);
  co_return std::move(Response.value());
}

} // namespace comfreyrill
