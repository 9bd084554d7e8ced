#include <LibPeer/Codec.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace comfreyrill {

namespace {

using MemoryBuffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<MemoryBuffer>;

constexpr std::uint32_t InitialBufferBytes = 512;

// Sharing one configuration saves an allocation for each message.
const std::shared_ptr<apache::thrift::TConfiguration> &configuration() {
  static const auto Shared = std::make_shared<apache::thrift::TConfiguration>(
      static_cast<int>(MaximumMessageBytes),
      static_cast<int>(MaximumMessageBytes));
  return Shared;
}

// The protocol requires a shared pointer to its transport. This one does not
// own the buffer, which is on the stack and outlives the protocol.
std::shared_ptr<MemoryBuffer> nonOwningPointer(MemoryBuffer &Buffer) {
  return {std::shared_ptr<void>(), &Buffer};
}

int countKnownBodies(const wire::PeerBody &Body) {
  const auto &Set = Body.__isset;
  return Set.heartbeat + Set.document_request + Set.document_reply +
         Set.grant_request + Set.grant_reply + Set.seal_request +
         Set.seal_reply + Set.outcome_notice + Set.crash_evidence + Set.error +
         Set.probe_notice + Set.domain_report + Set.join_request +
         Set.introduction + Set.target_update + Set.load_notice +
         Set.token_request + Set.token_grant;
}

bool hasOversizedList(const wire::PeerBody &Body) {
  constexpr auto Limit = static_cast<std::size_t>(MaximumListElements);
  if (Body.domain_report.hosts.size() > Limit ||
      Body.introduction.hosts.size() > Limit ||
      Body.target_update.records.size() > Limit ||
      Body.target_update.departed.size() > Limit ||
      Body.load_notice.loads.size() > Limit ||
      Body.load_notice.leaving.size() > Limit ||
      Body.load_notice.crashes.crashes.size() > Limit ||
      Body.load_notice.crashes.answers.size() > Limit ||
      Body.load_notice.cold.size() > Limit ||
      Body.load_notice.evacuations.failure_domains.size() > Limit ||
      Body.load_notice.domains.summaries.size() > Limit ||
      Body.load_notice.domains.wanted.size() > Limit)
    return true;
  for (const auto &Summary : Body.load_notice.domains.summaries)
    if (Summary.services.size() > Limit)
      return true;
  if (!Body.__isset.heartbeat)
    return false;
  if (Body.heartbeat.known.size() > Limit ||
      Body.heartbeat.loads.size() > Limit)
    return true;
  for (const auto &Load : Body.heartbeat.loads)
    if (Load.targets.size() > Limit)
      return true;
  return false;
}

Error tooLarge() {
  return {ErrorKind::TooLarge,
          "the peer message exceeds the limit of " +
              std::to_string(MaximumMessageBytes) + " bytes or of " +
              std::to_string(MaximumListElements) +
              " list elements; split it into smaller messages"};
}

Error invalidMessage(std::string_view Cause) {
  return {ErrorKind::InvalidInput,
          "the bytes are not a valid peer message (" + std::string(Cause) +
              "); check that the peer address belongs to a comfreyrill host"};
}

// Encodes the message after a prefix of PrefixBytes zero bytes.
Result<std::string> encodeWithPrefix(std::size_t PrefixBytes,
                                     const wire::PeerMessage &Message) {
  if (hasOversizedList(Message.body))
    return tooLarge();
  try {
    MemoryBuffer Buffer(InitialBufferBytes, configuration());
    const std::uint8_t Zeros[FrameHeaderBytes] = {};
    Buffer.write(Zeros, static_cast<std::uint32_t>(PrefixBytes));
    Protocol Writer(nonOwningPointer(Buffer));
    Message.write(&Writer);
    std::uint8_t *Start = nullptr;
    std::uint32_t Size = 0;
    Buffer.getBuffer(&Start, &Size);
    if (Size - PrefixBytes > MaximumMessageBytes)
      return tooLarge();
    return std::string(reinterpret_cast<const char *>(Start), Size);
  } catch (const std::exception &Exception) {
    return Error{ErrorKind::Internal,
                 std::string("cannot encode a peer message: ") +
                     Exception.what() + "; report this as a defect"};
  }
}

} // namespace

Result<std::string> encode(const wire::PeerMessage &Message) {
  return encodeWithPrefix(0, Message);
}

Result<std::string> encodeFrame(const wire::PeerMessage &Message) {
  TRY(auto Frame, encodeWithPrefix(FrameHeaderBytes, Message));
  const auto Length =
      static_cast<std::uint32_t>(Frame.size() - FrameHeaderBytes);
  for (std::size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Frame[Index] =
        static_cast<char>(Length >> (8 * (FrameHeaderBytes - 1 - Index)));
  return Frame;
}

std::uint32_t frameLength(std::string_view Header) {
  std::uint32_t Length = 0;
  for (std::size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Length = Length << 8 | static_cast<std::uint8_t>(Header[Index]);
  return Length;
}

Result<wire::PeerMessage> decode(std::string_view Bytes) {
  if (Bytes.size() > MaximumMessageBytes)
    return tooLarge();
  try {
    // The buffer only reads the bytes, but Thrift's interface lacks const.
    auto *Start =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
    MemoryBuffer Buffer(Start, static_cast<std::uint32_t>(Bytes.size()),
                        MemoryBuffer::OBSERVE, configuration());
    Protocol Reader(nonOwningPointer(Buffer),
                    static_cast<int>(MaximumMessageBytes), MaximumListElements);
    wire::PeerMessage Message;
    const std::uint32_t Consumed = Message.read(&Reader);
    if (Buffer.available_read() != 0)
      return invalidMessage(std::to_string(Bytes.size() - Consumed) +
                            " bytes follow the message");
    if (countKnownBodies(Message.body) > 1)
      return invalidMessage("more than one body");
    return Message;
  } catch (const std::exception &Exception) {
    return invalidMessage(Exception.what());
  }
}

bool hasKnownBody(const wire::PeerBody &Body) {
  return countKnownBodies(Body) == 1;
}

} // namespace comfreyrill
