#pragma once

#include <Client/Arguments.h>
#include <Client/ExitCode.h>
#include <Client/FleetView.h>

namespace comfreyrill {

/// Carries out a command. Results go to Print, faults with their remedy to
/// PrintError.
Awaitable<ExitCode> runCommand(ClientContext &Context);

} // namespace comfreyrill
