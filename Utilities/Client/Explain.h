#pragma once

#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Asks a host where it would send a request now, and prints its explanation.
/// The key of the request, if there is one, comes from standard input.
Awaitable<ExitCode> explainRequest(ClientContext &Context);

} // namespace comfreyrill
