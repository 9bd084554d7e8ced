#pragma once

#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Puts a manifest in force. An update whose answer is lost is looked up and,
/// if it has not taken effect, sent again under the same apply id, until the
/// deadline.
Awaitable<ExitCode> applyManifest(ClientContext &Context, Manifest Content);

} // namespace comfreyrill
