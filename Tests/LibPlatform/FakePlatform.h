#pragma once

#include <LibHttp/HttpServer.h>
#include <LibPlatform/PlatformAnswer.h>

#include <deque>
#include <map>

namespace comfreyrill {

/// Behaviour of the fake platform for one call.
enum class FakeBehaviour {
  Normal,
  Refuse,
  /// Executes the request, but never responds.
  LoseAnswer,
  /// Never responds and does not execute the request.
  Ignore,
  BadVersion,
  TooLarge,
  /// Responds to a watch immediately with the version that the client has.
  AnswerWatchImmediately,
};

/// Fake server of the object API on a free port, with injectable faults.
class FakePlatform {
public:
  explicit FakePlatform(const Executor &Context)
      : Server(std::make_shared<HttpServer>(
            Context, TimeSource, HttpLimits{},
            [this](HttpRequest Request,
                   std::shared_ptr<Disconnect> ClientDisconnect) {
              return handle(std::move(Request), std::move(ClientDisconnect));
            },
            [](http::status Status, const Error &) {
              return HttpResponse(Status, 11);
            })) {
    Server->listen({"127.0.0.1", 0}).value();
  }

  Endpoint endpoint() const { return Server->localEndpoint(); }
  void close() { Server->close(); }

  std::map<std::string, StoredObject> Objects;
  /// Behaviours of the next calls; Default applies to later calls.
  std::deque<FakeBehaviour> Next;
  FakeBehaviour Default = FakeBehaviour::Normal;
  /// Called before each call is executed, for example to simulate a concurrent
  /// change by another operator.
  std::function<void()> BeforeCall;
  std::size_t Calls = 0;

private:
  Awaitable<HttpResponse> handle(HttpRequest Request,
                                 std::shared_ptr<Disconnect> ClientDisconnect) {
    ++Calls;
    if (BeforeCall)
      BeforeCall();
    FakeBehaviour Behaviour = Default;
    if (!Next.empty()) {
      Behaviour = Next.front();
      Next.pop_front();
    }
    HttpResponse Response(http::status::service_unavailable, 11);
    if (Behaviour != FakeBehaviour::Refuse &&
        Behaviour != FakeBehaviour::Ignore)
      Response = executeRequest(Request, Behaviour);
    const bool IsWatch = std::string_view(Request.target()).find("watch=") !=
                             std::string_view::npos &&
                         Response.result() == http::status::not_modified;
    if (Behaviour == FakeBehaviour::LoseAnswer ||
        Behaviour == FakeBehaviour::Ignore || (IsWatch && HoldsWatches)) {
      Timer NeverExpiring(co_await asio::this_coro::executor);
      NeverExpiring.expires_at(TimePoint::max());
      ClientDisconnect->onOccurrence([&] { NeverExpiring.cancel(); });
      co_await NeverExpiring.async_wait(UseTuple);
    }
    if (Behaviour == FakeBehaviour::BadVersion)
      Response.set(http::field::etag, "\"x\"");
    if (Behaviour == FakeBehaviour::TooLarge)
      Response.body().assign(1'000'001, ' ');
    Response.prepare_payload();
    co_return Response;
  }

  HttpResponse executeRequest(const HttpRequest &Request,
                              FakeBehaviour Behaviour) {
    const std::string Target(Request.target());
    const std::string Key = Target.substr(9, Target.find('?') - 9);
    const std::size_t Watch = Target.find("watch=");
    StoredObject &Object = Objects[Key];
    HttpResponse Response(http::status::ok, 11);
    if (Request.method() == http::verb::put) {
      const std::string Current = formatVersionTag(Object.Version);
      const bool Matches = Request[http::field::if_match] == Current ||
                           (Request[http::field::if_none_match] == "*" &&
                            Object.Version.Value == 0);
      if (Matches)
        Object = {ObjectVersion{Object.Version.Value + 1}, Request.body()};
      else
        Response.result(http::status::precondition_failed);
    } else if (Object.Version.Value == 0) {
      Response.result(http::status::not_found);
    } else if (Watch != std::string::npos &&
               Behaviour != FakeBehaviour::AnswerWatchImmediately &&
               Object.Version.Value <= std::stoull(Target.substr(Watch + 6))) {
      Response.result(http::status::not_modified);
    } else {
      Response.body() = Object.Value;
    }
    if (Object.Version.Value > 0)
      Response.set(http::field::etag, formatVersionTag(Object.Version));
    return Response;
  }

  SystemClock TimeSource;

public:
  /// Holds a watch of an unchanged object until its client disconnects, instead
  /// of responding immediately.
  bool HoldsWatches = false;

private:
  std::shared_ptr<HttpServer> Server;
};

/// Runs a coroutine to completion and returns its value.
template <typename T> T runToEnd(asio::io_context &Context, Awaitable<T> Task) {
  std::optional<T> ReturnValue;
  asio::co_spawn(
      Context,
      [&, Task = std::move(Task)]() mutable -> Awaitable<void> {
        ReturnValue.emplace(co_await std::move(Task));
      },
      asio::detached);
  Context.restart();
  while (!ReturnValue && Context.run_one() > 0) {
  }
  return std::move(*ReturnValue);
}

} // namespace comfreyrill
