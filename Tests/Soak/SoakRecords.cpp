#include "SoakRecords.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace comfreyrill::soak {

namespace {

using Lines = std::vector<std::string>;

/// All later configurations keep the routes of this one.
constexpr std::uint64_t FirstVersion = 1;

bool isSuccess(const CallRecord &Call) {
  return Call.Status && *Call.Status >= 200 && *Call.Status < 300;
}

/// Returns true if the status guarantees that the request has not run.
bool indicatesNotRun(const CallRecord &Call) {
  return Call.Status && (*Call.Status == 408 || *Call.Status == 421 ||
                         *Call.Status == 429 || *Call.Status == 503);
}

std::string describe(const CallRecord &Call) {
  return "request " + Call.Request + " at host " + std::to_string(Call.Host) +
         " lifetime " + std::to_string(Call.Lifetime);
}

std::map<std::string, std::size_t> countRuns(const SoakRecords &Records) {
  std::map<std::string, std::size_t> Runs;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    Runs[Arrival.Request] += Arrival.HasRun ? 1 : 0;
  return Runs;
}

void checkOutcomes(const SoakRecords &Records, Lines &Found) {
  const auto Runs = countRuns(Records);
  for (const CallRecord &Call : Records.Calls) {
    const auto Position = Runs.find(Call.Request);
    const std::size_t Count = Position == Runs.end() ? 0 : Position->second;
    if (Call.IsAtMostOnce && Count > 1)
      Found.push_back("double run: " + describe(Call) + " ran " +
                      std::to_string(Count) + " times");
    if (Call.IsAtMostOnce && indicatesNotRun(Call) && Count > 0)
      Found.push_back("false not-run: " + describe(Call));
    if (isSuccess(Call) && !Call.HasOwnBody)
      Found.push_back("wrong answer: " + describe(Call));
  }
}

void checkLostConnections(const SoakRecords &Records, Lines &Found) {
  std::map<std::string, bool> HasArrived;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    HasArrived[Arrival.Request] = true;
  for (const CallRecord &Call : Records.Calls)
    if (Call.IsConnectionLost && HasArrived.contains(Call.Request) &&
        wasUndisturbed(Records, Call.Host, Call.SentAt, Call.EndedAt))
      Found.push_back("lost connection without an answer: " + describe(Call));
}

using CallsByRequest = std::map<std::string, const CallRecord *>;

CallsByRequest indexCalls(const SoakRecords &Records) {
  CallsByRequest Calls;
  for (const CallRecord &Call : Records.Calls)
    Calls[Call.Request] = &Call;
  return Calls;
}

bool wasRestarted(const SoakRecords &Records, std::size_t Host, TimePoint From,
                  TimePoint Until) {
  return std::any_of(Records.Restarts.begin(), Records.Restarts.end(),
                     [&](const HostRestart &Restart) {
                       return Restart.Host == Host && Restart.At >= From &&
                              Restart.At <= Until;
                     });
}

/// Returns true if the host's process had learned that the target drains before
/// the call was sent. It must not forget it, whatever happens to it later.
bool hadLearnedOfDrain(const SoakRecords &Records, const CallRecord &Call,
                       const AcknowledgedChange &Drained) {
  const TimePoint LearnedAt = Drained.At + Records.DrainTime;
  return Call.SentAt > LearnedAt &&
         wasUndisturbed(Records, Call.Host, Drained.At, LearnedAt) &&
         !wasRestarted(Records, Call.Host, Drained.At, Call.EndedAt);
}

void checkDraining(const SoakRecords &Records, Lines &Found) {
  const CallsByRequest Calls = indexCalls(Records);
  for (const AcknowledgedChange &Drained : Records.DrainedTargets)
    for (const ArrivalRecord &Arrival : Records.Arrivals) {
      if (Arrival.Target != Drained.Target ||
          Arrival.At <= Drained.At + Records.DrainTime)
        continue;
      const std::string Text = "draining target " + describe(Drained.Target) +
                               " received request " + Arrival.Request +
                               " from host " + std::to_string(Arrival.Host);
      const auto Call = Calls.find(Arrival.Request);
      // A host that a disturbance has kept from learning of the drain must have
      // caught up by the end of the stability window.
      if (wasUndisturbed(Records, Arrival.Host,
                         std::max(Drained.At, Arrival.At - Records.DrainTime),
                         Arrival.At))
        Found.push_back(Text);
      else if (Call != Calls.end() &&
               hadLearnedOfDrain(Records, *Call->second, Drained))
        Found.push_back(Text + ", which had learned of it");
    }
}

bool wasFrozen(const SoakRecords &Records, std::size_t Host, TimePoint From,
               TimePoint Until) {
  return std::any_of(Records.Freezes.begin(), Records.Freezes.end(),
                     [&](const HostFreeze &Freeze) {
                       return Freeze.Host == Host && Freeze.From <= Until &&
                              Freeze.Until >= From;
                     });
}

bool wasLinkFaulty(const SoakRecords &Records, const std::string &TargetId,
                   TimePoint From, TimePoint Until) {
  return std::any_of(Records.TargetLinkFaults.begin(),
                     Records.TargetLinkFaults.end(),
                     [&](const TargetLinkFault &Fault) {
                       return Fault.TargetId == TargetId &&
                              Fault.From <= Until && Fault.Until >= From;
                     });
}

void checkLeavingTargets(const SoakRecords &Records, Lines &Found) {
  const CallsByRequest Calls = indexCalls(Records);
  const std::vector<LeavingAnswer> Answers = findLeavingAnswers(Records);
  for (const ArrivalRecord &Arrival : Records.Arrivals) {
    const auto Position = Calls.find(Arrival.Request);
    if (Arrival.IsMisdirected || Position == Calls.end())
      continue;
    const CallRecord &Call = *Position->second;
    const auto HadPassedOn = [&](const LeavingAnswer &Answer) {
      return Answer.Host == Call.Host && Answer.Lifetime == Call.Lifetime &&
             Answer.Target == Arrival.Target &&
             Call.SentAt > Answer.PassedOnAt + Records.DrainTime &&
             !wasFrozen(Records, Call.Host, Answer.PassedOnAt, Arrival.At);
    };
    if (std::any_of(Answers.begin(), Answers.end(), HadPassedOn))
      Found.push_back("DRAIN: leaving target " + describe(Arrival.Target) +
                      " received " + describe(Call));
  }
}

/// One process of a host.
struct HostProcess {
  std::size_t Host = 0;
  std::uint32_t Lifetime = 0;

  bool operator<(const HostProcess &Other) const {
    return std::tie(Host, Lifetime) < std::tie(Other.Host, Other.Lifetime);
  }
};

/// A request or probe as it reached a target from a known process of a host.
struct Contact {
  TimePoint At;
  Duration RetryAfter{0};
  std::string Name;
};

using ContactsByPath =
    std::map<std::pair<TargetProcess, HostProcess>, std::vector<Contact>>;

ContactsByPath findContacts(const SoakRecords &Records) {
  const CallsByRequest Calls = indexCalls(Records);
  std::map<std::pair<TargetProcess, std::size_t>, HostProcess> Connections;
  ContactsByPath Contacts;
  for (const ArrivalRecord &Arrival : Records.Arrivals) {
    const auto Call = Calls.find(Arrival.Request);
    if (Call == Calls.end())
      continue;
    const HostProcess Host{Call->second->Host, Call->second->Lifetime};
    if (Arrival.Connection != 0)
      Connections[{Arrival.Target, Arrival.Connection}] = Host;
    if (!Arrival.IsMisdirected)
      Contacts[{Arrival.Target, Host}].push_back(
          {Arrival.At, Arrival.RetryAfter, "request " + Arrival.Request});
  }
  for (const ProbeRecord &Probe : Records.Probes)
    if (const auto Host = Connections.find({Probe.Target, Probe.Connection});
        Host != Connections.end())
      Contacts[{Probe.Target, Host->second}].push_back(
          {Probe.At, Probe.RetryAfter, "a probe"});
  for (auto &[Path, Seen] : Contacts)
    std::stable_sort(Seen.begin(), Seen.end(),
                     [](const Contact &One, const Contact &Other) {
                       return One.At < Other.At;
                     });
  return Contacts;
}

void checkPauses(const SoakRecords &Records, Lines &Found) {
  for (const auto &[Path, Contacts] : findContacts(Records)) {
    const auto &[Target, Sender] = Path;
    TimePoint ReportedUntil = TimePoint::min();
    for (const Contact &Refused : Contacts) {
      const TimePoint Begin = Refused.At + Records.PauseTolerance;
      const TimePoint End = Refused.At + Refused.RetryAfter;
      if (Refused.At <= ReportedUntil || End <= Begin)
        continue;
      const auto Count = static_cast<std::size_t>(std::count_if(
          Contacts.begin(), Contacts.end(), [&](const Contact &Later) {
            return Later.At > Begin && Later.At <= End;
          }));
      if (Count <= Records.RequestsInPauseMaximum ||
          wasFrozen(Records, Sender.Host, Refused.At, End) ||
          wasLinkFaulty(Records, Target.Id, Refused.At, End))
        continue;
      // The answers within one reported period are not reported again.
      ReportedUntil = End;
      Found.push_back(
          "BUDGET: target " + describe(Target) + " received " +
          std::to_string(Count) + " requests and probes from host " +
          std::to_string(Sender.Host) + " lifetime " +
          std::to_string(Sender.Lifetime) + " after it asked for none for " +
          std::to_string(Refused.RetryAfter / std::chrono::seconds(1)) +
          " s in the answer to " + Refused.Name);
    }
  }
}

/// Returns the time from which on nothing excuses the host from using the
/// process.
TimePoint beginOfUse(const SoakRecords &Records, const TargetReadiness &Ready,
                     std::size_t Host) {
  TimePoint Begin = Ready.From;
  const auto Exclude = [&](TimePoint From, TimePoint Until) {
    if (From <= Ready.Until)
      Begin = std::max(Begin, std::min(Until, Ready.Until));
  };
  for (const Disturbance &Known : Records.Disturbances)
    if (!Known.Host || *Known.Host == Host)
      Exclude(Known.From, Known.Until);
  for (const TargetLinkFault &Fault : Records.TargetLinkFaults)
    if (Fault.TargetId == Ready.Target.Id)
      Exclude(Fault.From, Fault.Until);
  Begin += Records.StabilityWindow;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    if (Arrival.Target == Ready.Target && Arrival.RetryAfter > Duration::zero())
      Exclude(Arrival.At, Arrival.At + Arrival.RetryAfter);
  for (const ProbeRecord &Probe : Records.Probes)
    if (Probe.Target == Ready.Target && Probe.RetryAfter > Duration::zero())
      Exclude(Probe.At, Probe.At + Probe.RetryAfter);
  return Begin;
}

void checkUse(const SoakRecords &Records, Lines &Found) {
  for (const TargetReadiness &Ready : Records.ReadyTargets)
    for (const std::size_t Host : Ready.NearHosts) {
      const TimePoint Begin = beginOfUse(Records, Ready, Host);
      if (Begin + Records.UseTime > Ready.Until)
        continue;
      std::size_t Sent = 0;
      bool IsUsed = false;
      for (const ArrivalRecord &Arrival : Records.Arrivals)
        if (Arrival.Host == Host && Arrival.At >= Begin &&
            Arrival.At <= Ready.Until) {
          ++Sent;
          IsUsed = IsUsed || Arrival.Target == Ready.Target;
        }
      if (!IsUsed && Sent >= Records.RequestsInUseTimeMinimum)
        Found.push_back("ready target " + describe(Ready.Target) +
                        " received none of " + std::to_string(Sent) +
                        " requests of host " + std::to_string(Host));
    }
}

/// Returns the times of the requests that count against a limit. A restart or a
/// freeze of a host excuses it; faults of other links do not.
std::vector<TimePoint> limitedArrivals(const SoakRecords &Records,
                                       const RequestLimit &Limit) {
  std::vector<TimePoint> Times;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    if (Arrival.Target == Limit.Target && !Arrival.IsMisdirected &&
        Arrival.At >= Limit.From + Records.StabilityWindow &&
        Arrival.At <= Limit.Until &&
        !wasRestarted(Records, Arrival.Host,
                      Arrival.At - Records.StabilityWindow, Arrival.At) &&
        !wasFrozen(Records, Arrival.Host, Arrival.At - Records.StabilityWindow,
                   Arrival.At))
      Times.push_back(Arrival.At);
  std::sort(Times.begin(), Times.end());
  return Times;
}

void checkRequestLimits(const SoakRecords &Records, Lines &Found) {
  for (const RequestLimit &Limit : Records.RequestLimits) {
    const double Allowed =
        Records.LimitFactor * Limit.PerSecond *
            std::chrono::duration<double>(Records.LimitWindow).count() +
        Records.LimitSlack;
    const std::vector<TimePoint> Times = limitedArrivals(Records, Limit);
    std::size_t Largest = 0;
    for (auto Begin = Times.begin(); Begin != Times.end(); ++Begin) {
      const auto End =
          std::lower_bound(Begin, Times.end(), *Begin + Records.LimitWindow);
      Largest = std::max(Largest, static_cast<std::size_t>(End - Begin));
    }
    if (static_cast<double>(Largest) > Allowed)
      Found.push_back("LIMIT, target " + describe(Limit.Target) + " received " +
                      std::to_string(Largest) +
                      " requests in 4 s after it had named a limit of " +
                      std::to_string(Limit.PerSecond) + " per second");
  }
}

void checkConfigurations(const SoakRecords &Records, Lines &Found) {
  std::map<std::uint64_t, TimePoint> AcknowledgedAt;
  for (const AcknowledgedChange &Version : Records.Configurations)
    AcknowledgedAt[Version.Version] = Version.At;
  struct ServedVersion {
    std::size_t Host;
    std::uint32_t Lifetime;
    std::uint64_t Version;

    bool operator<(const ServedVersion &Other) const {
      return std::tie(Host, Lifetime, Version) <
             std::tie(Other.Host, Other.Lifetime, Other.Version);
    }
  };
  std::map<ServedVersion, TimePoint> ServedAt;
  for (const CallRecord &Call : Records.Calls)
    if (isSuccess(Call)) {
      const auto [Position, IsNew] = ServedAt.try_emplace(
          ServedVersion{Call.Host, Call.Lifetime, Call.RouteVersion},
          Call.EndedAt);
      if (!IsNew)
        Position->second = std::min(Position->second, Call.EndedAt);
    }
  for (const CallRecord &Call : Records.Calls) {
    if (Call.Status != 404)
      continue;
    // A host without a configuration refuses requests with 503.
    if (Call.RouteVersion == FirstVersion)
      Found.push_back("route of the first configuration unknown: " +
                      describe(Call));
    const auto Acknowledgement = AcknowledgedAt.find(Call.RouteVersion);
    if (Acknowledgement != AcknowledgedAt.end() &&
        Call.SentAt > Acknowledgement->second + Records.ConfigurationTime &&
        wasUndisturbed(Records, Call.Host, Call.SentAt, Call.EndedAt))
      Found.push_back("configuration " + std::to_string(Call.RouteVersion) +
                      " not in force: " + describe(Call));
    const auto Served =
        ServedAt.find({Call.Host, Call.Lifetime, Call.RouteVersion});
    if (Served != ServedAt.end() &&
        Call.SentAt > Served->second + Records.RollbackTolerance)
      Found.push_back("configuration " + std::to_string(Call.RouteVersion) +
                      " was reverted: " + describe(Call));
  }
}

} // namespace

std::string describe(const TargetProcess &Process) {
  return Process.Id + " process " + std::to_string(Process.Number);
}

bool wasUndisturbed(const SoakRecords &Records, std::size_t Host,
                    TimePoint From, TimePoint Until) {
  return std::none_of(Records.Disturbances.begin(), Records.Disturbances.end(),
                      [&](const Disturbance &Known) {
                        return (!Known.Host || *Known.Host == Host) &&
                               Known.From <= Until &&
                               Known.Until >= From - Records.StabilityWindow;
                      });
}

std::vector<LeavingAnswer> findLeavingAnswers(const SoakRecords &Records) {
  std::set<std::pair<std::string, TargetProcess>> Sent;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    if (Arrival.IsLeaving && !Arrival.IsMisdirected)
      Sent.emplace(Arrival.Request, Arrival.Target);
  std::vector<LeavingAnswer> Answers;
  for (const CallRecord &Call : Records.Calls)
    if (Call.Responder && Sent.contains({Call.Request, *Call.Responder}))
      Answers.push_back(
          {Call.Host, Call.Lifetime, *Call.Responder, Call.EndedAt});
  return Answers;
}

std::vector<std::string> findViolations(const SoakRecords &Records) {
  Lines Found;
  checkOutcomes(Records, Found);
  checkLostConnections(Records, Found);
  checkDraining(Records, Found);
  checkLeavingTargets(Records, Found);
  checkPauses(Records, Found);
  checkUse(Records, Found);
  checkRequestLimits(Records, Found);
  checkConfigurations(Records, Found);
  return Found;
}

std::size_t countAttributedProbes(const SoakRecords &Records) {
  std::set<std::pair<TargetProcess, std::size_t>> Connections;
  for (const ArrivalRecord &Arrival : Records.Arrivals)
    if (Arrival.Connection != 0)
      Connections.emplace(Arrival.Target, Arrival.Connection);
  return static_cast<std::size_t>(std::count_if(
      Records.Probes.begin(), Records.Probes.end(),
      [&](const ProbeRecord &Probe) {
        return Connections.contains({Probe.Target, Probe.Connection});
      }));
}

double servedShare(const SoakRecords &Records, TimePoint From,
                   TimePoint Until) {
  std::size_t Sent = 0;
  std::size_t Served = 0;
  for (const CallRecord &Call : Records.Calls)
    if (Call.SentAt >= From && Call.SentAt < Until) {
      ++Sent;
      Served += isSuccess(Call) ? 1 : 0;
    }
  return Sent == 0 ? 0
                   : static_cast<double>(Served) / static_cast<double>(Sent);
}

} // namespace comfreyrill::soak
