#include <LibPeer/Codec.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace comfreyrill {
namespace {

wire::HostDescription arbitraryHost() {
  wire::HostDescription Host;
  Host.host = *rc::gen::arbitrary<std::string>();
  Host.incarnation = *rc::gen::arbitrary<std::int64_t>();
  Host.failure_domain = *rc::gen::arbitrary<std::string>();
  Host.peer_address = *rc::gen::arbitrary<std::string>();
  Host.caller_address = *rc::gen::arbitrary<std::string>();
  Host.admin_address = *rc::gen::arbitrary<std::string>();
  Host.state = static_cast<wire::HostState::type>(*rc::gen::inRange(1, 4));
  Host.manifest_number = *rc::gen::arbitrary<std::int64_t>();
  if (*rc::gen::arbitrary<bool>())
    Host.__set_fleet_version(*rc::gen::arbitrary<std::int64_t>());
  return Host;
}

wire::Heartbeat arbitraryHeartbeat() {
  wire::Heartbeat Heartbeat;
  Heartbeat.sender = arbitraryHost();
  Heartbeat.sequence = *rc::gen::arbitrary<std::int64_t>();
  std::vector<wire::HostDescription> Known;
  for (int Count = *rc::gen::inRange(0, 4); Count > 0; --Count)
    Known.push_back(arbitraryHost());
  if (!Known.empty())
    Heartbeat.__set_known(Known);
  wire::ServiceLoad Load;
  Load.service_index = *rc::gen::arbitrary<std::int32_t>();
  for (int Count = *rc::gen::inRange(0, 5); Count > 0; --Count) {
    wire::TargetLoad Target;
    Target.target_index = *rc::gen::arbitrary<std::int32_t>();
    Target.in_flight = *rc::gen::arbitrary<std::int32_t>();
    Load.targets.push_back(Target);
  }
  if (*rc::gen::arbitrary<bool>())
    Heartbeat.__set_loads({Load});
  return Heartbeat;
}

wire::StoredOutcome arbitraryOutcome() {
  wire::StoredOutcome Stored;
  Stored.outcome =
      static_cast<wire::CallOutcome::type>(*rc::gen::inRange(1, 4));
  Stored.reason = *rc::gen::arbitrary<std::string>();
  Stored.fingerprint = *rc::gen::arbitrary<std::int64_t>();
  if (*rc::gen::arbitrary<bool>())
    Stored.__set_answer(*rc::gen::arbitrary<std::string>());
  return Stored;
}

wire::PeerBody arbitraryBody() {
  wire::PeerBody Body;
  switch (*rc::gen::inRange(0, 5)) {
  case 0:
    Body.__set_heartbeat(arbitraryHeartbeat());
    break;
  case 1: {
    wire::DocumentReply Reply;
    Reply.name = *rc::gen::arbitrary<std::string>();
    Reply.number = *rc::gen::arbitrary<std::int64_t>();
    Reply.value = *rc::gen::arbitrary<std::string>();
    Body.__set_document_reply(Reply);
    break;
  }
  case 2: {
    wire::GrantRequest Request;
    Request.key = *rc::gen::arbitrary<std::string>();
    Request.fingerprint = *rc::gen::arbitrary<std::int64_t>();
    Body.__set_grant_request(Request);
    break;
  }
  case 3: {
    wire::SealReply Reply;
    Reply.verdict = wire::SealVerdict::FINISHED;
    if (*rc::gen::arbitrary<bool>())
      Reply.__set_stored(arbitraryOutcome());
    Body.__set_seal_reply(Reply);
    break;
  }
  default: {
    wire::OutcomeNotice Notice;
    Notice.key = *rc::gen::arbitrary<std::string>();
    Notice.stored = arbitraryOutcome();
    Body.__set_outcome_notice(Notice);
  }
  }
  return Body;
}

wire::PeerMessage arbitraryMessage() {
  wire::PeerMessage Message;
  Message.correlation = *rc::gen::arbitrary<std::int64_t>();
  Message.body = arbitraryBody();
  return Message;
}

// Guards against fields that are lost or changed by encoding and decoding.
RC_GTEST_PROP(Codec, RoundTripKeepsEveryField, ()) {
  const auto Message = arbitraryMessage();
  const auto Bytes = encode(Message);
  RC_ASSERT(Bytes.has_value());
  const auto Decoded = decode(Bytes.value());
  RC_ASSERT(Decoded.has_value());
  // The generated types cannot be printed.
  const bool IsEqual = Decoded.value() == Message;
  RC_ASSERT(IsEqual);
}

// Guards against exceptions or crashes on bytes of another protocol.
RC_GTEST_PROP(Codec, RandomBytesReturnATypedError, (const std::string &Bytes)) {
  const auto Decoded = decode(Bytes);
  RC_ASSERT(Decoded.has_value() ||
            Decoded.error().Kind == ErrorKind::InvalidInput);
}

// Guards against accepting a truncated message as a complete shorter one.
RC_GTEST_PROP(Codec, TruncatedMessagesAreRefused, ()) {
  const auto Bytes = encode(arbitraryMessage()).value();
  const auto Length = *rc::gen::inRange<std::size_t>(0, Bytes.size());
  const auto Decoded = decode(std::string_view(Bytes).substr(0, Length));
  RC_ASSERT(!Decoded.has_value());
  RC_ASSERT(Decoded.error().Kind == ErrorKind::InvalidInput);
}

// Guards against corrupted bytes that crash the process or hang the decoder.
RC_GTEST_PROP(Codec, CorruptedMessagesNeverThrow, ()) {
  auto Bytes = encode(arbitraryMessage()).value();
  for (int Count = *rc::gen::inRange(1, 4); Count > 0; --Count)
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
  (void)decode(Bytes);
}

// Guards against two concatenated messages that are decoded as one.
TEST(Codec, TrailingBytesAreRefused) {
  wire::PeerMessage Message;
  Message.body.__set_seal_request({});
  EXPECT_FALSE(decode(encode(Message).value() + '\0').has_value());
}

// Guards against sending a message for which the receiver would close the
// connection.
TEST(Codec, OversizedMessagesAreRefusedBeforeSending) {
  wire::PeerMessage Large;
  wire::DocumentReply Reply;
  Reply.value.assign(MaximumMessageBytes, 'x');
  Large.body.__set_document_reply(Reply);
  EXPECT_EQ(encode(Large).error().Kind, ErrorKind::TooLarge);

  wire::PeerMessage Long;
  wire::Heartbeat Heartbeat;
  Heartbeat.__set_known(
      std::vector<wire::HostDescription>(MaximumListElements + 1));
  Long.body.__set_heartbeat(Heartbeat);
  EXPECT_EQ(encode(Long).error().Kind, ErrorKind::TooLarge);
}

// Guards against a short message that makes the decoder allocate a lot of
// memory by declaring a long list of known hosts.
TEST(Codec, DeclaredListLengthIsBounded) {
  wire::PeerMessage Message;
  wire::Heartbeat Heartbeat;
  Heartbeat.__set_known(std::vector<wire::HostDescription>(20));
  Message.body.__set_heartbeat(Heartbeat);
  std::string Bytes = encode(Message).value();
  const auto Position = Bytes.find(std::string("\xFC\x14", 2));
  ASSERT_NE(Position, std::string::npos);
  // The list declares 65,535 elements, which need 20 MB of descriptions.
  Bytes.replace(Position, 2, "\xFC\xFF\xFF\x03");
  const auto Decoded = decode(Bytes);
  ASSERT_FALSE(Decoded.has_value());
  // Any other error would be raised after the allocation.
  EXPECT_NE(Decoded.error().Message.find("size limit"), std::string::npos)
      << Decoded.error().Message;
}

// Guards against a body type of a newer version that closes the connection
// during a rolling update of the fleet.
TEST(Codec, UnknownBodyIsLeftUnset) {
  // Correlation 1, a body with field 1000 (an empty struct), and the end
  // markers of the structs.
  const std::string Bytes("\x16\x02\x1C\x0C\xD0\x0F\x00\x00\x00", 9);
  const auto Decoded = decode(Bytes);
  ASSERT_TRUE(Decoded.has_value()) << Decoded.error().Message;
  EXPECT_FALSE(hasKnownBody(Decoded.value().body));
}

// Guards against a message type that the receiver refuses as unknown although
// this version defines it.
TEST(Codec, MessagesOfAllotmentsAreKnown) {
  wire::TokenRequest Request;
  Request.account = "account";
  Request.wanted = 3;
  Request.configuration = 7;
  wire::TokenGrant Grant;
  Grant.account = "account";
  Grant.granted = 3;
  Grant.lifetime_ms = 500;
  wire::PeerMessage Message;
  Message.correlation = 1;
  Message.body.__set_token_request(Request);
  const auto DecodedRequest = decode(encode(Message).value());
  ASSERT_TRUE(DecodedRequest);
  EXPECT_TRUE(hasKnownBody(DecodedRequest.value().body));
  Message.body = wire::PeerBody();
  Message.body.__set_token_grant(Grant);
  const auto DecodedGrant = decode(encode(Message).value());
  ASSERT_TRUE(DecodedGrant);
  EXPECT_TRUE(hasKnownBody(DecodedGrant.value().body));
}

} // namespace
} // namespace comfreyrill
