#include "Platform.h"

namespace comfreyrill::standins {

namespace {

constexpr std::string_view ObjectsPrefix = "/objects/";
constexpr std::string_view ControlPrefix = "/control/";
constexpr std::uint64_t MaximumWatchMs = 60'000;

HttpResponse objectResponse(const ObjectVersion &Object) {
  HttpResponse Response = textResponse(http::status::ok, Object.Value);
  Response.set(http::field::etag, entityTag(Object.Version));
  Response.set(http::field::content_type, "application/json");
  return Response;
}

HttpResponse unavailableResponse() {
  return errorResponse(
      http::status::service_unavailable,
      Error{ErrorKind::Unavailable, "the platform is unavailable; try later"});
}

} // namespace

struct Platform::Watcher {
  Watcher(const Executor &Context, std::string Key)
      : Wake(Context), Key(std::move(Key)) {}
  Timer Wake;
  std::string Key;
};

Result<PlatformFaults> parseFaults(const boost::json::object &Object) {
  PlatformFaults Faults;
  std::string Outage = "none";
  TRY(readMember(Object, "outage", Outage));
  if (Outage == "refuse")
    Faults.Outage = OutageKind::Refuse;
  else if (Outage == "unavailable")
    Faults.Outage = OutageKind::Unavailable;
  else if (Outage != "none")
    return Error{ErrorKind::InvalidInput,
                 "member 'outage' must be none, refuse or unavailable"};
  TRY(readMilliseconds(Object, "delay_ms", Faults.Delay));
  TRY(readMember(Object, "lose_answers", Faults.DroppedResponses));
  TRY(readMember(Object, "stale_versions", Faults.StaleVersions));
  TRY(readMilliseconds(Object, "length_ms", Faults.Length));
  return Faults;
}

Platform::Platform(const Executor &Context, const Clock &TimeSource)
    : Context(Context), TimeSource(TimeSource), FaultsTimer(Context) {}

Result<void> Platform::listen(const Endpoint &Objects,
                              const Endpoint &Control) {
  ObjectsAddress = Objects;
  TRY(openObjects());
  ControlServer = std::make_shared<HttpServer>(
      Context, TimeSource, HttpLimits{},
      [this](HttpRequest Request,
             std::shared_ptr<Disconnect>) -> Awaitable<HttpResponse> {
        const RequestTarget Target = splitTarget(Request.target());
        co_return handleControl(Request, Target);
      },
      errorResponse);
  return ControlServer->listen(Control);
}

Result<void> Platform::openObjects() {
  HttpLimits Limits;
  // A watch may last longer than the default idle timeout.
  Limits.IdleTime = std::chrono::minutes(5);
  ObjectsServer = std::make_shared<HttpServer>(
      Context, TimeSource, Limits,
      [this](HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
        return handle(std::move(Request), std::move(CallerLeft));
      },
      errorResponse);
  TRY(ObjectsServer->listen(ObjectsAddress));
  ObjectsAddress = ObjectsServer->localEndpoint();
  return outcome::success();
}

void Platform::closeObjects() {
  if (!ObjectsServer)
    return;
  ObjectsServer->close();
  ObjectsServer.reset();
  for (const auto &Current : Watchers)
    Current->Wake.cancel();
}

void Platform::close() {
  FaultsTimer.cancel();
  closeObjects();
  if (ControlServer)
    ControlServer->close();
}

Awaitable<HttpResponse>
Platform::handle(HttpRequest Request, std::shared_ptr<Disconnect> CallerLeft) {
  const RequestTarget Target = splitTarget(Request.target());
  if (Target.Path.starts_with(ControlPrefix))
    co_return handleControl(Request, Target);
  if (!Target.Path.starts_with(ObjectsPrefix) ||
      Target.Path.size() == ObjectsPrefix.size())
    co_return errorResponse(
        http::status::not_found,
        Error{ErrorKind::NotFound, "unknown path; objects are at /objects/"});
  if (Faults.Outage == OutageKind::Unavailable) {
    ++Counts.Unavailable;
    co_return unavailableResponse();
  }
  if (Faults.Delay > Duration::zero()) {
    Timer Pause(Context);
    Pause.expires_after(Faults.Delay);
    co_await Pause.async_wait(UseTuple);
  }
  co_return co_await handleObject(std::move(Request), std::move(CallerLeft),
                                  Target);
}

Awaitable<HttpResponse>
Platform::handleObject(HttpRequest Request,
                       std::shared_ptr<Disconnect> CallerLeft,
                       RequestTarget Target) {
  const std::string Key = Target.Path.substr(ObjectsPrefix.size());
  ++CallsByKey[Key];
  if (Request.method() == http::verb::put)
    co_return update(Key, Request);
  if (Request.method() != http::verb::get)
    co_return errorResponse(
        http::status::method_not_allowed,
        Error{ErrorKind::InvalidInput, "objects accept GET and PUT only"});
  if (Target.Parameters.contains("watch"))
    co_return co_await watch(Key, std::move(Target), std::move(CallerLeft));
  co_return read(Key);
}

HttpResponse Platform::read(const std::string &Key) {
  ++Counts.Reads;
  const ObjectVersion *Found = Store.findStale(Key, Faults.StaleVersions);
  if (Found == nullptr)
    return errorResponse(http::status::not_found,
                         Error{ErrorKind::NotFound, "unknown object " + Key});
  return objectResponse(*Found);
}

HttpResponse Platform::update(const std::string &Key,
                              const HttpRequest &Request) {
  ++Counts.Updates;
  UpdateCondition Condition;
  Condition.MustBeAbsent = Request[http::field::if_none_match] == "*";
  Condition.IfVersion = parseEntityTag(Request[http::field::if_match]);
  // An unconditional update could overwrite a version that its sender has not
  // read.
  if (!Condition.MustBeAbsent && !Condition.IfVersion)
    return errorResponse(http::status::precondition_required,
                         Error{ErrorKind::InvalidInput,
                               "set If-Match: \"N\" or If-None-Match: *"});
  const UpdateResult Result = Store.update(Key, Request.body(), Condition);
  if (Result.Accepted)
    notifyWatchers(Key);
  else
    ++Counts.Conflicts;
  HttpResponse Response = textResponse(
      Result.Accepted ? http::status::ok : http::status::precondition_failed,
      "");
  if (Result.Version > 0)
    Response.set(http::field::etag, entityTag(Result.Version));
  if (Faults.DroppedResponses > 0) {
    --Faults.DroppedResponses;
    // LibHttp can close a connection without a response only by closing the
    // whole server, so clients observe a restart of the object API.
    closeObjects();
    if (const auto Opened = openObjects(); !Opened)
      ObjectsServer.reset();
  }
  return Response;
}

Awaitable<HttpResponse>
Platform::watch(std::string Key, RequestTarget Target,
                std::shared_ptr<Disconnect> CallerLeft) {
  ++Counts.Watches;
  const std::uint64_t Known = Target.number("watch", 0);
  const auto Server = ObjectsServer;
  const auto IsNewer = [this, Key, Known] {
    const ObjectVersion *Found = Store.find(Key);
    return Found != nullptr && Found->Version > Known;
  };
  const auto Self = std::make_shared<Watcher>(Context, Key);
  const TimePoint Expiry =
      TimeSource.now() +
      std::chrono::milliseconds(
          std::min(Target.number("timeout_ms", 10'000), MaximumWatchMs));
  Watchers.insert(Self);
  CallerLeft->onOccurrence([Self] { Self->Wake.cancel(); });
  while (!IsNewer() && !CallerLeft->hasOccurred() && Server == ObjectsServer &&
         TimeSource.now() < Expiry) {
    Self->Wake.expires_at(Expiry);
    co_await Self->Wake.async_wait(UseTuple);
  }
  CallerLeft->onOccurrence(nullptr);
  Watchers.erase(Self);
  if (Faults.Outage != OutageKind::None)
    co_return unavailableResponse();
  if (IsNewer())
    co_return objectResponse(*Store.find(Key));
  HttpResponse Response = textResponse(http::status::not_modified, "");
  if (const ObjectVersion *Found = Store.find(Key))
    Response.set(http::field::etag, entityTag(Found->Version));
  co_return Response;
}

void Platform::notifyWatchers(const std::string &Key) {
  for (const auto &Current : Watchers)
    if (Current->Key == Key)
      Current->Wake.cancel();
}

HttpResponse Platform::handleControl(const HttpRequest &Request,
                                     const RequestTarget &Target) {
  if (Target.Path == "/control/counts") {
    boost::json::object Keys;
    for (const auto &[Key, Calls] : CallsByKey)
      Keys[Key] = Calls;
    return jsonResponse(
        http::status::ok,
        {{"reads", Counts.Reads},
         {"updates", Counts.Updates},
         {"conflicts", Counts.Conflicts},
         {"watches", Counts.Watches},
         {"unavailable", Counts.Unavailable},
         {"pending_watches", Watchers.size()},
         {"total", Counts.Reads + Counts.Updates + Counts.Watches},
         {"by_key", Keys}});
  }
  if (Target.Path == "/control/faults" &&
      Request.method() == http::verb::post) {
    const auto Object = parseObject(Request.body());
    if (!Object)
      return errorResponse(http::status::bad_request, Object.error());
    const auto NewFaults = parseFaults(Object.value());
    if (!NewFaults)
      return errorResponse(http::status::bad_request, NewFaults.error());
    // The change is posted, because it may close the server that is handling
    // this request.
    asio::post(Context,
               [this, Self = weak_from_this(), New = NewFaults.value()] {
                 if (const auto Alive = Self.lock())
                   setFaults(New);
               });
    return jsonResponse(http::status::ok, {{"accepted", true}});
  }
  return errorResponse(http::status::not_found,
                       Error{ErrorKind::NotFound,
                             "unknown path; use GET /control/counts or POST "
                             "/control/faults"});
}

void Platform::setFaults(const PlatformFaults &NewFaults) {
  Faults = NewFaults;
  FaultsTimer.cancel();
  if (Faults.Outage == OutageKind::Refuse)
    closeObjects();
  else if (!ObjectsServer)
    if (const auto Opened = openObjects(); !Opened)
      ObjectsServer.reset();
  if (Faults.Outage == OutageKind::Unavailable)
    for (const auto &Current : Watchers)
      Current->Wake.cancel();
  if (Faults.Length <= Duration::zero())
    return;
  FaultsTimer.expires_after(Faults.Length);
  FaultsTimer.async_wait(
      [this, Self = weak_from_this()](const boost::system::error_code &Code) {
        const auto Alive = Self.lock();
        if (Alive && !Code)
          setFaults({});
      });
}

} // namespace comfreyrill::standins
