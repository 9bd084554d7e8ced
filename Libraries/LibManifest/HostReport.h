#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>
#include <string_view>
#include <vector>

namespace comfreyrill {

/// State of one host and the manifest that it has in force.
struct HostReportEntry {
  HostId Host;
  HostIncarnation Incarnation;
  /// "starting", "ready", "leaving", "suspect" or "lost".
  std::string State;
  /// Number of the manifest; 0 when none is in force.
  ManifestNumber InForce;
  Endpoint AdminAddress;

  bool operator==(const HostReportEntry &) const = default;
};

/// The platform's object "report", which one host writes for all hosts.
struct HostReport {
  std::vector<HostReportEntry> Hosts;

  bool operator==(const HostReport &) const = default;
};

/// Parses a report. Fails with InvalidInput or TooLarge. Unknown fields are
/// ignored, because the host that wrote the report may run another version.
Result<HostReport> parseHostReport(std::string_view Text);

/// Serializes a report for parseHostReport.
std::string formatHostReport(const HostReport &Report);

} // namespace comfreyrill
