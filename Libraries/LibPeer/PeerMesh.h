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
  /// Maximum number of links; messages to further endpoints are refused.
  std::size_t Links = 256;
  /// Maximum number of requests on one link that await a reply.
  std::size_t PendingRequests = 8192;
  /// A heartbeat is dropped while more bytes than this are queued for the peer:
  /// the next heartbeat replaces it, and a peer that resumes reading should not
  /// receive outdated ones.
  std::size_t HeartbeatQueueBytes = std::size_t{64} * 1024;
  Duration ConnectTimeout = std::chrono::seconds(1);
  Duration InitialBackoff = std::chrono::milliseconds(50);
  Duration MaximumBackoff = std::chrono::seconds(1);
  /// A link that carried no message for this time is closed and removed.
  Duration UnusedLinkTimeout = std::chrono::seconds(60);
};

/// Links to the peer listeners of other hosts: one persistent connection for
/// each host, opened with the first message and reopened after a failure.
///
/// A mesh must be owned by a shared pointer and used from one thread.
/// Destroying or closing the mesh fails all pending requests.
class PeerMesh : public std::enable_shared_from_this<PeerMesh> {
public:
  PeerMesh(const Executor &Context, const Clock &TimeSource,
           const PeerMeshLimits &Limits, const Random &Generator);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  /// Sends a message that expects no reply. Success means that the message is
  /// queued, not received. Fails with ConnectionFailed during the reconnect
  /// backoff of the link, with Refused when the send queue is full, and with
  /// TooLarge. The message is dropped on failure.
  Result<void> send(const Endpoint &Remote, const wire::PeerBody &Body);

  /// Sends a message and waits for its reply. Fails with TimedOut at the
  /// deadline, with ConnectionFailed when the peer cannot be reached, with
  /// ConnectionLost when the link breaks, and with Refused when the queue is
  /// full or the peer replies with an error. Only ConnectionFailed and Refused
  /// by the local queue mean that the peer has not received the message. The
  /// deadline is a time of BootClock, because Asio timers use that clock.
  Awaitable<Result<wire::PeerBody>>
  request(Endpoint Remote, wire::PeerBody Body, TimePoint Deadline);

  /// Closes the link to an endpoint and fails its pending requests.
  void disconnect(const Endpoint &Remote);

  /// Closes all links and refuses further messages.
  void close();

  /// Closes links that are unused, slow or stalled. A timer calls this function
  /// every second.
  void enforceTimeouts();

  /// True when a connection to the endpoint is open.
  bool isConnected(const Endpoint &Remote) const;
  std::size_t links() const { return Links.size(); }
  const PeerTraffic &traffic() const { return *Traffic; }

private:
  struct Link;
  struct PendingRequest;

  Result<std::shared_ptr<Link>> findLink(const Endpoint &Remote);
  Result<void> transmit(Link &PeerLink, const wire::PeerMessage &Message);
  Awaitable<void> connect(std::shared_ptr<Link> PeerLink);
  void onConnected(const std::shared_ptr<Link> &PeerLink, TcpSocket Socket);
  void onConnectFailure(Link &PeerLink, const Error &Cause);
  void onClosed(Link &PeerLink, const Error &Cause);
  void delayNextAttempt(Link &PeerLink);
  void onMessage(Link &SourceLink, const wire::PeerMessage &Message);
  static void failRequests(Link &PeerLink, const Error &Cause);
  void scheduleSweep();
  void armDeadline();
  void onDeadline();

  Executor Context;
  const Clock &TimeSource;
  PeerMeshLimits Limits;
  Random Generator;
  std::shared_ptr<PeerTraffic> Traffic = std::make_shared<PeerTraffic>();
  std::unordered_map<Endpoint, std::shared_ptr<Link>> Links;
  std::multimap<TimePoint, std::weak_ptr<PendingRequest>> Deadlines;
  Timer DeadlineTimer;
  TimePoint TimerExpiry = TimePoint::max();
  Timer SweepTimer;
  std::int64_t LastCorrelation = 0;
  bool IsSweepScheduled = false;
  bool IsClosed = false;
};

} // namespace comfreyrill
