#pragma once

#include <LibCore/Result.h>
#include <LibMembership/DomainTable.h>
#include <LibMembership/HostDescription.h>

#include <Peer_types.h>

namespace comfreyrill {

/// Converts the description of a host to and from its wire format.
wire::HostDescription toWire(const HostDescription &Host);
Result<HostDescription> fromWire(const wire::HostDescription &Host);

/// Converts a report between failure domains to and from its wire format.
/// Reading fails with InvalidInput on an invalid failure domain or address.
wire::DomainReport toWire(const DomainReport &Content);
Result<DomainReport> fromWire(const wire::DomainReport &Content);

/// Converts a heartbeat to its wire format, without loads.
wire::Heartbeat toWire(const Heartbeat &Content);

/// Converts a heartbeat from its wire format, without loads. Fails with
/// InvalidInput on an invalid address or host id of the sender. A host state
/// that this version does not know is read as starting, so that callers are not
/// directed to such a host. Invalid descriptions of other hosts are skipped.
Result<Heartbeat> fromWire(const wire::Heartbeat &Content);

} // namespace comfreyrill
