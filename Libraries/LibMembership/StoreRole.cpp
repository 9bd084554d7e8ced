#include <LibMembership/StoreRole.h>

#include <LibMembership/Roles.h>

#include <algorithm>

namespace comfreyrill {

namespace {

// How long a host counts as unreachable for the store after its first failed
// call. The time doubles with each further failure up to the maximum.
constexpr Duration FailureLifetime = std::chrono::seconds(1);
constexpr Duration FailureLifetimeMaximum = std::chrono::seconds(16);
// Targets renew their registrations several times before these lapse. An outage
// that is shorter than that lets none lapse; watches may be cut at any time.
constexpr Duration ShortestOutage = std::chrono::seconds(1);
// Longer than the longest pause between two calls of a host during an outage,
// together with the calls.
constexpr Duration OutageMemory =
    FailureLifetimeMaximum + std::chrono::seconds(4);
// Several checks cover one interval of a host that checks without a watcher.
constexpr Duration AnswerLifetime = std::chrono::seconds(1);
// Hosts that check at the same time. If they checked one after the other, a
// store that is silent to most hosts of a domain would leave it without changes
// for longer than a change may take. The limit keeps the calls of a large
// domain independent of its size.
constexpr std::size_t CheckersMaximum = 4;

bool hasRecentAnswer(const StoreContact &Contact, TimePoint Now) {
  return Contact.LastAnswer && Now - *Contact.LastAnswer < AnswerLifetime &&
         (!Contact.LastFailure || *Contact.LastFailure < *Contact.LastAnswer);
}

// Hosts take turns with their calls, so the last failure of this host may be
// older than the end of the outage.
bool endsOutage(const StoreContact &Contact, TimePoint Now) {
  return Contact.Failures > 0 && Now - *Contact.LastFailure < OutageMemory &&
         (!Contact.LastAnswer || Now - *Contact.LastAnswer >= ShortestOutage);
}

Duration failureLifetime(const StoreContact &Contact) {
  Duration Lifetime = FailureLifetime;
  for (std::uint32_t Count = 1;
       Count < Contact.Failures && Lifetime < FailureLifetimeMaximum; ++Count)
    Lifetime *= 2;
  return Lifetime;
}

} // namespace

void recordAnswer(StoreContact &Contact, TimePoint Now) {
  if (endsOutage(Contact, Now))
    Contact.OutageEndedAt = Now;
  Contact.LastAnswer = Now;
  Contact.Failures = 0;
}

void recordFailure(StoreContact &Contact, TimePoint Now) {
  Contact.LastFailure = Now;
  ++Contact.Failures;
}

bool reachesStore(const StoreContact &Contact, TimePoint Now) {
  return !Contact.LastFailure ||
         Now - *Contact.LastFailure >= failureLifetime(Contact) ||
         (Contact.LastAnswer && *Contact.LastAnswer > *Contact.LastFailure);
}

StoreRole storeRole(const MemberTable &Table, const StoreContact &Contact,
                    TimePoint Now) {
  const bool IsLeaving = Table.Self.State == HostState::Leaving;
  std::size_t Preferred = 0;
  bool HasFailure = !Table.Self.ReachesPlatform;
  for (const Peer &Other : Table.Peers) {
    if (liveness(Table, Other, Now) != Liveness::Alive ||
        Other.Description.State == HostState::Leaving)
      continue;
    if (Other.Description.WatchesStore) {
      if (!Table.Self.WatchesStore || IsLeaving || Other.Rank > Table.Rank)
        return StoreRole::None;
      continue;
    }
    HasFailure = HasFailure || !Other.Description.ReachesPlatform;
    if (isPreferredWatcher(Other.Description, Other.Rank, Table.Self,
                           Table.Rank))
      ++Preferred;
  }
  // A watch whose calls fail goes on until another host has taken over. It may
  // only be slow, as the calls of all hosts then are.
  if (Table.Self.WatchesStore || Contact.IsWatching)
    return StoreRole::Watch;
  if (IsLeaving)
    return StoreRole::None;
  if (Preferred == 0 && Table.Self.ReachesPlatform &&
      (!HasFailure || hasRecentAnswer(Contact, Now)))
    return StoreRole::Watch;
  return HasFailure && Preferred < CheckersMaximum ? StoreRole::Check
                                                   : StoreRole::None;
}

} // namespace comfreyrill
