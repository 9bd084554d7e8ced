#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// What one host has in force.
struct HostReportEntry {
  HostId Host;
  HostIncarnation Incarnation;
  /// "starting", "ready", "leaving", "suspect" or "lost".
  std::string State;
  /// 0 when no manifest is in force.
  ManifestNumber InForce;
  Endpoint AdminAddress;

  bool operator==(const HostReportEntry &) const = default;
};

/// The platform's object "report", which one host writes for all.
struct HostReport {
  std::vector<HostReportEntry> Hosts;

  bool operator==(const HostReport &) const = default;
};

/// Reads a report. Fails with InvalidInput or TooLarge. Unknown fields are
/// ignored, because the writer may run another version.
Result<HostReport> parseHostReport(std::string_view Text);

/// Writes what parseHostReport reads.
std::string formatHostReport(const HostReport &Report);

} // namespace comfreyrill
