#pragma once

#include <LibCore/Result.h>

#include <Peer_types.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Largest encoded message. It holds the largest platform document (1 MB).
inline constexpr std::uint32_t MaximumMessageBytes = 1280 * 1024;

/// Largest number of elements of one list in a message. The decoder allocates a
/// list by its declared length before reading the elements, so the length must
/// be bounded.
inline constexpr std::int32_t MaximumListElements = 4096;

/// Size of the big-endian length prefix of each message on a connection.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Encodes a message in the Thrift compact protocol. Fails with TooLarge.
Result<std::string> encode(const wire::PeerMessage &Message);

/// Decodes one complete message. Fails with InvalidInput or TooLarge. A body
/// type that this version does not know is left unset.
Result<wire::PeerMessage> decode(std::string_view Bytes);

/// Encodes a message with its length prefix. Fails with TooLarge.
Result<std::string> encodeFrame(const wire::PeerMessage &Message);

/// Message length in bytes, read from a complete frame header.
std::uint32_t frameLength(std::string_view Header);

/// True when the body holds exactly one type that this version knows.
bool hasKnownBody(const wire::PeerBody &Body);

} // namespace comfreyrill
