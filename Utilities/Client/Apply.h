#pragma once

#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Puts a manifest in force. When an update fails or its response is lost,
/// reads the platform's object to find out whether the update took effect and,
/// if not, sends it again with the same apply id, until the deadline.
Awaitable<ExitCode> applyManifest(ClientContext &Context, Manifest Content);

} // namespace comfreyrill
