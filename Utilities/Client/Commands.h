#pragma once

#include <Client/Arguments.h>
#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Runs a command. Passes results to Print, and errors with their remedy to
/// PrintError.
Awaitable<ExitCode> runCommand(ClientContext &Context);

} // namespace comfreyrill
