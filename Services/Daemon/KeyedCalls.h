#pragma once

#include "CallExecution.h"
#include "PeerDirectory.h"

#include <LibOnce/Issuer.h>
#include <LibOnce/Witness.h>
#include <LibPeer/PeerMesh.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace comfreyrill {

/// A call with an idempotency key, which must not run twice.
struct KeyedCall {
  std::string KeyText;
  /// The request as the caller sent it, for relaying to the issuer of the key.
  HttpRequest Original;
  std::uint64_t Fingerprint = 0;
  bool IsRelayed = false;
  TimePoint Deadline;
  RequestId Id;
  ServiceName Service;
  WitnessPlacement Placement = WitnessPlacement::SameDomain;
  /// Set when this host refuses to run the call. A key that has not been used
  /// is then sealed, because the caller is told that the request was not run.
  std::optional<CallResult> Refusal;
  /// Sends the call to targets and calls the hooks around each attempt.
  std::function<Awaitable<CallResult>(AttemptHooks)> Run;
};

/// Runs calls with idempotency keys at most once, in cooperation with the
/// issuers and witnesses of the keys on other hosts.
class KeyedCalls {
public:
  KeyedCalls(const DaemonDependencies &Dependencies, HostProcess Self,
             PeerMesh &Mesh, PeerDirectory Directory);

  /// Returns a new key, which is bound to this process and a witness. The key
  /// has no witness when no peer can be one.
  std::string issue(WitnessPlacement Placement);

  Awaitable<CallResult> handle(KeyedCall Call);

  /// Handlers of messages from other hosts.
  wire::PeerBody onGrantRequest(const wire::GrantRequest &Message);
  wire::PeerBody onSealRequest(const wire::SealRequest &Message);
  void onOutcomeNotice(const wire::OutcomeNotice &Message);
  void onIssuerSecret(HostIncarnation Issuer, std::string_view Secret);

  const std::string &secret() const { return Issuer.Secret; }
  /// Removes the records that are older than the limits of the issuer and the
  /// witness. Called periodically.
  void removeOldRecords();
  std::size_t issuerRecords() const { return Issuer.Table.Records.size(); }
  std::size_t witnessRecords() const { return Witness.Table.Records.size(); }

private:
  struct InFlight;

  Awaitable<CallResult> requestGrant(KeyedCall &Call,
                                     const IdempotencyKey &Key);
  Awaitable<CallResult> runGranted(KeyedCall &Call, const IdempotencyKey &Key);
  Awaitable<CallResult> join(const KeyedCall &Call, const IdempotencyKey &Key);
  Awaitable<CallResult> relayToIssuer(KeyedCall &Call,
                                      const IdempotencyKey &Key);
  Awaitable<CallResult> sealAtWitness(const KeyedCall &Call,
                                      const IdempotencyKey &Key);
  std::vector<WitnessCandidate> witnessCandidates();
  CallResult withNextKey(const KeyedCall &Call, CallResult Result);
  void notifyWitness(const IdempotencyKey &Key, const SharedOutcome &Stored);
  void wakeJoinedCalls(const IdempotencyKey &Key);
  void log(const KeyedCall &Call, std::string_view Step,
           std::string_view Reason) const;

  DaemonDependencies Dependencies;
  PeerMesh &Mesh;
  PeerDirectory Directory;
  IssuerState Issuer;
  WitnessState Witness;
  /// Witnesses that did not reply to a grant request, each with the time until
  /// which it is not chosen again. Failure detection takes a second to suspect
  /// a frozen host.
  std::unordered_map<HostIncarnation, TimePoint> AvoidedWitnesses;
  std::unordered_map<std::uint64_t, std::shared_ptr<InFlight>> Running;
};

} // namespace comfreyrill
