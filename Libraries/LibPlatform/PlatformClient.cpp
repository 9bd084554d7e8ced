#include <LibPlatform/PlatformClient.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// Below the idle time of usual servers, so that they do not close first.
constexpr Duration IdleTime = std::chrono::seconds(20);

// The platform stores at most 1 MB; a larger answer is no value of it.
constexpr std::uint64_t MaximumValueBytes = 1'000'000;

HttpLimits answerLimits() {
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
      Generator(Generator), Pool(Context, TimeSource, IdleTime) {}

Awaitable<Result<StoredObject>> PlatformClient::read(std::string Key,
                                                     TimePoint Deadline) {
  const std::string Target = "/objects/" + Key;
  for (std::uint32_t Failures = 1;; ++Failures) {
    auto Round = co_await readRound(Target, Counts.Reads,
                                    Settings.AttemptTimeout, Deadline);
    if (Round) {
      if (Round.value())
        co_return std::move(*Round.value());
      co_return Error{ErrorKind::InvalidInput,
                      "the platform answered 'not changed' to a plain read; "
                      "check the platform's address"};
    }
    if (!isTransient(Round.error().Kind) || IsClosed)
      co_return Round.error();
    const TimePoint Next =
        TimeSource.now() + retryDelay(Failures, Settings.Backoff, Generator);
    if (Next >= Deadline)
      co_return Round.error();
    Timer Pause(Context);
    Pause.expires_at(Next);
    co_await Pause.async_wait(UseTuple);
  }
}

Awaitable<Result<std::optional<StoredObject>>>
PlatformClient::watch(std::string Key, ObjectVersion After, Duration Wait) {
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  const std::string Target = "/objects/" + Key +
                             "?watch=" + std::to_string(After.Value) +
                             "&timeout_ms=" + std::to_string(WaitMs);
  auto Round = co_await readRound(
      Target, Counts.Watches, Wait + Settings.AttemptTimeout, TimePoint::max());
  // A platform that answers at once with what is known already would turn the
  // caller's loop into a stream of calls.
  if (Round && Round.value() && Round.value()->Version.Value <= After.Value)
    co_return Error{ErrorKind::InvalidInput,
                    "the platform answered a watch with version " +
                        std::to_string(Round.value()->Version.Value) +
                        ", which is not newer; watch from the version that a "
                        "plain read returns"};
  co_return Round;
}

Awaitable<PlatformClient::ReadResult>
PlatformClient::readRound(std::string Target, std::uint64_t &Counter,
                          Duration AttemptTime, TimePoint Deadline) {
  ReadResult Last = Error{ErrorKind::Unavailable, "no platform endpoint is "
                                                  "set; name at least one"};
  for (std::size_t Tried = 0; Tried < Settings.Endpoints.size(); ++Tried) {
    if (IsClosed || TimeSource.now() >= Deadline)
      break;
    const Endpoint Remote = Settings.Endpoints[Preferred];
    const TimePoint AttemptEnd =
        std::min(Deadline, TimeSource.now() + AttemptTime);
    Last = co_await readOnce(Remote, Target, Counter, AttemptEnd);
    if (Last || Last.error().Kind == ErrorKind::NotFound)
      co_return Last;
    ++Counts.Failures;
    useNextEndpoint();
  }
  if (isTransient(Last.error().Kind))
    co_return unavailable(Last.error());
  co_return Last;
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
  Active.insert(Connection);
  auto Response =
      co_await Connection->exchange(Request, answerLimits(), Deadline);
  Active.erase(Connection);
  if (!Response)
    co_return Response.error().Cause;
  Pool.release(Remote, Connection);
  co_return interpretRead(std::move(Response.value()));
}

Awaitable<UpdateResult> PlatformClient::update(std::string Key,
                                               std::string Value,
                                               ObjectVersion BasedOn,
                                               TimePoint Deadline) {
  UpdateResult Last{UpdateOutcome::Unavailable,
                    {},
                    Error{ErrorKind::Unavailable,
                          "no platform endpoint is set; name at least one"}};
  for (std::size_t Tried = 0; Tried < Settings.Endpoints.size(); ++Tried) {
    if (IsClosed || TimeSource.now() >= Deadline)
      break;
    const Endpoint Remote = Settings.Endpoints[Preferred];
    HttpRequest Request =
        makeRequest(http::verb::put, "/objects/" + Key, Remote);
    if (BasedOn.Value == 0)
      Request.set(http::field::if_none_match, "*");
    else
      Request.set(http::field::if_match, formatVersionTag(BasedOn));
    Request.body() = Value;
    Request.prepare_payload();
    Last = co_await updateOnce(
        Remote, std::move(Request),
        std::min(Deadline, TimeSource.now() + Settings.AttemptTimeout));
    if (Last.Outcome == UpdateOutcome::Stored ||
        Last.Outcome == UpdateOutcome::Conflict)
      co_return Last;
    ++Counts.Failures;
    useNextEndpoint();
    if (Last.Outcome == UpdateOutcome::Unknown ||
        Last.Cause->Kind == ErrorKind::TooLarge)
      co_return Last;
  }
  Last.Cause = unavailable(*Last.Cause);
  co_return Last;
}

// Each update has a connection of its own: a pooled one that the platform has
// just closed would turn an update that never arrived into an unknown outcome.
Awaitable<UpdateResult> PlatformClient::updateOnce(Endpoint Remote,
                                                   HttpRequest Request,
                                                   TimePoint Deadline) {
  const auto Connection = std::make_shared<HttpConnection>(Context);
  const auto Connected = co_await Connection->connect(Remote, Deadline);
  if (!Connected)
    co_return UpdateResult{UpdateOutcome::Unavailable, {}, Connected.error()};
  ++Counts.Updates;
  Active.insert(Connection);
  const auto Response =
      co_await Connection->exchange(Request, answerLimits(), Deadline);
  Active.erase(Connection);
  if (Response)
    co_return interpretUpdate(Response.value());
  const bool IsUntouched =
      Response.error().Progress == WriteProgress::NothingWritten;
  co_return UpdateResult{IsUntouched ? UpdateOutcome::Unavailable
                                     : UpdateOutcome::Unknown,
                         {},
                         Response.error().Cause};
}

void PlatformClient::useNextEndpoint() {
  Preferred = (Preferred + 1) % Settings.Endpoints.size();
}

Error PlatformClient::unavailable(const Error &Cause) const {
  std::string Names;
  for (const Endpoint &Remote : Settings.Endpoints)
    Names += (Names.empty() ? "" : ", ") + formatEndpoint(Remote);
  return {ErrorKind::Unavailable,
          "the platform (" + Names + ") does not answer: " + Cause.Message};
}

void PlatformClient::close() {
  IsClosed = true;
  const auto Connections = Active;
  for (const auto &Connection : Connections)
    Connection->cancel();
}

} // namespace comfreyrill
