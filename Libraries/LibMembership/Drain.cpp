#include <LibMembership/Drain.h>

namespace comfreyrill {

namespace {

// A peer may hand out the address until it learns that this host leaves; one
// that cannot be told stops when it has not heard this host for the suspect
// time.
constexpr Duration SpreadTime = std::chrono::seconds(2);

} // namespace

DrainStep drainStep(const Drain &Current, std::size_t CallsInFlight,
                    TimePoint Now) {
  const TimePoint LastUse =
      Current.Started + SpreadTime + Current.AddressLifetime;
  if (Now < LastUse)
    return DrainStep::Serve;
  const bool IsDone =
      CallsInFlight == 0 || Now >= LastUse + Current.MaximumCallTime;
  return IsDone ? DrainStep::Exit : DrainStep::Finish;
}

} // namespace comfreyrill
