#pragma once

#include <LibJson/JsonDocument.h>
#include <LibManifest/Manifest.h>

#include <vector>

namespace comfreyrill {

/// Faults between fields whose own ranges hold: names, ids and addresses that
/// occur twice, connections that do not suffice for all hosts or slots,
/// timeouts that contradict each other, and operations that never match. Paths
/// start at the manifest, for example "services[0].targets[1].id". Empty
/// names are left out, so that a faulty name is not reported twice.
std::vector<JsonFault> checkManifest(const Manifest &Manifest);

} // namespace comfreyrill
