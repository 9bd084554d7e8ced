#pragma once

#include <LibCore/Random.h>
#include <LibDomainChoice/DomainChoice.h>
#include <LibGateway/TargetSelection.h>

#include <optional>
#include <vector>

namespace comfreyrill {

/// A target that is slower than this is not at its usual speed.
inline constexpr double UsualSlowdownMaximum = 1.3;

/// A failure domain that single requests may use although they are not in the
/// share that leaves.
struct GainDestination {
  FailureDomain Domain;
  /// One-way delay from the own failure domain.
  Duration Delay{0};
  double SpareSlots = 0;
  /// When the load report of the domain becomes too old.
  TimePoint KnownUntil;
  /// Expected time at the best local target that was probed when the
  /// destination was chosen for a request.
  Duration AtHome{0};
};

/// What the gain of leaving depends on.
struct GainRequest {
  /// Bytes of the request and the expected bytes of its response.
  double Bytes = 0;
  /// Time since the request was read.
  Duration Waited{0};
  Duration LatencyObjective{0};
  /// Time that an idle target of usual speed needs for the request.
  Duration WorkTime{0};
};

/// Probes that may be made in other domains for their gain. Limits the probes
/// in vain of a service on one host.
struct GainCredit {
  double Probes = 4;
};

/// Returns the domains with spare slots that requests may use by gain: those
/// with a recent load report that do not report that their own requests find no
/// slots, and that are neither evacuated nor silent.
std::vector<GainDestination> gainDestinations(const DomainChoiceInput &Input,
                                              TimePoint Now);

/// Worth of an answer after Away instead of AtHome, where an answer in time is
/// worth 1: that of an answer in time if only Away meets the latency objective,
/// otherwise the saved time as a share of the objective.
double gainOfLeaving(const GainRequest &Request, Duration AtHome,
                     Duration Away);

/// Decides whether the further probes for a request that stays may go to
/// another domain, and to which one. Probed holds the results so far.
std::optional<GainDestination>
chooseByGain(const std::vector<GainDestination> &Destinations,
             const GainRequest &Request,
             const std::vector<ProbedCandidate> &Probed, double BytePrice,
             TimePoint Now, Random &Generator);

/// Selects at most Count candidates to probe. As far as the credit allows, a
/// part of them are candidates of the other domain.
std::vector<TargetCandidate>
selectProbesByGain(std::vector<TargetCandidate> Candidates, std::size_t Count,
                   GainCredit &Credit, Random &Generator,
                   const RemoteFactors &Factors);

/// Returns the index of the target for a request that stays. A target of
/// another domain is used only if it is free and at its usual speed and its
/// gain over the best local one is worth more than the bytes. Chosen is the
/// domain that the probes went to, or nothing.
std::optional<std::size_t>
selectByGain(const std::vector<ProbedCandidate> &Probed,
             const GainRequest &Request,
             const std::optional<GainDestination> &Chosen, double BytePrice,
             const RemoteFactors &Factors);

/// Records that a request has used another domain for its gain.
void recordTaken(GainCredit &Credit);

} // namespace comfreyrill
