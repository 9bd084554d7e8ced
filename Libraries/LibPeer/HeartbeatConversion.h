#pragma once

#include <LibCore/Result.h>
#include <LibMembership/DomainTable.h>
#include <LibMembership/HostDescription.h>

#include <Peer_types.h>

namespace comfreyrill {

/// The wire form of what a host says about itself or another one.
wire::HostDescription toWire(const HostDescription &Host);
Result<HostDescription> fromWire(const wire::HostDescription &Host);

/// The wire form of a report between failure domains. Reading it fails with
/// InvalidInput on a domain or an address that no host sends.
wire::DomainReport toWire(const DomainReport &Content);
Result<DomainReport> fromWire(const wire::DomainReport &Content);

/// The wire form of a heartbeat, without loads.
wire::Heartbeat toWire(const Heartbeat &Content);

/// Reads a heartbeat. Fails with InvalidInput on an address or a host id that
/// no host sends. A state that this version does not know counts as starting,
/// so that such a host is not handed out. Invalid descriptions of other hosts
/// are left out.
Result<Heartbeat> fromWire(const wire::Heartbeat &Content);

} // namespace comfreyrill
