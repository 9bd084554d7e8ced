#pragma once

#include <LibCore/Result.h>

#include <Peer_types.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Largest encoded message. A document of the platform (1 MB) fits into one.
inline constexpr std::uint32_t MaximumMessageBytes = 1280 * 1024;

/// Largest number of elements of one list in a message. A claimed length is
/// allocated before its elements are read, so it has to be bounded.
inline constexpr std::int32_t MaximumListElements = 4096;

/// Length in front of each message on a connection, big-endian, in bytes.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// The message in the Thrift compact protocol. Fails with TooLarge.
Result<std::string> encode(const wire::PeerMessage &Message);

/// Reads one whole message. Fails with InvalidInput or TooLarge. A body of a
/// kind that this version does not know is left unset.
Result<wire::PeerMessage> decode(std::string_view Bytes);

/// The encoded message behind its length. Fails with TooLarge.
Result<std::string> encodeFrame(const wire::PeerMessage &Message);

/// Length of the message in a frame whose header is complete.
std::uint32_t frameLength(std::string_view Header);

/// True when the body has exactly one kind that this version knows.
bool hasKnownBody(const wire::PeerBody &Body);

} // namespace comfreyrill
