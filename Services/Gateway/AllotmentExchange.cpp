#include "AllotmentExchange.h"

#include <LibCore/Hash.h>
#include <LibGateway/RouteTable.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// The membership changes within a second or more. Examining hundreds of hosts
// for each request would cost a small host too much processor time.
constexpr Duration ViewInterval = std::chrono::milliseconds(100);
// A host that sends more has a fault; its demand of 200 ms is far below.
constexpr std::int32_t GrantMaximum = 10'000;

std::int32_t millisecondsRoundedUp(Duration Time) {
  return static_cast<std::int32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Time).count());
}

bool isGone(const MemberTable &Members, const Peer &Other, TimePoint Now) {
  return Other.Description.State == HostState::Leaving &&
         liveness(Members, Other, Now) != Liveness::Alive;
}

} // namespace

AllotmentExchange::AllotmentExchange(const GatewayDependencies &Dependencies,
                                     const MemberTable &Members,
                                     const DomainTable &Domains, PeerMesh &Mesh)
    : Dependencies(Dependencies), Members(Members), Domains(Domains),
      Mesh(Mesh), State(makeAllotments(Members.Self.Host, Members.Started)) {
  State.LastTick = Dependencies.TimeSource.now();
}

Awaitable<std::optional<Duration>>
AllotmentExchange::acquire(const ClientAccount &Holder) {
  if (Holder.Rate <= 0)
    co_return std::nullopt;
  const auto Self = shared_from_this();
  // The configuration may change while the request waits.
  const ClientAccount Account = Holder;
  const TimePoint Begin = Dependencies.TimeSource.now();
  const TimePoint GiveUpAt = Begin + TokenWaitMaximum;
  // Not removed while this request waits.
  TokenLease &Lease = beginAcquire(State, Account.Name, Begin);
  while (true) {
    const TimePoint Now = Dependencies.TimeSource.now();
    refreshView(Now);
    if (const auto Silent = expireRequest(State, Lease, Now))
      reportSilentOwner(*Silent);
    const TokenDecision Decision =
        decide(State, Lease, Account, GiveUpAt, Dependencies.Generator, Now);
    countVoidTokens(Lease);
    if (Decision.Step == TokenStep::Taken) {
      if (Decision.Source == TokenSource::Fallback)
        ++Dependencies.ProcessMetrics.counter("tokens_fallback_total");
      if (const auto Owner =
              chooseEarlyRenewal(State, Lease, Account.Name, Now))
        startRequest(Account.Name, Lease, *Owner, Now);
      co_return std::nullopt;
    }
    if (Decision.Step == TokenStep::Refused) {
      ++Dependencies.ProcessMetrics.counter("token_refusals_total");
      co_return Decision.RetryAfter;
    }
    ++Lease.Waiting;
    if (Decision.Step == TokenStep::Ask)
      startRequest(Account.Name, Lease, Decision.Owner, Now);
    else if (signal(Account.Name).expiry() != awaitsUntil(Lease))
      signal(Account.Name).expires_at(awaitsUntil(Lease));
    co_await signal(Account.Name).async_wait(UseTuple);
    --Lease.Waiting;
  }
}

void AllotmentExchange::giveBack(const AccountName &Account) {
  returnToken(State, Account, Dependencies.TimeSource.now());
}

Timer &AllotmentExchange::signal(const AccountName &Account) {
  return Signals.try_emplace(Account, Dependencies.Context).first->second;
}

void AllotmentExchange::startRequest(const AccountName &Account,
                                     TokenLease &Lease,
                                     const OwnerCandidate &Owner,
                                     TimePoint Now) {
  const std::int32_t Wanted = wantedTokens(Lease, Now);
  beginRequest(State, Lease, Owner.Host, Now);
  signal(Account).expires_at(Now + OwnerTimeout);
  ++Dependencies.ProcessMetrics.counter("token_requests_total");
  asio::co_spawn(
      Dependencies.Context,
      sendRequest(Account, *Lease.Pending, Wanted, Owner.PeerAddress),
      asio::detached);
}

// Outlasts the time-out of the owner: a late response tells that the owner is
// slow, and its tokens can still be used.
Awaitable<void> AllotmentExchange::sendRequest(AccountName Account,
                                               PendingTokenRequest Sent,
                                               std::int32_t Wanted,
                                               Endpoint Remote) {
  const auto Self = shared_from_this();
  wire::TokenRequest Request;
  Request.account = Account.Value;
  Request.wanted = Wanted;
  if (const auto Current = Dependencies.CurrentState.configuration())
    Request.configuration = static_cast<std::int64_t>(Current->Version.Value);
  wire::PeerBody Body;
  Body.__set_token_request(Request);
  const auto Reply =
      co_await Mesh.request(Remote, Body, Sent.SentAt + TokenLifetime);
  const auto Position = State.Leases.find(Account);
  if (Position == State.Leases.end())
    co_return;
  onReply(Sent, Position->second, Reply);
  signal(Account).cancel();
}

void AllotmentExchange::onReply(const PendingTokenRequest &Sent,
                                TokenLease &Lease,
                                const Result<wire::PeerBody> &Reply) {
  const TimePoint Now = Dependencies.TimeSource.now();
  if (!Reply || !Reply.value().__isset.token_grant) {
    if (onFailure(State, Lease, Sent.Number, Now))
      reportSilentOwner(Sent.Owner);
    return;
  }
  const wire::TokenGrant &Grant = Reply.value().token_grant;
  OwnerResponse Response;
  Response.Granted = std::clamp(Grant.granted, 0, GrantMaximum);
  Response.Lifetime = std::chrono::milliseconds(Grant.lifetime_ms);
  if (Grant.__isset.retry_after_ms)
    Response.RetryAfter = std::chrono::milliseconds(Grant.retry_after_ms);
  Dependencies.ProcessMetrics.counter("tokens_received_total") +=
      static_cast<std::uint64_t>(Response.Granted);
  onResponse(State, Lease, Sent, Response, Now);
  countVoidTokens(Lease);
}

void AllotmentExchange::onRequest(const wire::TokenRequest &Request,
                                  const PeerReply &Reply) {
  wire::TokenGrant Grant;
  Grant.account = Request.account;
  Grant.granted = 0;
  Grant.lifetime_ms = millisecondsRoundedUp(TokenLifetime);
  const auto Current = Dependencies.CurrentState.configuration();
  const std::int32_t Wanted = std::clamp(Request.wanted, 1, GrantMaximum);
  const ClientAccount *Holder =
      Current ? findAccountByName(*Current, AccountName(Request.account))
              : nullptr;
  if (Holder && Holder->Rate > 0) {
    const TimePoint Now = Dependencies.TimeSource.now();
    refreshView(Now);
    const GrantedBatch Batch = grantAsOwner(State, *Holder, Wanted, Now);
    Grant.granted = Batch.Granted;
    if (Batch.RetryAfter)
      Grant.__set_retry_after_ms(millisecondsRoundedUp(*Batch.RetryAfter));
    Dependencies.ProcessMetrics.counter("tokens_granted_total") +=
        static_cast<std::uint64_t>(Batch.Granted);
  } else if (Holder) {
    // No limit in this host's configuration.
    Grant.granted = Wanted;
  }
  wire::PeerBody Body;
  Body.__set_token_grant(Grant);
  Reply.send(Body);
}

void AllotmentExchange::tick() {
  const TimePoint Now = Dependencies.TimeSource.now();
  comfreyrill::tick(State, Now);
  if (hasLimits())
    refreshView(Now);
  std::erase_if(Signals, [&](const auto &Entry) {
    return !State.Leases.contains(Entry.first);
  });
}

bool AllotmentExchange::hasLimits() {
  const auto Current = Dependencies.CurrentState.configuration();
  if (Current == Examined)
    return HasLimits;
  Examined = Current;
  HasLimits =
      Current && Current->Accounts &&
      std::any_of(Current->Accounts->begin(), Current->Accounts->end(),
                  [](const ClientAccount &Known) { return Known.Rate > 0; });
  return HasLimits;
}

void AllotmentExchange::refreshView(TimePoint Now) {
  if (Now < NextView)
    return;
  NextView = Now + ViewInterval;
  FleetView View = currentView(Now);
  std::uint64_t Digest = View.LiveHosts * 65'536 + View.KnownHosts;
  for (const OwnerCandidate &Candidate : View.Candidates)
    Digest = Digest * 31 + std::hash<HostId>{}(Candidate.Host) +
             std::hash<Endpoint>{}(Candidate.PeerAddress);
  if (Digest == ViewDigest)
    return;
  ViewDigest = Digest;
  for (OwnerCandidate &Candidate : View.Candidates)
    Candidate.Hash = ownerHash(Candidate.Host);
  updateView(State, std::move(View), Now);
}

FleetView AllotmentExchange::currentView(TimePoint Now) const {
  FleetView View;
  View.Self = Members.Self.Host;
  const auto Add = [&](const HostId &Host, const Endpoint &PeerAddress) {
    View.Candidates.push_back({Host, PeerAddress, 0});
  };
  if (Members.Self.State == HostState::Ready)
    Add(Members.Self.Host, Members.Self.PeerAddress);
  std::size_t Gone = 0;
  for (const Peer &Other : Members.Peers) {
    if (isGone(Members, Other, Now))
      ++Gone;
    if (liveness(Members, Other, Now) != Liveness::Alive)
      continue;
    ++View.LiveHosts;
    if (Other.Description.State == HostState::Ready)
      Add(Other.Description.Host, Other.Description.PeerAddress);
  }
  for (const RemoteHost &Other : remoteHosts(Domains, Now))
    Add(Other.Host, Other.PeerAddress);
  View.LiveHosts += reachableHostCount(Domains, Now);
  // Counts hosts that are silent, because they may be serving behind a
  // partition, but none that has said that it leaves.
  const std::size_t Known = Dependencies.BudgetHostCount();
  View.KnownHosts = std::max(View.LiveHosts, Known - std::min(Known, Gone));
  return View;
}

void AllotmentExchange::reportSilentOwner(const HostId &Owner) {
  ++Dependencies.ProcessMetrics.counter("token_requests_unanswered_total");
  LogLine Line("allotment_owner_silent");
  Line.field("owner", Owner.Value);
  Dependencies.Events.write(LogLevel::Warning, "allotment_owner_silent", Line);
}

void AllotmentExchange::countVoidTokens(TokenLease &Lease) {
  if (Lease.VoidTokens == 0)
    return;
  Dependencies.ProcessMetrics.counter("tokens_void_total") += Lease.VoidTokens;
  Lease.VoidTokens = 0;
}

} // namespace comfreyrill
