#include <LibPeer/PeerMesh.h>

#include <algorithm>
#include <vector>

namespace comfreyrill {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);

// Type-erased handler that resumes the coroutine waiting for a reply.
struct Continuation {
  virtual ~Continuation() = default;
  virtual void resume() = 0;
};

template <typename Handler> struct HandlerContinuation final : Continuation {
  explicit HandlerContinuation(Handler Resumption)
      : Resumption(std::move(Resumption)) {}
  // The coroutine is posted to the event loop, so that it may use or close the
  // mesh while a link is still processing received frames.
  void resume() override { asio::post(std::move(Resumption)); }
  Handler Resumption;
};

Error meshClosedError() {
  return {ErrorKind::ConnectionLost,
          "this host is closing its links to peers; use another host"};
}

Error deadlineError(const Endpoint &Remote) {
  return {ErrorKind::TimedOut,
          "no reply from the peer " + formatEndpoint(Remote) +
              " before the deadline; check that it is running and reachable"};
}

} // namespace

struct PeerMesh::PendingRequest {
  std::int64_t Correlation = 0;
  std::weak_ptr<Link> SourceLink;
  std::multimap<TimePoint, std::weak_ptr<PendingRequest>>::iterator Deadline;
  std::optional<Result<wire::PeerBody>> Outcome;
  std::unique_ptr<Continuation> Resume;
};

struct PeerMesh::Link {
  Endpoint Remote;
  std::shared_ptr<FrameConnection> Connection;
  bool IsConnecting = false;
  // Encoded frames to send once the connection is established.
  std::string QueuedFrames;
  std::unordered_map<std::int64_t, std::shared_ptr<PendingRequest>> Requests;
  Duration Backoff = Duration::zero();
  TimePoint NextAttempt = TimePoint::min();
  TimePoint ConnectedSince;
  TimePoint LastUsed;
};

PeerMesh::PeerMesh(const Executor &Context, const Clock &TimeSource,
                   const PeerMeshLimits &Limits, const Random &Generator)
    : Context(Context), TimeSource(TimeSource), Limits(Limits),
      Generator(Generator), DeadlineTimer(Context), SweepTimer(Context) {}

PeerMesh::~PeerMesh() { close(); }

Result<std::shared_ptr<PeerMesh::Link>>
PeerMesh::findLink(const Endpoint &Remote) {
  if (IsClosed)
    return meshClosedError();
  auto Position = Links.find(Remote);
  if (Position == Links.end()) {
    if (Links.size() >= Limits.Links)
      return Error{ErrorKind::Refused,
                   "the limit of " + std::to_string(Links.size()) +
                       " peer links is reached; raise it or remove hosts"};
    auto Created = std::make_shared<Link>();
    Created->Remote = Remote;
    Position = Links.emplace(Remote, std::move(Created)).first;
    scheduleSweep();
  }
  const auto &Found = Position->second;
  const TimePoint Now = TimeSource.now();
  Found->LastUsed = Now;
  if (Found->Connection || Found->IsConnecting)
    return Found;
  if (Now < Found->NextAttempt) {
    ++Traffic->FramesDropped;
    return Error{
        ErrorKind::ConnectionFailed,
        "the peer " + formatEndpoint(Remote) +
            " was unreachable and is in reconnect backoff; the message "
            "was dropped, send it again later"};
  }
  Found->IsConnecting = true;
  asio::co_spawn(
      Context,
      [Self = shared_from_this(), Found] { return Self->connect(Found); },
      asio::detached);
  return Found;
}

Result<void> PeerMesh::transmit(Link &PeerLink,
                                const wire::PeerMessage &Message) {
  TRY(auto Frame, encodeFrame(Message));
  if (PeerLink.Connection)
    return PeerLink.Connection->send(Frame);
  if (PeerLink.QueuedFrames.size() + Frame.size() > Limits.Frames.QueueBytes ||
      Traffic->BytesHeld + Frame.size() > Limits.Frames.TotalBytes) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::Refused,
                 "too many messages are queued for the connection to " +
                     formatEndpoint(PeerLink.Remote) +
                     "; the message was dropped, send it again later"};
  }
  PeerLink.QueuedFrames += Frame;
  Traffic->BytesHeld += Frame.size();
  return outcome::success();
}

Result<void> PeerMesh::send(const Endpoint &Remote,
                            const wire::PeerBody &Body) {
  TRY(auto PeerLink, findLink(Remote));
  const std::size_t Queued = PeerLink->Connection
                                 ? PeerLink->Connection->bytesQueued()
                                 : PeerLink->QueuedFrames.size();
  if (Body.__isset.heartbeat && Queued > Limits.HeartbeatQueueBytes) {
    ++Traffic->FramesDropped;
    return Error{
        ErrorKind::Refused,
        "the peer " + formatEndpoint(Remote) +
            " reads too slowly; the heartbeat was dropped, the next one "
            "replaces it"};
  }
  wire::PeerMessage Message;
  Message.correlation = 0;
  Message.body = Body;
  return transmit(*PeerLink, Message);
}

// The coroutine does not own the mesh and does not access the mesh after it
// resumes, so that the mesh can be destroyed while requests are pending.
Awaitable<Result<wire::PeerBody>>
PeerMesh::request(Endpoint Remote, wire::PeerBody Body, TimePoint Deadline) {
  if (Deadline <= BootClock::now())
    co_return deadlineError(Remote);
  CO_TRY(auto PeerLink, findLink(Remote));
  if (PeerLink->Requests.size() >= Limits.PendingRequests)
    co_return Error{ErrorKind::Refused,
                    "too many requests await a reply from " +
                        formatEndpoint(Remote) + "; send fewer at once"};
  wire::PeerMessage Message;
  Message.correlation = ++LastCorrelation;
  Message.body = Body;
  CO_TRY(transmit(*PeerLink, Message));

  const auto Request = std::make_shared<PendingRequest>();
  Request->Correlation = Message.correlation;
  Request->SourceLink = PeerLink;
  Request->Deadline = Deadlines.emplace(Deadline, Request);
  PeerLink->Requests.emplace(Message.correlation, Request);
  PeerLink.reset();
  if (Deadline < TimerExpiry)
    armDeadline();
  // The lambda captures a raw pointer, because g++ 12 destroys the captures of
  // a temporary within co_await twice.
  auto Suspend = [RawRequest = Request.get()](auto Handler) {
    RawRequest->Resume =
        std::make_unique<HandlerContinuation<decltype(Handler)>>(
            std::move(Handler));
  };
  co_await asio::async_initiate<const asio::use_awaitable_t<Executor> &,
                                void()>(Suspend, UseAwaitable);
  co_return std::move(*Request->Outcome);
}

Awaitable<void> PeerMesh::connect(std::shared_ptr<Link> PeerLink) {
  boost::system::error_code Code;
  const auto Address = asio::ip::make_address(PeerLink->Remote.Address, Code);
  if (Code) {
    onConnectFailure(*PeerLink, {ErrorKind::ConnectionFailed,
                                 "'" + PeerLink->Remote.Address +
                                     "' is not an IP address; correct the "
                                     "address of the peer"});
    co_return;
  }
  const auto Socket = std::make_shared<TcpSocket>(Context);
  const auto Expiry = std::make_shared<Timer>(Context);
  Expiry->expires_after(Limits.ConnectTimeout);
  Expiry->async_wait([Socket](const boost::system::error_code &WaitCode) {
    boost::system::error_code Ignored;
    if (!WaitCode)
      Socket->close(Ignored);
  });
  const auto [ConnectCode] = co_await Socket->async_connect(
      asio::ip::tcp::endpoint(Address, PeerLink->Remote.Port), UseTuple);
  Expiry->cancel();
  if (!ConnectCode && Socket->is_open()) {
    onConnected(PeerLink, std::move(*Socket));
    co_return;
  }
  onConnectFailure(*PeerLink,
                   {ErrorKind::ConnectionFailed,
                    "cannot connect to the peer " +
                        formatEndpoint(PeerLink->Remote) + " (" +
                        (ConnectCode ? ConnectCode.message() : "timed out") +
                        "); check that it is running"});
}

void PeerMesh::onConnected(const std::shared_ptr<Link> &PeerLink,
                           TcpSocket Socket) {
  PeerLink->IsConnecting = false;
  PeerLink->ConnectedSince = TimeSource.now();
  // The link was closed or replaced while it was connecting.
  const auto Position = Links.find(PeerLink->Remote);
  if (Position == Links.end() || Position->second != PeerLink)
    return;
  PeerLink->Connection = std::make_shared<FrameConnection>(
      std::move(Socket), TimeSource, Limits.Frames, Traffic);
  const std::weak_ptr<PeerMesh> WeakSelf = weak_from_this();
  const std::weak_ptr<Link> WeakLink = PeerLink;
  const auto Connection = PeerLink->Connection;
  Connection->start(
      [WeakSelf, WeakLink](const wire::PeerMessage &Message) {
        const auto Self = WeakSelf.lock();
        const auto SourceLink = WeakLink.lock();
        if (Self && SourceLink)
          Self->onMessage(*SourceLink, Message);
      },
      [WeakSelf, WeakLink](const Error &Cause) {
        const auto Self = WeakSelf.lock();
        const auto SourceLink = WeakLink.lock();
        if (Self && SourceLink)
          Self->onClosed(*SourceLink, Cause);
      });
  Traffic->BytesHeld -= PeerLink->QueuedFrames.size();
  const std::string Frames = std::move(PeerLink->QueuedFrames);
  PeerLink->QueuedFrames.clear();
  if (!Frames.empty() && Connection->isOpen())
    (void)Connection->send(Frames);
}

void PeerMesh::onConnectFailure(Link &PeerLink, const Error &Cause) {
  PeerLink.IsConnecting = false;
  delayNextAttempt(PeerLink);
  Traffic->BytesHeld -= PeerLink.QueuedFrames.size();
  PeerLink.QueuedFrames = {};
  failRequests(PeerLink, Cause);
}

// A peer that accepts and immediately closes a connection, for example at its
// connection limit, is treated as unreachable; otherwise each message would
// reconnect.
void PeerMesh::onClosed(Link &PeerLink, const Error &Cause) {
  PeerLink.Connection.reset();
  if (TimeSource.now() - PeerLink.ConnectedSince < Limits.MaximumBackoff)
    delayNextAttempt(PeerLink);
  else
    PeerLink.Backoff = Duration::zero();
  failRequests(PeerLink, Cause);
}

void PeerMesh::delayNextAttempt(Link &PeerLink) {
  // Jitter keeps hosts from reconnecting to a recovered peer simultaneously.
  PeerLink.Backoff =
      PeerLink.Backoff == Duration::zero()
          ? Limits.InitialBackoff
          : std::min(PeerLink.Backoff * 2, Limits.MaximumBackoff);
  std::uniform_real_distribution<double> JitterFactor(0.5, 1.0);
  PeerLink.NextAttempt =
      TimeSource.now() + std::chrono::duration_cast<Duration>(
                             PeerLink.Backoff * JitterFactor(Generator));
}

void PeerMesh::onMessage(Link &SourceLink, const wire::PeerMessage &Message) {
  const auto Position = SourceLink.Requests.find(Message.correlation);
  // The request has already timed out.
  if (Position == SourceLink.Requests.end())
    return;
  const auto Request = Position->second;
  SourceLink.Requests.erase(Position);
  Deadlines.erase(Request->Deadline);
  if (!hasKnownBody(Message.body))
    Request->Outcome = Error{ErrorKind::Refused,
                             "the peer replied with a message type that this "
                             "version does not support; upgrade this host"};
  else if (Message.body.__isset.error)
    Request->Outcome = Error{ErrorKind::Refused, Message.body.error.message};
  else
    Request->Outcome = Message.body;
  Request->Resume->resume();
}

void PeerMesh::failRequests(Link &PeerLink, const Error &Cause) {
  const auto Failed = std::move(PeerLink.Requests);
  PeerLink.Requests.clear();
  for (const auto &[Correlation, Request] : Failed) {
    Request->Outcome = Cause;
    Request->Resume->resume();
  }
}

void PeerMesh::disconnect(const Endpoint &Remote) {
  const auto Position = Links.find(Remote);
  if (Position == Links.end())
    return;
  const auto PeerLink = Position->second;
  Links.erase(Position);
  Traffic->BytesHeld -= PeerLink->QueuedFrames.size();
  PeerLink->QueuedFrames = {};
  const auto Connection = PeerLink->Connection;
  if (Connection)
    Connection->close(meshClosedError());
  failRequests(*PeerLink, meshClosedError());
}

void PeerMesh::close() {
  IsClosed = true;
  DeadlineTimer.cancel();
  SweepTimer.cancel();
  while (!Links.empty())
    disconnect(Endpoint(Links.begin()->first));
  Deadlines.clear();
}

bool PeerMesh::isConnected(const Endpoint &Remote) const {
  const auto Position = Links.find(Remote);
  return Position != Links.end() && Position->second->Connection;
}

void PeerMesh::scheduleSweep() {
  if (IsSweepScheduled)
    return;
  IsSweepScheduled = true;
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (Code || !Self)
          return;
        Self->IsSweepScheduled = false;
        Self->enforceTimeouts();
        if (!Self->Links.empty())
          Self->scheduleSweep();
      });
}

void PeerMesh::enforceTimeouts() {
  const TimePoint Now = TimeSource.now();
  std::vector<std::shared_ptr<Link>> AllLinks;
  AllLinks.reserve(Links.size());
  for (const auto &[Remote, PeerLink] : Links)
    AllLinks.push_back(PeerLink);
  for (const auto &PeerLink : AllLinks) {
    if (Now - PeerLink->LastUsed > Limits.UnusedLinkTimeout)
      disconnect(PeerLink->Remote);
    else if (const auto Connection = PeerLink->Connection)
      Connection->enforceTimeouts(Now, false);
  }
}

// One timer serves all deadlines. It is rescheduled for an earlier deadline or
// when it fires; most requests complete before their deadline and need no
// timer.
void PeerMesh::armDeadline() {
  TimerExpiry = Deadlines.begin()->first;
  DeadlineTimer.expires_at(TimerExpiry);
  DeadlineTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (Self && !Code)
          Self->onDeadline();
      });
}

void PeerMesh::onDeadline() {
  TimerExpiry = TimePoint::max();
  const TimePoint Now = BootClock::now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const auto Request = Deadlines.begin()->second.lock();
    Deadlines.erase(Deadlines.begin());
    if (!Request || Request->Outcome)
      continue;
    const auto SourceLink = Request->SourceLink.lock();
    if (SourceLink)
      SourceLink->Requests.erase(Request->Correlation);
    Request->Outcome =
        deadlineError(SourceLink ? SourceLink->Remote : Endpoint());
    Request->Resume->resume();
  }
  if (!Deadlines.empty())
    armDeadline();
}

} // namespace comfreyrill
