#pragma once

#include <LibCore/Async.h>
#include <LibCore/Endpoint.h>

namespace comfreyrill {

/// Binds an acceptor and starts to listen; returns the address that was bound.
/// Port 0 takes a free port. Fails with Unavailable.
Result<Endpoint> listenOn(TcpAcceptor &Acceptor, const Endpoint &Requested);

} // namespace comfreyrill
