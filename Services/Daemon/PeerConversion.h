#pragma once

#include <LibMembership/HostDescription.h>
#include <LibPeer/Codec.h>

namespace comfreyrill {

wire::HostDescription toWire(const HostDescription &Description);
/// Fails with InvalidInput when an address or the state cannot be read.
Result<HostDescription> fromWire(const wire::HostDescription &Message);

wire::Heartbeat toWire(const Heartbeat &Content);
/// Fails with InvalidInput when the sender cannot be read; descriptions of
/// other hosts that cannot be read are left out.
Result<Heartbeat> fromWire(const wire::Heartbeat &Message);

} // namespace comfreyrill
