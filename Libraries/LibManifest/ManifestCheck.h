#pragma once

#include <LibJson/JsonDocument.h>
#include <LibManifest/Manifest.h>

#include <vector>

namespace comfreyrill {

/// Returns the faults between fields that are valid on their own: duplicate
/// names, ids and addresses, too few connections for all hosts or slots,
/// contradictory timeouts, and operations that never match. Paths start at the
/// manifest, for example "services[0].targets[1].id". Empty names are skipped,
/// so that an invalid name is not reported twice.
std::vector<JsonFault> checkManifest(const Manifest &Manifest);

} // namespace comfreyrill
