// Messages between hosts. Fields are never renumbered and new fields are
// optional, so that hosts of two versions interoperate during a rolling update.
namespace cpp comfreyrill.wire

enum HostState { STARTING = 1, READY = 2, LEAVING = 3 }

// Description that a host sends of itself or forwards for another host. In the
// sender of a short heartbeat the failure domain and the addresses are empty and
// are taken from the last complete heartbeat of the same incarnation.
struct HostDescription {
  1: required string host
  2: required i64 incarnation
  3: required string failure_domain
  4: required string peer_address
  5: required string caller_address
  6: required string admin_address
  7: required HostState state
  8: required i64 manifest_number
  9: optional i64 fleet_version
  // Sequence number of the heartbeat that the description was taken from. Orders
  // descriptions of one incarnation that arrive through different hosts.
  10: optional i64 sequence
  // False after the host failed to reach the platform; absent means true.
  11: optional bool reaches_platform
  // Start time of the process by its own wall clock. Helps to tell which of two
  // incarnations is newer, because incarnations are random. Absent in a short
  // heartbeat.
  12: optional i64 started_at_ms
  // True while the host watches the platform's store for its failure domain.
  13: optional bool watches_store
}

// Number of calls in flight from one host to one target.
struct TargetLoad {
  1: required i32 target_index
  2: required i32 in_flight
}

// Loads of the targets of one service. Indexes refer to the manifest whose
// number the sender reports.
struct ServiceLoad {
  1: required i32 service_index
  2: required list<TargetLoad> targets
}

struct Heartbeat {
  1: required HostDescription sender
  2: required i64 sequence
  // Other hosts known to the sender; sent in full only when they changed.
  3: optional list<HostDescription> known
  4: optional list<ServiceLoad> loads
  // Secret with which a witness verifies the idempotency keys of the sender, so
  // that seals of forged keys are not recorded. Sent in the first heartbeat of a
  // connection.
  5: optional binary key_secret
}

struct DocumentRequest {
  1: required string name
  2: required i64 newer_than
}

// Forwarded document of the platform (manifest envelope or fleet list).
struct DocumentReply {
  1: required string name
  2: required i64 number
  3: required binary value
}

struct GrantRequest {
  1: required string key
  2: required i64 fingerprint
}

enum GrantVerdict { GRANTED = 1, SEALED = 2, WRONG_INCARNATION = 3, EXPIRED = 4, CONFLICT = 5 }

struct GrantReply { 1: required GrantVerdict verdict }

struct SealRequest { 1: required string key }

enum SealVerdict { SEALED = 1, MAY_HAVE_RUN = 2, FINISHED = 3, WRONG_INCARNATION = 4, EXPIRED = 5, FORGED = 6 }

enum CallOutcome { ANSWER = 1, NOT_RUN = 2, UNKNOWN = 3 }

// Result of a call with an idempotency key. The answer is present exactly when
// the outcome is ANSWER; an answer that is too large to copy is sent as UNKNOWN.
struct StoredOutcome {
  1: required CallOutcome outcome
  2: required string reason
  3: optional binary answer
  4: required i64 fingerprint
}

struct SealReply {
  1: required SealVerdict verdict
  2: optional StoredOutcome stored
}

struct OutcomeNotice {
  1: required string key
  2: required StoredOutcome stored
}

// Evidence that a request crashed a target. When answered is true, the target
// answered the request completely, which clears the evidence.
struct CrashEvidence {
  1: required i64 fingerprint
  2: required string target
  3: optional bool answered
}

// Probe result of a target that is draining or has drained. Spares the other
// hosts their own probe before they use the target again.
struct ProbeNotice {
  1: required string service_name
  2: required string target
  3: required i32 in_flight
  4: required bool draining
}

struct ErrorReply { 1: required string message }

// Short host description for hosts of other failure domains.
struct HostBrief {
  1: required string host
  2: required string peer_address
  3: required string caller_address
  4: required HostState state
}

// Report from the delegates of a failure domain to the delegates of the others.
// The hosts are omitted while the digest shows that the receiver has them.
struct DomainReport {
  1: required string failure_domain
  2: required i64 digest
  3: required i64 manifest_number
  4: required i64 targets_revision
  5: optional list<HostBrief> hosts
  // True when the report was forwarded within the failure domain of the
  // receiver. Such a report is not forwarded again.
  6: optional bool relayed
  // True when the sender needs the hosts of the receiver's failure domain.
  7: optional bool wants_hosts
  8: required string peer_address
}

// Request to a seed for other hosts, sent by a host that knows none.
struct JoinRequest { 1: required HostDescription sender }

// Reply to a join request: the hosts of the joining host's failure domain and
// a few of each other failure domain.
struct Introduction { 1: required list<HostDescription> hosts }

// Registration of a target. For a deregistered target (gone), only the id is
// used; for a departed one, also the start time and whether it was draining.
struct TargetRecord {
  1: required string target
  2: optional bool gone
  3: optional string service_name
  4: optional string address
  5: optional string failure_domain
  6: optional i32 slots
  7: optional bool draining
  8: optional i64 cold_ms
  9: optional i64 started_at_ms
  // Time for which a registration from a restored store is not to be used.
  10: optional i64 held_back_ms
  // Time since the departure of a departed target.
  11: optional i64 departed_ms
}

// Load of a target as last observed by one host.
struct ObservedLoad {
  1: required string target
  2: required i32 in_flight
  3: required i32 queued
  4: required i32 slots
  5: required i32 slowdown_percent
  6: required i32 age_ms
}

// Results of the requests that one host has sent to a target.
struct ObservedOutcomes {
  1: required string target
  2: required i32 failures
  3: required i32 successes
}

// Process of a target that has said in an answer that it leaves.
struct LeavingTarget {
  1: required string target
  2: required i64 started_at_ms
}

// A target process that crashed while it was running a request. The request is
// given by a fingerprint, the process by a digest.
struct RequestCrash {
  1: required i64 fingerprint
  2: required i64 lifetime
  3: required i32 age_ms
}

// A complete answer to a request, which clears it of all earlier crashes.
struct RequestAnswer {
  1: required i64 fingerprint
  2: required i32 age_ms
}

// Crashes and answers that a host has learned of since its last notice, or all
// that the receiver may have missed. Receivers pass on what is news to them.
struct CrashNotice {
  // Of the host that sends this notice.
  1: required string failure_domain
  2: required list<RequestCrash> crashes
  3: optional list<RequestAnswer> answers
}

// Request for tokens of a client account, sent to the owner of its allotment.
struct TokenRequest {
  1: required string account
  // Tokens that the sender could use now.
  2: required i32 wanted
  // The sender's configuration; an owner with another one grants by its own.
  3: required i64 configuration
}

// Tokens granted from an allotment. They are void when their lifetime is over.
struct TokenGrant {
  1: required string account
  2: required i32 granted
  3: required i32 lifetime_ms
  // Time after which a token will be available; only when none was granted.
  4: optional i32 retry_after_ms
}

// Failure domains whose targets must receive nothing, as of a revision of the
// platform's store.
struct EvacuationList {
  1: required i64 revision
  2: required list<string> failure_domains
}

// Cold target that this host has observed.
struct ColdTarget {
  1: required string target
  2: required i64 started_at_ms
  3: required i32 left_ms
}

// Load of one service in one failure domain: sums over the targets that may
// receive requests and are not cold.
struct ServiceSummary {
  1: required string service_name
  2: required i32 targets
  // Targets whose load is known; the slots are summed over these only.
  3: required i32 known_targets
  4: required i32 useful_slots
  5: required i32 busy_slots
  // Mean over the targets whose load is known.
  6: required i32 slowdown_percent
  // The requests of the failure domain need more slots than it has.
  7: optional bool pressed
}

struct DomainSummary {
  1: required string failure_domain
  2: required i32 age_ms
  3: required list<ServiceSummary> services
  // One-way delay from the failure domain of the sender, in a relayed notice.
  4: optional i32 delay_us
}

// Summaries that the delegates of a failure domain send to those of the others,
// and that one of the receivers relays within its own failure domain.
struct DomainNotice {
  1: required string failure_domain
  2: required list<DomainSummary> summaries
  // Services for which the sender's failure domain needs summaries of the others.
  3: optional list<string> wanted
  // Time of the sender's clock, which the receiver returns together with the time
  // for which it held the notice.
  4: optional i64 sent_us
  5: optional i64 echo_us
  6: optional i64 echo_held_us
  // Peer listener of the sender.
  7: optional string peer_address
}

// Loads and results that a host has observed since its last notice, sent to the
// hosts of its failure domain.
struct LoadNotice {
  1: required list<ObservedLoad> loads
  2: optional list<ObservedOutcomes> outcomes
  3: optional list<LeavingTarget> leaving
  // Sent in notices of their own, also to other failure domains. A field here
  // rather than a message, because hosts of earlier versions refuse unknown
  // messages.
  4: optional CrashNotice crashes
  5: optional list<ColdTarget> cold
  6: optional EvacuationList evacuations
  // Sent in notices of their own, also to other failure domains.
  7: optional DomainNotice domains
}

// Delta of the targets between two revisions; with base revision 0, the complete
// list.
struct TargetUpdate {
  1: required i64 base_revision
  2: required i64 revision
  3: required list<TargetRecord> records
  // In a complete list, targets that were removed or that leave.
  4: optional list<TargetRecord> departed
}

union PeerBody {
  1: Heartbeat heartbeat
  2: DocumentRequest document_request
  3: DocumentReply document_reply
  4: GrantRequest grant_request
  5: GrantReply grant_reply
  6: SealRequest seal_request
  7: SealReply seal_reply
  8: OutcomeNotice outcome_notice
  9: CrashEvidence crash_evidence
  10: ErrorReply error
  11: ProbeNotice probe_notice
  12: DomainReport domain_report
  13: JoinRequest join_request
  14: Introduction introduction
  15: TargetUpdate target_update
  16: LoadNotice load_notice
  17: TokenRequest token_request
  18: TokenGrant token_grant
}

// A correlation of 0 marks a message that expects no reply; a reply carries the
// correlation of its request.
struct PeerMessage {
  1: required i64 correlation
  2: required PeerBody body
}
