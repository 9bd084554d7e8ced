#pragma once

#include <string>

namespace comfreyrill {

/// Runs a gateway until it is stopped and returns the exit code of the process.
/// When the path is empty, an environment variable names the settings file.
/// With IsCheckOnly, the function only checks the settings.
int runGateway(std::string SettingsPath, bool IsCheckOnly);

} // namespace comfreyrill
