#include "KeyedCalls.h"

#include "HeaderNames.h"
#include "OutcomeCodec.h"

#include <LibHttp/HttpClient.h>
#include <LibOnce/Relay.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// A witness replies within a fraction of a millisecond. A longer timeout would
// only delay the caller, which can retry immediately with the next key.
constexpr Duration GrantTimeout = std::chrono::milliseconds(500);
// Long enough for failure detection to suspect a frozen host.
constexpr Duration WitnessAvoidanceTime = std::chrono::seconds(2);
constexpr Duration SealTimeout = std::chrono::milliseconds(500);
// Time reserved for the seal request to the witness when the issuer does not
// answer.
constexpr Duration SealTimeReserve = std::chrono::milliseconds(100);
// Timeout for an issuer whose heartbeats have stopped.
constexpr Duration SilentIssuerTimeout = std::chrono::milliseconds(200);
constexpr std::size_t SecretBytes = 32;

wire::PeerBody errorBody(const Error &Cause) {
  wire::ErrorReply Reply;
  Reply.__set_message(Cause.Message);
  wire::PeerBody Body;
  Body.__set_error(Reply);
  return Body;
}

bool isRelayRefusal(const HttpResponse &Response) {
  return Response.result() == http::status::misdirected_request;
}

Result<SealReply> fromWire(const wire::SealReply &Message) {
  const int Value = Message.verdict;
  if (Value < static_cast<int>(SealVerdict::Sealed) ||
      Value > static_cast<int>(SealVerdict::Forged))
    return Error{ErrorKind::InvalidInput,
                 "a seal reply has the verdict " + std::to_string(Value) +
                     "; upgrade the sending host to this version"};
  SealReply Reply;
  Reply.Verdict = static_cast<SealVerdict>(Value);
  if (Message.__isset.stored) {
    TRY(auto Stored, comfreyrill::fromWire(Message.stored));
    Reply.Stored = std::make_shared<const StoredOutcome>(std::move(Stored));
  }
  return Reply;
}

} // namespace

struct KeyedCalls::InFlight {
  explicit InFlight(const Executor &Context) : Done(Context) {
    Done.expires_at(TimePoint::max());
  }

  Timer Done;
};

KeyedCalls::KeyedCalls(const DaemonDependencies &Dependencies, HostProcess Self,
                       PeerMesh &Mesh, PeerDirectory Directory)
    : Dependencies(Dependencies), Mesh(Mesh), Directory(std::move(Directory)) {
  Issuer.Self = Self;
  Issuer.Secret = randomSecret(SecretBytes);
  Witness.Self = std::move(Self);
}

std::string KeyedCalls::issue(WitnessPlacement Placement) {
  const auto Candidates = witnessCandidates();
  const WitnessChoice Chosen =
      chooseWitness(Candidates, Issuer.Self.Host, Dependencies.HostDomain,
                    Placement, Dependencies.Generator);
  const std::string Text = formatKey(
      issueKey(Issuer, Chosen.Witness, Dependencies.TimeSource.now()));
  constexpr std::string_view KindNames[] = {"as_placed", "elsewhere",
                                            "no_peer"};
  LogLine Line("key_issued");
  Line.field("key", Text)
      .field("witness", Chosen.Witness ? Chosen.Witness->Host.Value : "none")
      .field("reason", KindNames[static_cast<int>(Chosen.Kind)]);
  Dependencies.Decisions.write(Line);
  return Text;
}

std::vector<WitnessCandidate> KeyedCalls::witnessCandidates() {
  const TimePoint Now = Dependencies.TimeSource.now();
  std::erase_if(AvoidedWitnesses,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::vector<WitnessCandidate> Candidates = Directory.Candidates();
  for (WitnessCandidate &Candidate : Candidates)
    if (AvoidedWitnesses.contains(Candidate.Process.Incarnation))
      Candidate.Ready = false;
  return Candidates;
}

Awaitable<CallResult> KeyedCalls::handle(KeyedCall Call) {
  const auto Parsed = parseKey(Call.KeyText);
  if (!Parsed)
    co_return invalidRequestResult(http::status::bad_request, "faulty_key",
                                   Parsed.error().Message);
  const IdempotencyKey Key = Parsed.value();
  const TimePoint Now = Dependencies.TimeSource.now();
  const BeginDecision Decision =
      Call.Refusal
          ? refuseCall(Issuer, Key, Call.Fingerprint, Call.Refusal->Reason, Now)
          : beginCall(Issuer, Key, Call.Fingerprint, Now);
  switch (Decision.Verdict) {
  case BeginVerdict::AskWitness:
    co_return co_await requestGrant(Call, Key);
  case BeginVerdict::Run:
    co_return co_await runGranted(Call, Key);
  case BeginVerdict::Join:
    co_return co_await join(Call, Key);
  case BeginVerdict::Replay:
    log(Call, "replay", Decision.Stored->Reason);
    // The refusal that has just sealed the key has a more specific message than
    // the stored outcome.
    if (Call.Refusal && Call.Refusal->Reason == Decision.Stored->Reason) {
      notifyWitness(Key, Decision.Stored);
      co_return withNextKey(Call, std::move(*Call.Refusal));
    }
    co_return withNextKey(Call, fromStored(*Decision.Stored));
  case BeginVerdict::NotRun:
    log(Call, "not_run", "key_sealed");
    if (Call.Refusal)
      co_return withNextKey(Call, std::move(*Call.Refusal));
    co_return withNextKey(
        Call, notRunResult("key_sealed", "the key can no longer be used and "
                                         "its request was not run; send the "
                                         "request again under the next key"));
  case BeginVerdict::Unknown:
    log(Call, "unknown", "record_dropped");
    co_return unknownResult("record_dropped",
                            "the record of this key has been dropped; check "
                            "if the request took effect");
  case BeginVerdict::Conflict:
    log(Call, "refuse", "key_conflict");
    co_return invalidRequestResult(
        http::status::conflict, "key_conflict",
        "the key belongs to a request with another method, path or body; "
        "fetch a new key from POST /v1/keys for this request");
  case BeginVerdict::Forged:
    log(Call, "refuse", "key_forged");
    co_return invalidRequestResult(
        http::status::bad_request, "key_forged",
        "this host did not issue the key; fetch one from POST /v1/keys");
  case BeginVerdict::Expired:
    log(Call, "not_run", "key_expired");
    co_return withNextKey(
        Call, notRunResult("key_expired", "the key was not used in time and "
                                          "its request was not run; send the "
                                          "request again under the next key"));
  case BeginVerdict::NotThisIncarnation:
    co_return co_await relayToIssuer(Call, Key);
  }
  co_return unknownResult("internal", "the record of the key is in an unknown "
                                      "state; report this as a defect");
}

Awaitable<CallResult> KeyedCalls::requestGrant(KeyedCall &Call,
                                               const IdempotencyKey &Key) {
  const auto Entry = std::make_shared<InFlight>(Dependencies.Context);
  Running.emplace(Key.Sequence, Entry);
  GrantDecision Decision;
  const auto Address = Directory.Find(*Key.Witness);
  const TimePoint Now = Dependencies.TimeSource.now();
  if (!Address) {
    Decision = recordGrantTimeout(Issuer, Key, Now);
  } else {
    wire::GrantRequest Request;
    Request.__set_key(Call.KeyText);
    Request.__set_fingerprint(static_cast<std::int64_t>(Call.Fingerprint));
    wire::PeerBody Body;
    Body.__set_grant_request(Request);
    const TimePoint ReplyDeadline = std::min(Call.Deadline, Now + GrantTimeout);
    const auto Reply =
        co_await Mesh.request(Address->Peer, Body, ReplyDeadline);
    const TimePoint Arrival = Dependencies.TimeSource.now();
    if (Reply && Reply.value().__isset.grant_reply)
      Decision = recordGrantReply(
          Issuer, Key,
          static_cast<GrantVerdict>(Reply.value().grant_reply.verdict),
          Arrival);
    else
      Decision = recordGrantTimeout(Issuer, Key, Arrival);
    if (!Reply)
      AvoidedWitnesses[Key.Witness->Incarnation] =
          Arrival + WitnessAvoidanceTime;
  }
  if (Decision.Step == GrantStep::Run)
    co_return co_await runGranted(Call, Key);
  log(Call, "not_run", Decision.Stored->Reason);
  notifyWitness(Key, Decision.Stored);
  wakeJoinedCalls(Key);
  co_return withNextKey(Call, fromStored(*Decision.Stored));
}

Awaitable<CallResult> KeyedCalls::runGranted(KeyedCall &Call,
                                             const IdempotencyKey &Key) {
  if (!Running.contains(Key.Sequence))
    Running.emplace(Key.Sequence,
                    std::make_shared<InFlight>(Dependencies.Context));
  AttemptHooks Hooks;
  Hooks.MayBegin = [this, Key, Deadline = Call.Deadline] {
    return beginAttempt(Issuer, Key, Deadline, Dependencies.TimeSource.now());
  };
  Hooks.ProvedNotRun = [this, Key] { recordAttemptNotRun(Issuer, Key); };
  CallResult Result = co_await Call.Run(std::move(Hooks));
  const SharedOutcome Stored =
      finishCall(Issuer, Key, toStored(Result), Dependencies.TimeSource.now());
  notifyWitness(Key, Stored);
  wakeJoinedCalls(Key);
  if (Result.Kind == Outcome::NotRun && Stored->Outcome != CallOutcome::NotRun)
    co_return fromStored(*Stored);
  co_return withNextKey(Call, std::move(Result));
}

Awaitable<CallResult> KeyedCalls::join(const KeyedCall &Call,
                                       const IdempotencyKey &Key) {
  log(Call, "join", "in_flight");
  const auto Position = Running.find(Key.Sequence);
  if (Position != Running.end()) {
    const auto Entry = Position->second;
    Timer DeadlineTimer(Dependencies.Context);
    DeadlineTimer.expires_at(Call.Deadline);
    // Entry->Done ends the wait when the running call ends; this caller's own
    // timer ends the wait at its deadline.
    DeadlineTimer.async_wait([Weak = std::weak_ptr(Entry)](const auto &Code) {
      if (const auto Waiting = Weak.lock(); Waiting && !Code)
        Waiting->Done.cancel();
    });
    while (Running.contains(Key.Sequence) &&
           Dependencies.TimeSource.now() < Call.Deadline)
      co_await Entry->Done.async_wait(UseTuple);
  }
  const BeginDecision Decision =
      beginCall(Issuer, Key, Call.Fingerprint, Dependencies.TimeSource.now());
  if (Decision.Verdict == BeginVerdict::Replay)
    co_return withNextKey(Call, fromStored(*Decision.Stored));
  co_return unknownResult("in_flight",
                          "the request is still running; send it again under "
                          "the same key to receive its answer");
}

Awaitable<CallResult> KeyedCalls::relayToIssuer(KeyedCall &Call,
                                                const IdempotencyKey &Key) {
  if (Call.IsRelayed)
    co_return invalidRequestResult(
        http::status::misdirected_request, "other_incarnation",
        "the process that issued the key no longer runs");
  const auto Address = Directory.Find(Key.Issuer);
  IssuerResult Result = IssuerResult::OtherIncarnation;
  if (Address) {
    const TimePoint Now = Dependencies.TimeSource.now();
    TimePoint ReplyDeadline = Call.Deadline - SealTimeReserve;
    if (!Address->IsAlive)
      ReplyDeadline = std::min(ReplyDeadline, Now + SilentIssuerTimeout);
    HttpRequest Request = Call.Original;
    Request.set(header::Relayed, "1");
    Request.set(header::TimeoutMilliseconds,
                std::to_string(std::max<std::int64_t>(
                    1, std::chrono::duration_cast<std::chrono::milliseconds>(
                           ReplyDeadline - Now)
                           .count())));
    log(Call, "relay", Key.Issuer.Host.Value);
    auto Connection =
        co_await Dependencies.Pool.acquire(Address->Caller, ReplyDeadline);
    if (!Connection) {
      Result = IssuerResult::Unreachable;
    } else {
      auto Response = co_await Connection.value()->exchange(
          Request, Dependencies.TargetLimits, ReplyDeadline);
      if (Response) {
        Dependencies.Pool.release(Address->Caller,
                                  std::move(Connection.value()));
        Result = isRelayRefusal(Response.value())
                     ? IssuerResult::OtherIncarnation
                     : IssuerResult::Answered;
      } else {
        Result = IssuerResult::TimedOut;
      }
      if (Result == IssuerResult::Answered)
        co_return relayedResult(std::move(Response.value()));
    }
  }
  if (decideAfterIssuer(Key, Result) == RelayStep::AskWitness)
    co_return co_await sealAtWitness(Call, Key);
  log(Call, "unknown", "no_witness");
  co_return unknownResult("issuer_unreachable",
                          "the host that issued the key does not answer and "
                          "the key has no witness; check if the request took "
                          "effect");
}

Awaitable<CallResult> KeyedCalls::sealAtWitness(const KeyedCall &Call,
                                                const IdempotencyKey &Key) {
  std::optional<SealReply> Reply;
  if (*Key.Witness == Witness.Self) {
    Reply = sealKey(Witness, Key, Dependencies.TimeSource.now());
  } else if (const auto Address = Directory.Find(*Key.Witness)) {
    wire::SealRequest Request;
    Request.__set_key(Call.KeyText);
    wire::PeerBody Body;
    Body.__set_seal_request(Request);
    const TimePoint ReplyDeadline = Dependencies.TimeSource.now() + SealTimeout;
    const auto Received = co_await Mesh.request(
        Address->Peer, Body, std::min(Call.Deadline, ReplyDeadline));
    if (Received && Received.value().__isset.seal_reply) {
      auto Converted = fromWire(Received.value().seal_reply);
      if (Converted)
        Reply = std::move(Converted.value());
    }
  }
  const RelayDecision Decision =
      decideAfterWitness(Reply ? &*Reply : nullptr, Call.Fingerprint);
  log(Call, "seal", Decision.Reason);
  if (Decision.Conflict)
    co_return invalidRequestResult(
        http::status::conflict, Decision.Reason,
        "the key belongs to another request; fetch a new key from POST "
        "/v1/keys for this one");
  if (Decision.Forged)
    co_return invalidRequestResult(
        http::status::bad_request, Decision.Reason,
        "no host issued the key; fetch one from POST /v1/keys");
  if (Decision.Stored)
    co_return withNextKey(Call, fromStored(*Decision.Stored));
  StoredOutcome WithoutAnswer;
  WithoutAnswer.Outcome = Decision.Outcome;
  WithoutAnswer.Reason = Decision.Reason;
  co_return withNextKey(Call, fromStored(WithoutAnswer));
}

CallResult KeyedCalls::withNextKey(const KeyedCall &Call, CallResult Result) {
  if (Result.Kind == Outcome::NotRun)
    Result.NextKey = issue(Call.Placement);
  return Result;
}

void KeyedCalls::notifyWitness(const IdempotencyKey &Key,
                               const SharedOutcome &Stored) {
  if (!Key.Witness || !Stored)
    return;
  const auto Address = Directory.Find(*Key.Witness);
  if (!Address)
    return;
  wire::OutcomeNotice Notice;
  Notice.__set_key(formatKey(Key));
  Notice.__set_stored(toWire(*outcomeForWitness(Issuer, Stored)));
  wire::PeerBody Body;
  Body.__set_outcome_notice(Notice);
  // If the notice is lost, a caller receives "unknown" at worst.
  const auto Sent = Mesh.send(Address->Peer, Body);
  if (!Sent)
    ++Dependencies.ProcessMetrics.counter("outcome_notices_dropped_total");
}

void KeyedCalls::wakeJoinedCalls(const IdempotencyKey &Key) {
  const auto Position = Running.find(Key.Sequence);
  if (Position == Running.end())
    return;
  const auto Entry = Position->second;
  Running.erase(Position);
  Entry->Done.cancel();
}

wire::PeerBody KeyedCalls::onGrantRequest(const wire::GrantRequest &Message) {
  const auto Key = parseKey(Message.key);
  if (!Key)
    return errorBody(Key.error());
  wire::PeerBody Body;
  const GrantVerdict Verdict = recordGrant(
      Witness, Key.value(), static_cast<std::uint64_t>(Message.fingerprint),
      Dependencies.TimeSource.now());
  wire::GrantReply Reply;
  Reply.__set_verdict(
      static_cast<wire::GrantVerdict::type>(static_cast<int>(Verdict)));
  Body.__set_grant_reply(Reply);
  return Body;
}

wire::PeerBody KeyedCalls::onSealRequest(const wire::SealRequest &Message) {
  const auto Key = parseKey(Message.key);
  if (!Key)
    return errorBody(Key.error());
  wire::PeerBody Body;
  const SealReply Result =
      sealKey(Witness, Key.value(), Dependencies.TimeSource.now());
  wire::SealReply Reply;
  Reply.__set_verdict(
      static_cast<wire::SealVerdict::type>(static_cast<int>(Result.Verdict)));
  if (Result.Stored)
    Reply.__set_stored(toWire(*Result.Stored));
  Body.__set_seal_reply(Reply);
  return Body;
}

void KeyedCalls::onOutcomeNotice(const wire::OutcomeNotice &Message) {
  const auto Key = parseKey(Message.key);
  auto Stored = comfreyrill::fromWire(Message.stored);
  if (!Key || !Stored) {
    ++Dependencies.ProcessMetrics.counter("peer_messages_invalid_total");
    return;
  }
  const NoticeVerdict Verdict =
      recordOutcome(Witness, Key.value(), std::move(Stored.value()),
                    Dependencies.TimeSource.now());
  if (Verdict == NoticeVerdict::Contradiction) {
    LogLine Line("sealed_key_ran");
    Line.field("key", Message.key)
        .field("remedy", "report this as a defect with the logs of all hosts");
    Dependencies.Decisions.warn(Line);
    ++Dependencies.ProcessMetrics.counter("sealed_keys_ran_total");
  }
}

void KeyedCalls::onIssuerSecret(HostIncarnation Sender,
                                std::string_view Secret) {
  registerIssuer(Witness, Sender, Secret);
}

void KeyedCalls::removeOldRecords() {
  const TimePoint Now = Dependencies.TimeSource.now();
  dropAgedRecords(Issuer, Now);
  dropAgedRecords(Witness, Now);
}

void KeyedCalls::log(const KeyedCall &Call, std::string_view Step,
                     std::string_view Reason) const {
  LogLine Line("key");
  Line.field("request", Call.Id.Value)
      .field("service", Call.Service.Value)
      .field("key", Call.KeyText)
      .field("decision", Step)
      .field("reason", Reason);
  Dependencies.Decisions.write(Line);
}

} // namespace comfreyrill
