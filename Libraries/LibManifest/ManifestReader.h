#pragma once

#include <LibJson/JsonReader.h>
#include <LibManifest/Manifest.h>

#include <string_view>

namespace comfreyrill {

/// Reads and checks a manifest as operators write it; absent fields take the
/// defaults of the structs. Fails with InvalidInput that lists every fault, or
/// with TooLarge.
Result<Manifest> parseManifest(std::string_view Text);

/// Reads and checks a manifest that is part of a document; faults are added to
/// the document, with paths that start at the reader's.
Manifest readManifest(JsonDocument &Document, JsonReader Root);

} // namespace comfreyrill
