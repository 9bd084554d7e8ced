#include <LibAccount/TokenPreview.h>

#include <algorithm>

namespace comfreyrill {

TokenPreview previewToken(const Allotments &State, const ClientAccount &Holder,
                          Random &Generator, TimePoint Now) {
  Allotments Copy = State;
  TokenLease &Lease = Copy.Leases[Holder.Name];
  expireRequest(Copy, Lease, Now);
  discardVoidTokens(Lease, Now);
  TokenPreview Preview;
  Preview.Held = heldTokens(Lease);
  Preview.RefusedFor = std::max(Lease.RefusedUntil - Now, Duration::zero());
  if (const OwnerCandidate *Owner =
          chooseOwner(Copy.View, Holder.Name, Copy.Skipped, Now)) {
    Preview.Owner = Owner->Host;
    Preview.IsOwnerSelf = Owner->Host == Copy.View.Self;
  }
  Preview.Decision =
      decide(Copy, Lease, Holder, Now + TokenWaitMaximum, Generator, Now);
  return Preview;
}

} // namespace comfreyrill
