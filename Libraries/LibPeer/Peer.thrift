// Messages between the hosts. A field is never renumbered; new fields are
// optional, so that hosts of two versions work together during a replacement.
namespace cpp comfreyrill.wire

enum HostState { STARTING = 1, READY = 2, LEAVING = 3 }

// What a host says about itself, or passes on about another one. In the sender
// of a short heartbeat the failure domain and the addresses are empty: they are
// those of the last complete heartbeat of the same incarnation.
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
  // Heartbeat of that host which the description is taken from; orders
  // descriptions of one incarnation that arrive over different hosts.
  10: optional i64 sequence
  // False after the host failed to reach the platform; absent means true.
  11: optional bool reaches_platform
  // Start of the process on its own wall clock. A hint that tells a successor
  // from its predecessor, because incarnations are random. Absent in a short
  // heartbeat.
  12: optional i64 started_at_ms
  // True while the host follows the platform's store for its failure domain.
  13: optional bool watches_store
}

// Calls in flight from one host to one target.
struct TargetLoad {
  1: required i32 target_index
  2: required i32 in_flight
}

// Loads of one service; target is the index in the manifest of that number.
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
  // Verifies the idempotency keys of the sender, so that a witness does not
  // record seals of forged keys. Sent in the first heartbeat of a connection.
  5: optional binary key_secret
}

struct DocumentRequest {
  1: required string name
  2: required i64 newer_than
}

// A document of the platform (manifest envelope or fleet list) passed on.
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

// How a call under a key ended. The answer is present exactly when the outcome
// is ANSWER; an answer that is too large to copy is sent as UNKNOWN.
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

// Evidence that a request crashed a target; or, with answered, that the target
// answered it completely, which clears the evidence.
struct CrashEvidence {
  1: required i64 fingerprint
  2: required string target
  3: optional bool answered
}

// What a probe found at a target that drains or has drained, so that the other
// hosts need no probe of their own to use it again.
struct ProbeNotice {
  1: required string service_name
  2: required string target
  3: required i32 in_flight
  4: required bool draining
}

struct ErrorReply { 1: required string message }

// A host as hosts of other failure domains need to know it.
struct HostBrief {
  1: required string host
  2: required string peer_address
  3: required string caller_address
  4: required HostState state
}

// What the delegates of a failure domain tell those of the others. The hosts
// are left out while the receiver has them; the digest tells.
struct DomainReport {
  1: required string failure_domain
  2: required i64 digest
  3: required i64 manifest_number
  4: required i64 targets_revision
  5: optional list<HostBrief> hosts
  // Passed on within the failure domain of the receiver; not to be passed on
  // again.
  6: optional bool relayed
  // The sender lacks the hosts of the receiver's failure domain.
  7: optional bool wants_hosts
  8: required string peer_address
}

// A host that knows no others asks a seed for some.
struct JoinRequest { 1: required HostDescription sender }

// Hosts of the failure domain of the asker, and a few of each other one.
struct Introduction { 1: required list<HostDescription> hosts }

// A target as registered. Of one that is gone, only the id counts.
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
}

// Load of a target as one host has just seen it.
struct ObservedLoad {
  1: required string target
  2: required i32 in_flight
  3: required i32 queued
  4: required i32 slots
  5: required i32 slowdown_percent
  6: required i32 age_ms
}

// How the requests ended that one host has sent to a target.
struct ObservedOutcomes {
  1: required string target
  2: required i32 failures
  3: required i32 successes
}

// What a host has seen since its last notice, for the hosts of its failure
// domain.
struct LoadNotice {
  1: required list<ObservedLoad> loads
  2: optional list<ObservedOutcomes> outcomes
}

// Changes of the targets from one revision to another; from 0 it is the
// complete list.
struct TargetUpdate {
  1: required i64 base_revision
  2: required i64 revision
  3: required list<TargetRecord> records
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
}

// A correlation of 0 marks a message that expects no reply; a reply repeats the
// correlation of its request.
struct PeerMessage {
  1: required i64 correlation
  2: required PeerBody body
}
