#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>

#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Version of an object of the platform; 0 stands for no object.
using ObjectVersion = Number<struct ObjectVersionTag>;

struct StoredObject {
  ObjectVersion Version;
  std::string Value;
};

enum class UpdateOutcome {
  /// The value is stored.
  Stored,
  /// The object has another version; nothing was changed.
  Conflict,
  /// The platform refused or never received the update; nothing was changed.
  Unavailable,
  /// The answer was lost or unusable: the value may be stored now or later.
  Unknown,
};

struct UpdateResult {
  UpdateOutcome Outcome = UpdateOutcome::Unknown;
  /// The new version if stored; the current one on a conflict, 0 when the
  /// object does not exist.
  ObjectVersion Version;
  /// Why the value is not known to be stored.
  std::optional<Error> Cause;
};

/// Reads an ETag such as "43", with its quotes. Fails with InvalidInput.
Result<ObjectVersion> parseVersionTag(std::string_view Text);
/// Writes what parseVersionTag reads.
std::string formatVersionTag(ObjectVersion Version);

/// Meaning of an answer to a read or a watch: an object, or nothing when it has
/// not changed. Fails with NotFound, Unavailable (refused for now) or
/// InvalidInput (not an answer of the object API).
Result<std::optional<StoredObject>> interpretRead(HttpResponse Response);

/// Meaning of an answer to a conditional update.
UpdateResult interpretUpdate(const HttpResponse &Response);

} // namespace comfreyrill
