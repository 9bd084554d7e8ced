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

/// A call that must not run twice.
struct KeyedCall {
  std::string KeyText;
  /// As the caller sent it, for passing on to the issuer of the key.
  HttpRequest Original;
  std::uint64_t Fingerprint = 0;
  bool IsRelayed = false;
  TimePoint Deadline;
  RequestId Id;
  ServiceName Service;
  WitnessPlacement Placement = WitnessPlacement::SameDomain;
  /// Set when this host would refuse to run the call. A key that has not been
  /// used is then sealed, since its caller is told that it was not run.
  std::optional<CallResult> Refusal;
  /// Sends the call to targets; asks the hooks before each attempt.
  std::function<Awaitable<CallResult>(AttemptHooks)> Run;
};

/// Runs calls under idempotency keys at most once, together with the witness
/// and issuer processes on other hosts.
class KeyedCalls {
public:
  KeyedCalls(const DaemonDependencies &Dependencies, HostProcess Self,
             PeerMesh &Mesh, PeerDirectory Directory);

  /// A new key, bound to this process and a witness.
  std::string issue(WitnessPlacement Placement);

  Awaitable<CallResult> handle(KeyedCall Call);

  /// Messages of other hosts.
  wire::PeerBody onGrantRequest(const wire::GrantRequest &Message);
  wire::PeerBody onSealRequest(const wire::SealRequest &Message);
  void onOutcomeNotice(const wire::OutcomeNotice &Message);
  void onIssuerSecret(HostIncarnation Issuer, std::string_view Secret);

  const std::string &secret() const { return Issuer.Secret; }
  /// Drops records whose time is up. Called now and then.
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
  /// Witnesses that let a grant request time out, and until when they are not
  /// chosen. The membership takes a second to suspect a frozen host.
  std::unordered_map<HostIncarnation, TimePoint> AvoidedWitnesses;
  std::unordered_map<std::uint64_t, std::shared_ptr<InFlight>> Running;
};

} // namespace comfreyrill
