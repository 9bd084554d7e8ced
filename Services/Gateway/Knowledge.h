#pragma once

#include <LibCore/Random.h>
#include <LibGateway/Configuration.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/TargetDirectory.h>
#include <LibGateway/TargetSelection.h>
#include <LibLog/BoundedLog.h>
#include <LibRouting/Outlier.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace comfreyrill {

/// How a target failed this host.
enum class TargetFailure {
  /// No connection could be made.
  Connection,
  /// A probe had no answer.
  Probe,
  /// A request was sent on a connection that had just been checked, and had no
  /// valid answer.
  Attempt,
};

/// How requests at one target ended.
struct AttemptCounts {
  std::uint32_t Failures = 0;
  std::uint32_t Successes = 0;
};

/// What this host has learned of one target from its own requests and probes
/// and from those of the other hosts of its failure domain.
struct TargetExperience {
  OutlierState Outlier;
  /// Drawn once, between 0 and 1: hosts prefer different far targets.
  std::optional<double> Preference;
  /// Own requests that the other hosts have not been told of yet.
  AttemptCounts Untold;
  /// Requests of this host that are there now.
  std::uint32_t InFlight = 0;
  std::optional<LoadReport> Load;
  TimePoint LoadAt;
  /// The load has not been told to the other hosts yet.
  bool IsLoadNews = false;
};

/// What this host keeps for each service.
struct ServiceExperience {
  RetryBudget Retries;
  /// Mean time that a request takes at an idle target of usual speed.
  Duration WorkTime = std::chrono::milliseconds(100);
};

/// All that one host believes of the configuration and the targets. It changes
/// only through the offers below, which refuse what is older than what is
/// known.
class Knowledge {
public:
  Knowledge(const Clock &TimeSource, Random &Generator, BoundedLog &Events);

  /// Null until a configuration has been accepted. Requests keep the one that
  /// they began with.
  std::shared_ptr<const Configuration> configuration() const { return InForce; }
  /// The text from which the configuration in force was read, compressed.
  const std::string &compressedConfiguration() const { return InForceText; }
  ConfigurationVersion version() const;

  const TargetDirectory &targets() const { return Directory; }

  /// Puts a configuration in force unless it is older than the one that is.
  /// Returns whether it was put in force.
  bool offerConfiguration(Configuration Offered, std::string Compressed,
                          std::string_view Source);

  /// Takes a complete list, or one change, of the registrations.
  void offerRegistrations(const std::vector<TargetRegistration> &Listed,
                          StoreRevision Revision, std::string_view Source);
  void offerChange(const RegistrationChange &Change, std::string_view Source);
  /// Takes changes of another host. False when they begin after what is known
  /// here or are older.
  bool offerDelta(const TargetDelta &Delta, std::string_view Source);
  void noteStoreReturn();

  /// Drops lapsed targets and what is kept of targets that are gone. Returns
  /// whether any has lapsed.
  bool expire();

  /// What has changed since the last call, for the hosts that follow this one.
  TargetDelta takeDelta();
  TargetDelta completeDelta() const;

  /// Targets of a service that may be given new requests.
  std::vector<TargetCandidate> candidates(const ServiceName &Service,
                                          const FailureDomain &HostDomain);

  TargetExperience &experience(const TargetId &Id) { return Experience[Id]; }
  ServiceExperience &service(const ServiceName &Name) { return Services[Name]; }
  /// Takes a load that this host has just seen.
  void recordLoad(const TargetId &Id, const LoadReport &Load);
  /// Takes a load that another host has seen, unless a later one is known.
  void recordSharedLoad(const TargetId &Id, const LoadReport &Load,
                        TimePoint SeenAt);
  /// Targets whose load this host has seen since the last call.
  std::vector<TargetId> takeSeenLoads();
  void recordSuccess(const TargetId &Id);
  void recordFailure(const TargetId &Id, TargetFailure Kind);
  /// Takes what another host has seen of its own requests.
  void recordSharedOutcomes(const TargetId &Id, const AttemptCounts &Counts);
  /// Targets at which requests of this host have ended since the last call.
  std::map<TargetId, AttemptCounts> takeOutcomes();

private:
  void countTargetFailure(const TargetId &Id, bool IsConnectionFailure);
  void noteChanged(const std::vector<TargetId> &Changed,
                   std::string_view Source);

  /// False when so many targets of the service are ejected that the rest could
  /// not take over.
  bool mayEject(const TargetId &Id) const;

  const Clock &TimeSource;
  Random &Generator;
  BoundedLog &Events;
  std::shared_ptr<const Configuration> InForce;
  std::string InForceText;
  TargetDirectory Directory;
  std::vector<TargetId> ChangedSinceDelta;
  std::vector<TargetId> SeenLoads;
  std::vector<TargetId> SeenOutcomes;
  StoreRevision LastDelta;
  std::unordered_map<TargetId, TargetExperience> Experience;
  std::map<ServiceName, ServiceExperience> Services;
};

} // namespace comfreyrill
