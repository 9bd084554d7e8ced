#pragma once

#include <Client/Arguments.h>
#include <Client/HostStatus.h>
#include <LibManifest/Envelope.h>
#include <LibPlatform/PlatformClient.h>

#include <functional>
#include <optional>
#include <string_view>

namespace comfreyrill {

/// Options and dependencies of a command.
struct ClientContext {
  const Arguments &Options;
  const Clock &TimeSource;
  Random &Generator;
  PlatformClient &Platform;
  std::function<void(std::string_view Text)> Print;
  std::function<void(std::string_view Text)> PrintError;
  /// Deadline of the command.
  TimePoint Deadline;
  /// Returns the first line of standard input, without its end.
  std::function<std::string()> ReadLine = {};
};

/// The hosts known to one source, which is a host or the platform's report.
struct FleetView {
  /// Sorted by name.
  std::vector<HostDescription> Hosts;
  /// Services of the queried host; empty when the platform's report was used.
  std::vector<ServiceStatus> Services;
  /// Manifest number that hosts should have in force; 0 when there is none.
  ManifestNumber Expected;
};

/// The version of the platform's object and the envelope in it.
struct VersionedEnvelope {
  ObjectVersion Version;
  std::optional<ManifestEnvelope> Envelope;
};

/// Deadline of a request to one source, which leaves time to try other sources.
TimePoint attemptDeadline(const ClientContext &Context);

/// Reads the platform's manifest envelope, if there is one. Fails with the
/// error of the read, or with InvalidInput or TooLarge when this version of the
/// client cannot read the manifest.
Awaitable<Result<VersionedEnvelope>> readEnvelope(ClientContext &Context,
                                                  TimePoint Deadline);

/// Fetches the hosts and the manifest numbers that they have in force, from the
/// first host given with --host that answers, otherwise from the platform's
/// report. The expected number is the highest of the platform's and the hosts'.
Awaitable<Result<FleetView>> fetchFleetView(ClientContext &Context);

/// Fetches the status of the first host that answers. Tries the hosts given
/// with --host, then those listed in the platform's report.
Awaitable<Result<HostStatus>> fetchAnyHostStatus(ClientContext &Context);

/// Address of the admin listener of the host that is given by name or as
/// ip:port. Fails with NotFound, or as fetchFleetView does.
Awaitable<Result<Endpoint>> findAdminEndpoint(ClientContext &Context);

/// Hosts whose number in force is below the expected one, except lost hosts.
std::vector<HostDescription>
lateHosts(const std::vector<HostDescription> &Hosts, ManifestNumber Expected);

} // namespace comfreyrill
