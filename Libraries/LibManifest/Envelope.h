#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Random identifier that the operator's client assigns to one apply. All
/// attempts to send that apply share it.
using ApplyId = Identifier<struct ApplyIdTag>;

/// Generates an apply id of 128 random bits.
ApplyId newApplyId(Random &Generator);

/// An earlier apply that took effect.
struct ApplyRecord {
  ApplyId Apply;
  ManifestNumber Number;

  bool operator==(const ApplyRecord &) const = default;
};

/// Earlier applies that an envelope records besides its own.
inline constexpr std::size_t ApplyHistoryLength = 32;

/// The platform's object "manifest": the manifest in force with its number and
/// the history of applies.
struct ManifestEnvelope {
  ManifestNumber Number;
  ApplyId Apply;
  /// Earlier applies, the oldest first. Their numbers increase and are below
  /// Number.
  std::vector<ApplyRecord> History;
  Manifest Content;

  bool operator==(const ManifestEnvelope &) const = default;
};

/// Parses and validates an envelope and the manifest in it. Fails with
/// InvalidInput or TooLarge; the host then keeps the manifest in force.
Result<ManifestEnvelope> parseEnvelope(std::string_view Text);

/// Serializes an envelope for parseEnvelope. Fails with TooLarge when the text
/// exceeds what the platform can store.
Result<std::string> formatEnvelope(const ManifestEnvelope &Envelope);

} // namespace comfreyrill
