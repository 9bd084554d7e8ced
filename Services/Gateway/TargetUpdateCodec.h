#pragma once

#include <LibCore/Result.h>
#include <LibGateway/TargetDirectory.h>

#include <Peer_types.h>

namespace comfreyrill {

/// Encodes a target delta as a message to another host.
wire::TargetUpdate toWire(const TargetDelta &Delta);

/// Decodes a target delta. Fails with InvalidInput if an address is malformed.
Result<TargetDelta> fromWire(const wire::TargetUpdate &Update);

} // namespace comfreyrill
