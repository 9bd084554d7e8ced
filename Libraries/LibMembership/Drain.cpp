#include <LibMembership/Drain.h>

namespace comfreyrill {

namespace {

// A peer may hand out the address until it learns that this host leaves; one
// that cannot be told stops when it has not heard this host for the suspect
// time.
constexpr Duration SpreadTime = std::chrono::seconds(2);

} // namespace

DrainPhase drainPhase(const Drain &Current, std::size_t CallsInFlight,
                      TimePoint Now) {
  const TimePoint LastUse =
      Current.Started + SpreadTime + Current.AddressLifetime;
  if (Now < LastUse)
    return DrainPhase::Serve;
  const bool IsDone =
      CallsInFlight == 0 || Now >= LastUse + Current.MaximumCallTime;
  return IsDone ? DrainPhase::Exit : DrainPhase::Finish;
}

} // namespace comfreyrill
