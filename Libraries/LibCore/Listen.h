#pragma once

#include <LibCore/Async.h>
#include <LibCore/Endpoint.h>

namespace comfreyrill {

/// Binds an acceptor, starts to listen and returns the bound address. Port 0
/// lets the operating system choose a free port. Fails with Unavailable.
Result<Endpoint> listenOn(TcpAcceptor &Acceptor, const Endpoint &Requested);

} // namespace comfreyrill
