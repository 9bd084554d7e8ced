#pragma once

#include <LibManifest/Manifest.h>

#include <boost/json/value.hpp>
#include <string>

namespace comfreyrill {

/// Serializes all fields, including those with default values, so that a stored
/// manifest keeps its meaning when a later version has other defaults.
boost::json::value manifestToJson(const Manifest &Manifest);

/// Formats the manifest as readable text. parseManifest reads it back, with
/// numbers of up to 9 digits unchanged.
std::string formatManifest(const Manifest &Manifest);

} // namespace comfreyrill
