#pragma once

#include <Client/Arguments.h>
#include <Client/HostStatus.h>
#include <LibManifest/Envelope.h>
#include <LibPlatform/PlatformClient.h>

#include <functional>
#include <optional>
#include <string_view>

namespace comfreyrill {

/// What a command works with.
struct ClientContext {
  const Arguments &Options;
  const Clock &TimeSource;
  Random &Generator;
  PlatformClient &Platform;
  std::function<void(std::string_view Text)> Print;
  std::function<void(std::string_view Text)> PrintError;
  /// When the command gives up.
  TimePoint Deadline;
};

/// All hosts, as far as one source knows them.
struct FleetView {
  /// Sorted by name.
  std::vector<HostDescription> Hosts;
  /// Of the host that was asked; empty when the platform's report was used.
  std::vector<ServiceStatus> Services;
  /// The number that hosts should have in force; 0 when there is none.
  ManifestNumber Expected;
};

/// The version of the platform's object and the envelope in it.
struct ObservedEnvelope {
  ObjectVersion Version;
  std::optional<ManifestEnvelope> Envelope;
};

/// Time allowed for one source when others are left to ask.
TimePoint attemptDeadline(const ClientContext &Context);

/// The envelope that the platform holds, or none. Fails like a read, and with
/// InvalidInput when this version cannot read the manifest.
Awaitable<Result<ObservedEnvelope>> observeEnvelope(ClientContext &Context,
                                                    TimePoint Deadline);

/// Hosts and what they have in force, from the first given host that answers,
/// otherwise from the platform's report. The number expected is the platform's
/// or, when the platform is down, the highest of any host.
Awaitable<Result<FleetView>> observeFleet(ClientContext &Context);

/// Status of the first host that answers, of those given and those that the
/// platform's report names.
Awaitable<Result<HostStatus>> observeHost(ClientContext &Context);

/// Admin listener of a host given by name or as ip:port. Fails with NotFound.
Awaitable<Result<Endpoint>> findHost(ClientContext &Context);

/// Hosts that do not have the number in force and are not lost.
std::vector<HostDescription>
lateHosts(const std::vector<HostDescription> &Hosts, ManifestNumber Expected);

} // namespace comfreyrill
