#pragma once

#include <LibJson/JsonReader.h>
#include <LibManifest/Manifest.h>

#include <string_view>

namespace comfreyrill {

/// Parses and validates a manifest written by an operator. Absent fields get
/// the defaults of the structs. Fails with InvalidInput and a message that
/// lists all faults, or with TooLarge.
Result<Manifest> parseManifest(std::string_view Text);

/// Reads and validates a manifest that is part of a document. Faults are added
/// to the document, with paths that start at the path of the reader.
Manifest readManifest(JsonDocument &Document, JsonReader Root);

} // namespace comfreyrill
