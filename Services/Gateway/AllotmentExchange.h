#pragma once

#include "GatewayDependencies.h"

#include <LibAccount/TokenPreview.h>
#include <LibMembership/DomainTable.h>
#include <LibMembership/MemberTable.h>
#include <LibPeer/PeerMesh.h>
#include <LibPeer/PeerServer.h>

#include <memory>

namespace comfreyrill {

/// Limits the requests of client accounts over all hosts: takes tokens from the
/// host that owns the allotment of an account, and grants tokens of the
/// allotments that this host owns. Sends nothing while no account has a limit.
class AllotmentExchange
    : public std::enable_shared_from_this<AllotmentExchange> {
public:
  AllotmentExchange(const GatewayDependencies &Dependencies,
                    const MemberTable &Members, const DomainTable &Domains,
                    PeerMesh &Mesh);

  /// Takes a token for one request of the account. Returns nothing when the
  /// request may run, otherwise the time after which the caller should retry.
  /// Takes at most about 90 ms.
  Awaitable<std::optional<Duration>> acquire(const ClientAccount &Holder);

  /// Returns what acquire() would find, without taking or requesting tokens.
  TokenPreview preview(const ClientAccount &Holder, Random &Other) const {
    return previewToken(State, Holder, Other, Dependencies.TimeSource.now());
  }

  /// Returns the token of a request that was then rejected for another reason
  /// and has not run.
  void giveBack(const AccountName &Account);

  /// Grants tokens to another host.
  void onRequest(const wire::TokenRequest &Request, const PeerReply &Reply);

  /// Called several times a second.
  void tick();

private:
  bool hasLimits();
  void refreshView(TimePoint Now);
  FleetView currentView(TimePoint Now) const;
  Timer &signal(const AccountName &Account);
  void startRequest(const AccountName &Account, TokenLease &Lease,
                    const OwnerCandidate &Owner, TimePoint Now);
  Awaitable<void> sendRequest(AccountName Account, PendingTokenRequest Sent,
                              std::int32_t Wanted, Endpoint Remote);
  void onReply(const PendingTokenRequest &Sent, TokenLease &Lease,
               const Result<wire::PeerBody> &Reply);
  void reportSilentOwner(const HostId &Owner);
  void countVoidTokens(TokenLease &Lease);

  const GatewayDependencies &Dependencies;
  const MemberTable &Members;
  const DomainTable &Domains;
  PeerMesh &Mesh;
  Allotments State;
  /// Configuration for which HasLimits was computed.
  std::shared_ptr<const Configuration> Examined;
  bool HasLimits = false;
  TimePoint NextView;
  std::uint64_t ViewDigest = 0;
  /// Expires when the owner that an account awaits has not responded in time;
  /// cancelled to wake the waiting callers earlier.
  std::map<AccountName, Timer> Signals;
};

} // namespace comfreyrill
