#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibHttp/Http.h>

#include <optional>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Version of an object on the platform; 0 means that the object does not
/// exist.
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
  /// No usable response was received; the value may be stored, now or later.
  Unknown,
};

struct UpdateResult {
  UpdateOutcome Outcome = UpdateOutcome::Unknown;
  /// The new version if stored; the current version on a conflict, or 0 when
  /// the object does not exist.
  ObjectVersion Version;
  /// Error for every outcome other than Stored.
  std::optional<Error> Cause;
};

/// Parses an ETag such as "43", with its quotes. Fails with InvalidInput.
Result<ObjectVersion> parseVersionTag(std::string_view Text);
/// Formats a version as an ETag that parseVersionTag accepts.
std::string formatVersionTag(ObjectVersion Version);

/// Interprets the response to a read or a watch. Returns the object, or nothing
/// when it has not changed. Fails with NotFound, Unavailable (temporarily
/// refused) or InvalidInput (not a valid response of the object API).
Result<std::optional<StoredObject>> interpretRead(HttpResponse Response);

/// Interprets the response to a conditional update.
UpdateResult interpretUpdate(const HttpResponse &Response);

} // namespace comfreyrill
