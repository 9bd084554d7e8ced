#pragma once

#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Prints an error, with --json as an object, and returns its exit code.
ExitCode reportError(ClientContext &Context, const Error &Cause);

} // namespace comfreyrill
