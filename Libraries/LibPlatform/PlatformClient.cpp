#include <LibPlatform/PlatformClient.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Shorter than the idle timeout of common servers, so that the client closes
// idle connections first.
constexpr Duration IdleTimeout = std::chrono::seconds(20);

// The platform stores at most 1 MB; a larger response is not a stored value.
constexpr std::uint64_t MaximumValueBytes = 1'000'000;

HttpLimits responseLimits() {
  HttpLimits Limits;
  Limits.BodyBytes = MaximumValueBytes;
  return Limits;
}

HttpRequest makeRequest(http::verb Verb, const std::string &Target,
                        const Endpoint &Remote) {
  HttpRequest Request(Verb, Target, 11);
  Request.set(http::field::host, formatEndpoint(Remote));
  return Request;
}

bool isTransient(ErrorKind Kind) {
  return Kind != ErrorKind::InvalidInput && Kind != ErrorKind::TooLarge &&
         Kind != ErrorKind::NotFound;
}

} // namespace

PlatformClient::PlatformClient(const Executor &Context, const Clock &TimeSource,
                               PlatformSettings Settings, Random Generator)
    : Context(Context), TimeSource(TimeSource), Settings(std::move(Settings)),
      Generator(Generator), Pool(Context, TimeSource, IdleTimeout) {}

Awaitable<Result<StoredObject>> PlatformClient::read(std::string Key,
                                                     TimePoint Deadline) {
  const std::string Target = "/objects/" + Key;
  for (std::uint32_t Failures = 1;; ++Failures) {
    auto Answer = co_await readFromAnyEndpoint(
        Target, Counts.Reads, Settings.AttemptTimeout, Deadline);
    if (Answer) {
      if (Answer.value())
        co_return std::move(*Answer.value());
      co_return Error{ErrorKind::InvalidInput,
                      "the platform responded 'not modified' to an "
                      "unconditional read; check the platform's address"};
    }
    if (!isTransient(Answer.error().Kind) || IsClosed)
      co_return Answer.error();
    const TimePoint NextAttempt =
        TimeSource.now() + retryDelay(Failures, Settings.Backoff, Generator);
    if (NextAttempt >= Deadline)
      co_return Answer.error();
    Timer RetryTimer(Context);
    RetryTimer.expires_at(NextAttempt);
    co_await RetryTimer.async_wait(UseTuple);
  }
}

Awaitable<Result<std::optional<StoredObject>>>
PlatformClient::watch(std::string Key, ObjectVersion After, Duration Wait) {
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  const std::string Target = "/objects/" + Key +
                             "?watch=" + std::to_string(After.Value) +
                             "&timeout_ms=" + std::to_string(WaitMs);
  auto Answer = co_await readFromAnyEndpoint(
      Target, Counts.Watches, Wait + Settings.AttemptTimeout, TimePoint::max());
  // A platform that immediately returns a version that the caller already has
  // would turn the watch loop of the caller into a busy loop.
  if (Answer && Answer.value() && Answer.value()->Version.Value <= After.Value)
    co_return Error{ErrorKind::InvalidInput,
                    "the platform responded to a watch with version " +
                        std::to_string(Answer.value()->Version.Value) +
                        ", which is not newer; watch from the version that a "
                        "plain read returns"};
  co_return Answer;
}

Awaitable<PlatformClient::ReadResult>
PlatformClient::readFromAnyEndpoint(std::string Target, std::uint64_t &Counter,
                                    Duration AttemptDuration,
                                    TimePoint Deadline) {
  ReadResult LastResult =
      Error{ErrorKind::Unavailable, "no platform endpoint is "
                                    "set; name at least one"};
  for (std::size_t Attempts = 0; Attempts < Settings.Endpoints.size();
       ++Attempts) {
    if (IsClosed || TimeSource.now() >= Deadline)
      break;
    const Endpoint Remote = Settings.Endpoints[PreferredEndpoint];
    const TimePoint AttemptDeadline =
        std::min(Deadline, TimeSource.now() + AttemptDuration);
    LastResult = co_await readOnce(Remote, Target, Counter, AttemptDeadline);
    if (LastResult || LastResult.error().Kind == ErrorKind::NotFound)
      co_return LastResult;
    ++Counts.Failures;
    useNextEndpoint();
  }
  if (isTransient(LastResult.error().Kind))
    co_return unavailable(LastResult.error());
  co_return LastResult;
}

Awaitable<PlatformClient::ReadResult>
PlatformClient::readOnce(Endpoint Remote, std::string Target,
                         std::uint64_t &Counter, TimePoint Deadline) {
  auto Acquired = co_await Pool.acquire(Remote, Deadline);
  if (!Acquired)
    co_return Acquired.error();
  const auto Connection = std::move(Acquired.value());
  const HttpRequest Request = makeRequest(http::verb::get, Target, Remote);
  ++Counter;
  ActiveConnections.insert(Connection);
  auto Response =
      co_await Connection->exchange(Request, responseLimits(), Deadline);
  ActiveConnections.erase(Connection);
  if (!Response)
    co_return Response.error().Cause;
  Pool.release(Remote, Connection);
  co_return interpretRead(std::move(Response.value()));
}

Awaitable<UpdateResult> PlatformClient::update(std::string Key,
                                               std::string Value,
                                               ObjectVersion BasedOn,
                                               TimePoint Deadline) {
  UpdateResult LastResult{
      UpdateOutcome::Unavailable,
      {},
      Error{ErrorKind::Unavailable,
            "no platform endpoint is set; name at least one"}};
  for (std::size_t Attempts = 0; Attempts < Settings.Endpoints.size();
       ++Attempts) {
    if (IsClosed || TimeSource.now() >= Deadline)
      break;
    const Endpoint Remote = Settings.Endpoints[PreferredEndpoint];
    HttpRequest Request =
        makeRequest(http::verb::put, "/objects/" + Key, Remote);
    if (BasedOn.Value == 0)
      Request.set(http::field::if_none_match, "*");
    else
      Request.set(http::field::if_match, formatVersionTag(BasedOn));
    Request.body() = Value;
    Request.prepare_payload();
    LastResult = co_await updateOnce(
        Remote, std::move(Request),
        std::min(Deadline, TimeSource.now() + Settings.AttemptTimeout));
    if (LastResult.Outcome == UpdateOutcome::Stored ||
        LastResult.Outcome == UpdateOutcome::Conflict)
      co_return LastResult;
    ++Counts.Failures;
    useNextEndpoint();
    if (LastResult.Outcome == UpdateOutcome::Unknown ||
        LastResult.Cause->Kind == ErrorKind::TooLarge)
      co_return LastResult;
  }
  LastResult.Cause = unavailable(*LastResult.Cause);
  co_return LastResult;
}

// Each update uses a new connection. On a pooled connection that the platform
// has just closed, an update that was never received would have an unknown
// outcome.
Awaitable<UpdateResult> PlatformClient::updateOnce(Endpoint Remote,
                                                   HttpRequest Request,
                                                   TimePoint Deadline) {
  const auto Connection = std::make_shared<HttpConnection>(Context);
  const auto Connected = co_await Connection->connect(Remote, Deadline);
  if (!Connected)
    co_return UpdateResult{UpdateOutcome::Unavailable, {}, Connected.error()};
  ++Counts.Updates;
  ActiveConnections.insert(Connection);
  const auto Response =
      co_await Connection->exchange(Request, responseLimits(), Deadline);
  ActiveConnections.erase(Connection);
  if (Response)
    co_return interpretUpdate(Response.value());
  const bool IsNotSent =
      Response.error().Progress == WriteProgress::NothingWritten;
  co_return UpdateResult{IsNotSent ? UpdateOutcome::Unavailable
                                   : UpdateOutcome::Unknown,
                         {},
                         Response.error().Cause};
}

void PlatformClient::useNextEndpoint() {
  PreferredEndpoint = (PreferredEndpoint + 1) % Settings.Endpoints.size();
}

Error PlatformClient::unavailable(const Error &Cause) const {
  std::string EndpointNames;
  for (const Endpoint &Remote : Settings.Endpoints)
    EndpointNames +=
        (EndpointNames.empty() ? "" : ", ") + formatEndpoint(Remote);
  return {ErrorKind::Unavailable, "the platform (" + EndpointNames +
                                      ") is unavailable: " + Cause.Message};
}

void PlatformClient::close() {
  IsClosed = true;
  const auto Connections = ActiveConnections;
  for (const auto &Connection : Connections)
    Connection->cancel();
}

} // namespace comfreyrill
