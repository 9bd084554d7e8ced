#pragma once

#include <string>

namespace comfreyrill {

/// Runs a gateway until it is stopped; returns the exit code of the process.
/// An empty path stands for the one that the environment names.
int runGateway(std::string SettingsPath, bool IsCheckOnly);

} // namespace comfreyrill
