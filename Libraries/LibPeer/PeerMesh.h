#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Random.h>
#include <LibPeer/FrameConnection.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace comfreyrill {

struct PeerMeshLimits {
  FrameLimits Frames;
  /// Links kept at once; sending to further endpoints is refused.
  std::size_t Links = 256;
  /// Requests of one link that wait for an answer.
  std::size_t WaitingRequests = 8192;
  /// A heartbeat is dropped while more bytes than this wait for the peer: the
  /// next one replaces it, and a peer that resumes should not read old ones.
  std::size_t HeartbeatQueueBytes = std::size_t{64} * 1024;
  Duration ConnectTime = std::chrono::seconds(1);
  Duration FirstBackoff = std::chrono::milliseconds(50);
  Duration LongestBackoff = std::chrono::seconds(1);
  /// A link that carried no message for this time is closed and forgotten.
  Duration UnusedTime = std::chrono::seconds(60);
};

/// Links to the peer listeners of other hosts: one persistent connection for
/// each, opened with the first message and again after a failure.
///
/// Must be owned by a shared pointer and used from one thread. Destroying or
/// closing it fails the requests that wait.
class PeerMesh : public std::enable_shared_from_this<PeerMesh> {
public:
  PeerMesh(const Executor &Context, const Clock &TimeSource,
           const PeerMeshLimits &Limits, const Random &Generator);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Sends a message that has no answer. Success means queued, not arrived.
  /// Fails with ConnectionFailed while the link waits to be opened again, with
  /// Refused when its queue is full, and with TooLarge. What fails is dropped.
  Result<void> send(const Endpoint &Remote, const wire::PeerBody &Body);

  /// Sends a message and waits for its answer. Fails with TimedOut at the
  /// deadline, with ConnectionFailed when the peer cannot be reached, with
  /// ConnectionLost when the link breaks, and with Refused when the queue is
  /// full or the peer answers with an error. Only ConnectionFailed and Refused
  /// by the local queue mean that the peer has not seen the message. The
  /// deadline is one of the machine's clock, because Asio's timers wait for it.
  Awaitable<Result<wire::PeerBody>>
  request(Endpoint Remote, wire::PeerBody Body, TimePoint Deadline);

  /// Closes the link to an endpoint; requests on it fail.
  void disconnect(const Endpoint &Remote);

  /// Closes all links and refuses further messages.
  void close();

  /// Closes links that are unused, slow or stalled. A timer calls it every
  /// second.
  void enforceTimes();

  /// True when a connection to the endpoint is open.
  bool isConnected(const Endpoint &Remote) const;
  std::size_t links() const { return Links.size(); }
  const PeerTraffic &traffic() const { return *Traffic; }

private:
  struct Link;
  struct Pending;

  Result<std::shared_ptr<Link>> findLink(const Endpoint &Remote);
  Result<void> transmit(Link &Target, const wire::PeerMessage &Message);
  Awaitable<void> connect(std::shared_ptr<Link> Target);
  void onConnected(const std::shared_ptr<Link> &Target, TcpSocket Socket);
  void onConnectFailure(Link &Target, const Error &Cause);
  void onClosed(Link &Target, const Error &Cause);
  void delayNextAttempt(Link &Target);
  void onMessage(Link &Source, const wire::PeerMessage &Message);
  static void failRequests(Link &Target, const Error &Cause);
  void startSweep();
  void armDeadline();
  void onDeadline();

  Executor Context;
  const Clock &TimeSource;
  PeerMeshLimits Limits;
  Random Generator;
  std::shared_ptr<PeerTraffic> Traffic = std::make_shared<PeerTraffic>();
  std::unordered_map<Endpoint, std::shared_ptr<Link>> Links;
  std::multimap<TimePoint, std::weak_ptr<Pending>> Deadlines;
  Timer DeadlineTimer;
  TimePoint TimerExpiry = TimePoint::max();
  Timer SweepTimer;
  std::int64_t LastCorrelation = 0;
  bool SweepRuns = false;
  bool Closed = false;
};

} // namespace comfreyrill
