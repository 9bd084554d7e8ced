#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace comfreyrill {

/// A target that is slower than this is not at its usual speed.
inline constexpr double UsualSlowdownMaximum = 1.3;

/// Load of one service in one failure domain, summed over the targets that may
/// receive requests and are not cold.
struct DomainLoad {
  std::uint32_t Targets = 0;
  /// Targets whose load is known from a report of the last second. Slots are
  /// summed over these only.
  std::uint32_t KnownTargets = 0;
  std::uint32_t UsefulSlots = 0;
  std::uint32_t BusySlots = 0;
  /// Mean over the targets with a known load.
  double Slowdown = 1;
  /// The requests of the domain need more slots than it has, whether or not
  /// some leave. See DomainChoiceState::IsPressed.
  bool IsPressed = false;
  /// Free useful slots of targets that are slower than usual. Known of the own
  /// domain only, 0 otherwise.
  std::uint32_t SlowSlots = 0;
};

/// State of one failure domain for one service as a host knows it.
struct DomainCondition {
  FailureDomain Domain;
  DomainLoad Load;
  /// Time since the load was summed up.
  Duration Age{0};
  /// One-way delay from the own failure domain.
  Duration Delay{0};
  bool IsEvacuated = false;
  /// The domain has not been heard from recently.
  bool IsSilent = false;
};

/// Input of one update of the decision for a service.
struct DomainChoiceInput {
  DomainCondition Own;
  std::vector<DomainCondition> Others;
  /// Requests that this host has received and rejected for lack of a slot since
  /// the last update. A request that leaves the failure domain and is rejected
  /// there is not counted.
  double Received = 0;
  double Refused = 0;
  /// Requests of this host that wait for a slot, and those in flight.
  double Waiting = 0;
  double InFlight = 0;
  /// Mean time that an idle target of usual speed needs for a request.
  Duration WorkTime{0};
};

/// The share of the requests of a service that goes to another failure domain.
struct DomainShare {
  FailureDomain Domain;
  double Share = 0;
  /// Expected time of a request there, with the delay of both ways.
  Duration ExpectedTime{0};
};

/// Slots of another failure domain that the own one may occupy.
struct SlotAllowance {
  FailureDomain Domain;
  double Slots = 0;
};

/// Shares that were in force from a time on.
struct PastShares {
  TimePoint Since;
  std::vector<DomainShare> Shares;
  double DemandSlots = 0;
};

/// Decision for one service on one host, and what the next update needs.
struct DomainChoiceState {
  /// Shares of the requests that may leave; empty while none may.
  std::vector<DomainShare> Shares;
  /// The own failure domain has no usable targets for the service.
  bool IsOwnLost = false;
  /// Estimate of the slots that the requests of the own failure domain would
  /// occupy; absent before the first estimate.
  std::optional<double> DemandSlots;
  /// Samples in that estimate since the domain became pressed.
  std::uint32_t DemandSamples = 0;
  /// Estimates of the slots that the other domains have for requests of the own
  /// one, including those that these occupy now.
  std::vector<SlotAllowance> Allowances;
  /// The requests of the own domain need more than its targets have.
  bool IsPressed = false;
  /// Smoothed counts of the requests that have tried the own domain and of
  /// those that it has rejected.
  double RecentStayed = 0;
  double RecentRefused = 0;
  /// Share that would leave if the other domains had slots for it.
  double WantedShare = 0;
  /// Last known utilization of the own targets.
  double OwnUtilization = 0;
  /// Expected time of a request at the own targets.
  Duration OwnExpectedTime{0};
  /// Oldest first.
  std::deque<PastShares> History;
};

/// Updates the decision. To be called about every DomainChoiceInterval.
void updateDomainChoice(DomainChoiceState &State,
                        const DomainChoiceInput &Input, TimePoint Now);

/// Share of the requests that may leave the own failure domain.
double leavingShare(const DomainChoiceState &State);

/// True when the service needs the loads of the other failure domains, because
/// its own domain is busy or has no usable targets.
bool needsOtherDomains(const DomainLoad &Own);

inline constexpr Duration DomainChoiceInterval = std::chrono::milliseconds(250);
/// Older load reports and summaries count as unknown.
inline constexpr Duration DomainLoadAgeMaximum = std::chrono::seconds(1);

} // namespace comfreyrill
