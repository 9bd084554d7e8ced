#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibManifest/Manifest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// Random name that an operator's client gives to one apply, also when it sends
/// that apply several times.
using ApplyId = Identifier<struct ApplyIdTag>;

/// A fresh apply id of 128 random bits.
ApplyId newApplyId(Random &Generator);

/// An earlier apply that took effect.
struct ApplyRecord {
  ApplyId Apply;
  ManifestNumber Number;

  bool operator==(const ApplyRecord &) const = default;
};

/// Applies that an envelope remembers besides its own.
inline constexpr std::size_t ApplyHistoryLength = 32;

/// The platform's object "manifest".
struct ManifestEnvelope {
  ManifestNumber Number;
  ApplyId Apply;
  /// Earlier applies, the oldest first; their numbers rise and are below
  /// Number.
  std::vector<ApplyRecord> History;
  Manifest Content;

  bool operator==(const ManifestEnvelope &) const = default;
};

/// Reads and checks an envelope and the manifest in it. Fails with InvalidInput
/// or TooLarge; then the host keeps what is in force.
Result<ManifestEnvelope> parseEnvelope(std::string_view Text);

/// Writes what parseEnvelope reads. Fails with TooLarge when the platform
/// cannot store it.
Result<std::string> formatEnvelope(const ManifestEnvelope &Envelope);

} // namespace comfreyrill
