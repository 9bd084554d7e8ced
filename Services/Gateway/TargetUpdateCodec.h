#pragma once

#include <LibCore/Result.h>
#include <LibGateway/TargetDirectory.h>

#include <Peer_types.h>

namespace comfreyrill {

/// The form in which hosts hand changes of the targets to each other.
wire::TargetUpdate toWire(const TargetDelta &Delta);

/// Reads an update. Fails with InvalidInput on an address that no target has.
Result<TargetDelta> fromWire(const wire::TargetUpdate &Update);

} // namespace comfreyrill
