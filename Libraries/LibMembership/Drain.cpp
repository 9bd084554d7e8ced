#include <LibMembership/Drain.h>

namespace comfreyrill {

namespace {

// A peer may hand out the address of this host until it learns that the host is
// leaving. A peer that the announcement does not reach stops once heartbeats
// have been missing for the suspect time.
constexpr Duration PropagationTime = std::chrono::seconds(2);

} // namespace

DrainPhase drainPhase(const Drain &Current, std::size_t CallsInFlight,
                      TimePoint Now) {
  const TimePoint LastUse =
      Current.Started + PropagationTime + Current.AddressLifetime;
  if (Now < LastUse)
    return DrainPhase::Serve;
  const bool IsDone =
      CallsInFlight == 0 || Now >= LastUse + Current.MaximumCallTime;
  return IsDone ? DrainPhase::Exit : DrainPhase::Finish;
}

} // namespace comfreyrill
