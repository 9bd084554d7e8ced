#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace comfreyrill::standins {

struct ObjectVersion {
  std::uint64_t Version = 0;
  std::string Value;
};

/// Precondition of an update on the current state of the object.
struct UpdateCondition {
  /// When set, the object must exist with this version.
  std::optional<std::uint64_t> IfVersion;
  /// The object must not exist.
  bool MustBeAbsent = false;
};

struct UpdateResult {
  bool Accepted = false;
  /// The version after the call; 0 when there is no object.
  std::uint64_t Version = 0;
};

/// Versioned objects with conditional updates. Versions of a key count from 1.
class PlatformStore {
public:
  UpdateResult update(const std::string &Key, std::string Value,
                      const UpdateCondition &Condition);
  /// Returns the newest version, or nullptr if there is no object.
  const ObjectVersion *find(const std::string &Key) const;
  /// Returns the version that is VersionsBack versions older than the newest,
  /// or the oldest stored version.
  const ObjectVersion *findStale(const std::string &Key,
                                 std::size_t VersionsBack) const;

private:
  // Ordered by version; older ones are kept for stale reads.
  std::map<std::string, std::vector<ObjectVersion>> Objects;
};

} // namespace comfreyrill::standins
