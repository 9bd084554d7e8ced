#include "RequestRelay.h"

#include <platform/HttpCodec.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
// A host that could not take a request is not asked again for this time. Cuts
// last for seconds.
constexpr Duration UnfitTime = std::chrono::seconds(1);
constexpr int HostsMaximum = 8;
// After this many hosts of the own failure domain, others are asked first: most
// of a domain may be cut off at the same time.
constexpr int LocalHostsMaximum = 2;
// Interval and number of the probes by which a host finds out that it reaches
// targets again. No request waits for them.
constexpr Duration CheckInterval = std::chrono::milliseconds(250);
constexpr std::size_t CheckedTargets = 3;
constexpr Duration CheckTimeout = std::chrono::milliseconds(250);

} // namespace

RequestRelay::RequestRelay(const GatewayDependencies &Dependencies,
                           const MemberTable &Members,
                           const DomainTable &Domains, TargetProber &Prober)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Prober(Prober), CheckTimer(Dependencies.Context) {}

void RequestRelay::start() {
  Dependencies.CurrentState.reachability().onCutOff([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->CheckTimer.cancel();
  });
  asio::co_spawn(
      Dependencies.Context,
      [Self = shared_from_this()] { return Self->runChecks(); },
      asio::detached);
}

Awaitable<RelayResult> RequestRelay::relay(RelayedRequest &Request) {
  const auto Self = shared_from_this();
  RelayResult Result;
  std::vector<RelayHost> Known = hosts();
  for (int Number = 0; Number < HostsMaximum && !Request.HasCallerLeft;
       ++Number) {
    const TimePoint Now = Dependencies.TimeSource.now();
    const auto Remote = chooseRelayHost(Known, Number < LocalHostsMaximum, Now,
                                        Dependencies.Generator);
    if (!Remote || Now >= Request.Deadline)
      break;
    Attempt Made = co_await attempt(Request, *Remote);
    if (Made.Answer && !platform::isRelayRefused(*Made.Answer)) {
      Result.Answer = std::move(Made.Answer);
      break;
    }
    const TimePoint Until = Dependencies.TimeSource.now() + UnfitTime;
    UnfitUntil[*Remote] = Until;
    for (RelayHost &Host : Known)
      if (Host.CallerAddress == *Remote)
        Host.UnfitUntil = Until;
    if (!Made.Answer && Made.Progress != WriteProgress::NothingWritten) {
      Result.MayHaveRun = true;
      break;
    }
  }
  co_return Result;
}

// Each request goes out on a new connection. The other host could close a kept
// one at the same moment, and nobody would know whether the request has run.
Awaitable<RequestRelay::Attempt> RequestRelay::attempt(RelayedRequest &Request,
                                                       Endpoint Remote) {
  const TimePoint Begin = Dependencies.TimeSource.now();
  Request.ActiveConnection = std::make_shared<HttpConnection>(
      Dependencies.Context, &Dependencies.Messages);
  const auto Connected = co_await Request.ActiveConnection->connect(
      Remote, std::min(Request.Deadline, Begin + ConnectTimeout));
  Attempt Made;
  if (!Connected || Request.HasCallerLeft) {
    log(Request, Remote, "not_connected", Begin);
    Request.ActiveConnection.reset();
    co_return Made;
  }
  HttpRequest Sent = platform::encodeRelay(
      Request.Message, std::move(Request.Message.body()),
      Request.Deadline - Dependencies.TimeSource.now(), Request.Metadata);
  auto Answer = co_await Request.ActiveConnection->exchange(
      Sent, Request.AnswerLimits, Request.Deadline,
      [&](const HttpResponse &Response) {
        return platform::matchAnswer(Response, Request.Id);
      });
  Request.Message.body() = std::move(Sent.body());
  Request.ActiveConnection.reset();
  if (Answer) {
    Made.Answer = std::move(Answer.value());
    log(Request, Remote,
        platform::isRelayRefused(*Made.Answer) ? "refused" : "answered", Begin);
  } else {
    Made.Progress = Answer.error().Progress;
    log(Request, Remote, "lost", Begin);
  }
  co_return Made;
}

bool RequestRelay::hasOtherHosts() const { return !hosts().empty(); }

std::vector<RelayHost> RequestRelay::hosts() const {
  const TimePoint Now = Dependencies.TimeSource.now();
  std::vector<RelayHost> Found;
  const auto Add = [&](const Endpoint &Address, bool IsLocal) {
    const auto Unfit = UnfitUntil.find(Address);
    Found.push_back(
        {Address, IsLocal,
         Unfit == UnfitUntil.end() ? TimePoint::min() : Unfit->second});
  };
  for (const Peer *Other : alivePeers(Members, Now))
    if (Other->Description.State == HostState::Ready &&
        Other->Description.isComplete())
      Add(Other->Description.CallerAddress, true);
  for (const RemoteHost &Other : remoteHosts(Domains, Now))
    Add(Other.CallerAddress, false);
  return Found;
}

Awaitable<void> RequestRelay::runChecks() {
  const auto &Reachability = Dependencies.CurrentState.reachability();
  while (true) {
    CheckTimer.expires_at(Reachability.isCutOff()
                              ? Dependencies.TimeSource.now() + CheckInterval
                              : TimePoint::max());
    co_await CheckTimer.async_wait(UseTuple);
    if (Reachability.isCutOff())
      co_await checkTargets();
  }
}

Awaitable<void> RequestRelay::checkTargets() {
  const auto Active = Dependencies.CurrentState.configuration();
  if (!Active || Active->Services.empty())
    co_return;
  const ServiceDescription &Service = Active->Services[randomIndex(
      Dependencies.Generator, Active->Services.size())];
  auto Candidates = Dependencies.CurrentState
                        .candidates(Service.Name, Dependencies.HostDomain)
                        .Targets;
  std::shuffle(Candidates.begin(), Candidates.end(), Dependencies.Generator);
  if (Candidates.size() > CheckedTargets)
    Candidates.resize(CheckedTargets);
  std::vector<ConnectedTarget> Found;
  if (!Service.HealthPath.empty())
    Found = co_await Prober.run(std::move(Candidates), Service.Name,
                                Service.HealthPath, 0,
                                Dependencies.TimeSource.now() + CheckTimeout);
  else if (!Candidates.empty())
    if (auto Target =
            co_await Prober.connect(Candidates.front(), Service.Name)) {
      Found.push_back(std::move(*Target));
      Dependencies.CurrentState.reachability().recordAnswer();
    }
  for (ConnectedTarget &Target : Found)
    Prober.release(std::move(Target));
}

void RequestRelay::log(const RelayedRequest &Request, const Endpoint &Remote,
                       std::string_view Outcome, TimePoint Begin) const {
  ++Dependencies.ProcessMetrics.counter("relays_total{outcome=\"" +
                                        std::string(Outcome) + "\"}");
  LogLine Line("relay");
  Line.field("request", Request.Id.Value)
      .field("host", formatEndpoint(Remote))
      .field("outcome", Outcome)
      .field("ms", static_cast<std::uint64_t>(
                       (Dependencies.TimeSource.now() - Begin) /
                       std::chrono::milliseconds(1)));
  Dependencies.Events.write(LogLevel::Info, "relay", Line);
}

} // namespace comfreyrill
