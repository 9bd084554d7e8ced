#include <LibPeer/PeerMesh.h>

#include <algorithm>
#include <vector>

namespace comfreyrill {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);

// Resumes the coroutine that waits for an answer.
struct Waiter {
  virtual ~Waiter() = default;
  virtual void resume() = 0;
};

template <typename Handler> struct HandlerWaiter final : Waiter {
  explicit HandlerWaiter(Handler Resumed) : Resumed(std::move(Resumed)) {}
  // The coroutine runs in a turn of its own, so that it may use or close the
  // mesh while a link is in the middle of its frames.
  void resume() override { asio::post(std::move(Resumed)); }
  Handler Resumed;
};

Error closedError() {
  return {ErrorKind::ConnectionLost,
          "this host is closing its links to peers; use another host"};
}

Error deadlineError(const Endpoint &Remote) {
  return {ErrorKind::TimedOut,
          "no answer from the peer " + formatEndpoint(Remote) +
              " before the deadline; check that it is running and reachable"};
}

} // namespace

struct PeerMesh::Pending {
  std::int64_t Correlation = 0;
  std::weak_ptr<Link> Source;
  std::multimap<TimePoint, std::weak_ptr<Pending>>::iterator Deadline;
  std::optional<Result<wire::PeerBody>> Outcome;
  std::unique_ptr<Waiter> Resume;
};

struct PeerMesh::Link {
  Endpoint Remote;
  std::shared_ptr<FrameConnection> Connection;
  bool Connecting = false;
  // Frames that wait for the connection.
  std::string Waiting;
  std::unordered_map<std::int64_t, std::shared_ptr<Pending>> Requests;
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
  if (Closed)
    return closedError();
  auto Position = Links.find(Remote);
  if (Position == Links.end()) {
    if (Links.size() >= Limits.Links)
      return Error{ErrorKind::Refused,
                   "there are links to " + std::to_string(Links.size()) +
                       " peers already; raise the limit or remove hosts"};
    auto Created = std::make_shared<Link>();
    Created->Remote = Remote;
    Position = Links.emplace(Remote, std::move(Created)).first;
    startSweep();
  }
  const auto &Found = Position->second;
  const TimePoint Now = TimeSource.now();
  Found->LastUsed = Now;
  if (Found->Connection || Found->Connecting)
    return Found;
  if (Now < Found->NextAttempt) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::ConnectionFailed,
                 "the peer " + formatEndpoint(Remote) +
                     " could not be reached a moment ago; the message was "
                     "dropped, send it again later"};
  }
  Found->Connecting = true;
  asio::co_spawn(
      Context,
      [Self = shared_from_this(), Found] { return Self->connect(Found); },
      asio::detached);
  return Found;
}

Result<void> PeerMesh::transmit(Link &Target,
                                const wire::PeerMessage &Message) {
  TRY(auto Frame, encodeFrame(Message));
  if (Target.Connection)
    return Target.Connection->send(Frame);
  if (Target.Waiting.size() + Frame.size() > Limits.Frames.QueueBytes ||
      Traffic->BytesHeld + Frame.size() > Limits.Frames.TotalBytes) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::Refused,
                 "too many messages wait for the connection to " +
                     formatEndpoint(Target.Remote) +
                     "; this one was dropped, send it again later"};
  }
  Target.Waiting += Frame;
  Traffic->BytesHeld += Frame.size();
  return outcome::success();
}

Result<void> PeerMesh::send(const Endpoint &Remote,
                            const wire::PeerBody &Body) {
  TRY(auto Target, findLink(Remote));
  const std::size_t Queued = Target->Connection
                                 ? Target->Connection->bytesQueued()
                                 : Target->Waiting.size();
  if (Body.__isset.heartbeat && Queued > Limits.HeartbeatQueueBytes) {
    ++Traffic->FramesDropped;
    return Error{ErrorKind::Refused,
                 "the peer " + formatEndpoint(Remote) +
                     " does not take its messages; the heartbeat was dropped, "
                     "the next one replaces it"};
  }
  wire::PeerMessage Message;
  Message.correlation = 0;
  Message.body = Body;
  return transmit(*Target, Message);
}

// The coroutine does not own the mesh: it holds no reference after it resumes,
// so that the mesh can be destroyed while requests wait.
Awaitable<Result<wire::PeerBody>>
PeerMesh::request(Endpoint Remote, wire::PeerBody Body, TimePoint Deadline) {
  if (Deadline <= BootClock::now())
    co_return deadlineError(Remote);
  CO_TRY(auto Target, findLink(Remote));
  if (Target->Requests.size() >= Limits.WaitingRequests)
    co_return Error{ErrorKind::Refused,
                    "too many requests wait for an answer of " +
                        formatEndpoint(Remote) + "; send fewer at once"};
  wire::PeerMessage Message;
  Message.correlation = ++LastCorrelation;
  Message.body = Body;
  CO_TRY(transmit(*Target, Message));

  const auto Current = std::make_shared<Pending>();
  Current->Correlation = Message.correlation;
  Current->Source = Target;
  Current->Deadline = Deadlines.emplace(Deadline, Current);
  Target->Requests.emplace(Message.correlation, Current);
  Target.reset();
  if (Deadline < TimerExpiry)
    armDeadline();
  // A bare pointer, because g++ 12 destroys the captures of a temporary within
  // co_await twice.
  auto Suspend = [Bare = Current.get()](auto Handler) {
    Bare->Resume =
        std::make_unique<HandlerWaiter<decltype(Handler)>>(std::move(Handler));
  };
  co_await asio::async_initiate<const asio::use_awaitable_t<Executor> &,
                                void()>(Suspend, UseAwaitable);
  co_return std::move(*Current->Outcome);
}

Awaitable<void> PeerMesh::connect(std::shared_ptr<Link> Target) {
  boost::system::error_code Code;
  const auto Address = asio::ip::make_address(Target->Remote.Address, Code);
  if (Code) {
    onConnectFailure(*Target, {ErrorKind::ConnectionFailed,
                               "'" + Target->Remote.Address +
                                   "' is not an IP number; correct the "
                                   "address of the peer"});
    co_return;
  }
  const auto Socket = std::make_shared<TcpSocket>(Context);
  const auto Expiry = std::make_shared<Timer>(Context);
  Expiry->expires_after(Limits.ConnectTime);
  Expiry->async_wait([Socket](const boost::system::error_code &WaitCode) {
    boost::system::error_code Ignored;
    if (!WaitCode)
      Socket->close(Ignored);
  });
  const auto [ConnectCode] = co_await Socket->async_connect(
      asio::ip::tcp::endpoint(Address, Target->Remote.Port), UseTuple);
  Expiry->cancel();
  if (!ConnectCode && Socket->is_open()) {
    onConnected(Target, std::move(*Socket));
    co_return;
  }
  onConnectFailure(
      *Target, {ErrorKind::ConnectionFailed,
                "cannot connect to the peer " + formatEndpoint(Target->Remote) +
                    " (" + (ConnectCode ? ConnectCode.message() : "timed out") +
                    "); check that it is running"});
}

void PeerMesh::onConnected(const std::shared_ptr<Link> &Target,
                           TcpSocket Socket) {
  Target->Connecting = false;
  Target->ConnectedSince = TimeSource.now();
  // The link was closed while it connected.
  const auto Position = Links.find(Target->Remote);
  if (Position == Links.end() || Position->second != Target)
    return;
  Target->Connection = std::make_shared<FrameConnection>(
      std::move(Socket), TimeSource, Limits.Frames, Traffic);
  const std::weak_ptr<PeerMesh> WeakSelf = weak_from_this();
  const std::weak_ptr<Link> WeakLink = Target;
  const auto Connection = Target->Connection;
  Connection->start(
      [WeakSelf, WeakLink](const wire::PeerMessage &Message) {
        const auto Self = WeakSelf.lock();
        const auto Source = WeakLink.lock();
        if (Self && Source)
          Self->onMessage(*Source, Message);
      },
      [WeakSelf, WeakLink](const Error &Cause) {
        const auto Self = WeakSelf.lock();
        const auto Source = WeakLink.lock();
        if (Self && Source)
          Self->onClosed(*Source, Cause);
      });
  Traffic->BytesHeld -= Target->Waiting.size();
  const std::string Frames = std::move(Target->Waiting);
  Target->Waiting.clear();
  if (!Frames.empty() && Connection->isOpen())
    (void)Connection->send(Frames);
}

void PeerMesh::onConnectFailure(Link &Target, const Error &Cause) {
  Target.Connecting = false;
  delayNextAttempt(Target);
  Traffic->BytesHeld -= Target.Waiting.size();
  Target.Waiting = {};
  failRequests(Target, Cause);
}

// A peer that accepts and closes at once, for example at its connection limit,
// counts as one that cannot be reached; else each message would connect again.
void PeerMesh::onClosed(Link &Target, const Error &Cause) {
  Target.Connection.reset();
  if (TimeSource.now() - Target.ConnectedSince < Limits.LongestBackoff)
    delayNextAttempt(Target);
  else
    Target.Backoff = Duration::zero();
  failRequests(Target, Cause);
}

void PeerMesh::delayNextAttempt(Link &Target) {
  // Jitter keeps the hosts from reconnecting to a returning peer all at once.
  Target.Backoff = Target.Backoff == Duration::zero()
                       ? Limits.FirstBackoff
                       : std::min(Target.Backoff * 2, Limits.LongestBackoff);
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  Target.NextAttempt =
      TimeSource.now() +
      std::chrono::duration_cast<Duration>(Target.Backoff * Share(Generator));
}

void PeerMesh::onMessage(Link &Source, const wire::PeerMessage &Message) {
  const auto Position = Source.Requests.find(Message.correlation);
  // The answer to a request whose deadline has passed.
  if (Position == Source.Requests.end())
    return;
  const auto Current = Position->second;
  Source.Requests.erase(Position);
  Deadlines.erase(Current->Deadline);
  if (!hasKnownBody(Message.body))
    Current->Outcome = Error{ErrorKind::Refused,
                             "the peer answered with a kind of message that "
                             "this version does not know; upgrade this host"};
  else if (Message.body.__isset.error)
    Current->Outcome = Error{ErrorKind::Refused, Message.body.error.message};
  else
    Current->Outcome = Message.body;
  Current->Resume->resume();
}

void PeerMesh::failRequests(Link &Target, const Error &Cause) {
  const auto Failed = std::move(Target.Requests);
  Target.Requests.clear();
  for (const auto &[Correlation, Current] : Failed) {
    Current->Outcome = Cause;
    Current->Resume->resume();
  }
}

void PeerMesh::disconnect(const Endpoint &Remote) {
  const auto Position = Links.find(Remote);
  if (Position == Links.end())
    return;
  const auto Target = Position->second;
  Links.erase(Position);
  Traffic->BytesHeld -= Target->Waiting.size();
  Target->Waiting = {};
  const auto Connection = Target->Connection;
  if (Connection)
    Connection->close(closedError());
  failRequests(*Target, closedError());
}

void PeerMesh::close() {
  Closed = true;
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

void PeerMesh::startSweep() {
  if (SweepRuns)
    return;
  SweepRuns = true;
  SweepTimer.expires_after(SweepInterval);
  SweepTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (Code || !Self)
          return;
        Self->SweepRuns = false;
        Self->enforceTimes();
        if (!Self->Links.empty())
          Self->startSweep();
      });
}

void PeerMesh::enforceTimes() {
  const TimePoint Now = TimeSource.now();
  std::vector<std::shared_ptr<Link>> All;
  All.reserve(Links.size());
  for (const auto &[Remote, Target] : Links)
    All.push_back(Target);
  for (const auto &Target : All) {
    if (Now - Target->LastUsed > Limits.UnusedTime)
      disconnect(Target->Remote);
    else if (const auto Connection = Target->Connection)
      Connection->enforceTimes(Now, false);
  }
}

// A pending timer is only replaced when the new deadline is earlier; it is set
// again when it fires. Most requests are answered before and need no timer.
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
    const auto Current = Deadlines.begin()->second.lock();
    Deadlines.erase(Deadlines.begin());
    if (!Current || Current->Outcome)
      continue;
    const auto Source = Current->Source.lock();
    if (Source)
      Source->Requests.erase(Current->Correlation);
    Current->Outcome = deadlineError(Source ? Source->Remote : Endpoint());
    Current->Resume->resume();
  }
  if (!Deadlines.empty())
    armDeadline();
}

} // namespace comfreyrill
