#include "SoakBook.h"

#include <algorithm>
#include <tuple>

namespace comfreyrill::soak {

namespace {

using Lines = std::vector<std::string>;

bool isSuccess(const CallRecord &Call) {
  return Call.Status && *Call.Status >= 200 && *Call.Status < 300;
}

/// Statuses that promise that a request has not run.
bool promisesNotRun(const CallRecord &Call) {
  return Call.Status && (*Call.Status == 408 || *Call.Status == 421 ||
                         *Call.Status == 429 || *Call.Status == 503);
}

std::string describe(const CallRecord &Call) {
  return "request " + Call.Request + " at host " + std::to_string(Call.Host) +
         " lifetime " + std::to_string(Call.Lifetime);
}

std::map<std::string, std::size_t> countRuns(const SoakBook &Book) {
  std::map<std::string, std::size_t> Runs;
  for (const ArrivalRecord &Arrival : Book.Arrivals)
    Runs[Arrival.Request] += Arrival.HasRun ? 1 : 0;
  return Runs;
}

void checkOutcomes(const SoakBook &Book, Lines &Found) {
  const auto Runs = countRuns(Book);
  for (const CallRecord &Call : Book.Calls) {
    const auto Position = Runs.find(Call.Request);
    const std::size_t Count = Position == Runs.end() ? 0 : Position->second;
    if (Call.IsAtMostOnce && Count > 1)
      Found.push_back("double run: " + describe(Call) + " ran " +
                      std::to_string(Count) + " times");
    if (Call.IsAtMostOnce && promisesNotRun(Call) && Count > 0)
      Found.push_back("false not-run: " + describe(Call));
    if (isSuccess(Call) && !Call.HasOwnBody)
      Found.push_back("wrong answer: " + describe(Call));
  }
}

void checkCutCalls(const SoakBook &Book, Lines &Found) {
  std::map<std::string, bool> HasArrived;
  for (const ArrivalRecord &Arrival : Book.Arrivals)
    HasArrived[Arrival.Request] = true;
  for (const CallRecord &Call : Book.Calls)
    if (Call.IsCut && HasArrived.contains(Call.Request) &&
        isInTouch(Book, Call.Host, Call.SentAt, Call.EndedAt))
      Found.push_back("cut without an answer: " + describe(Call));
}

void checkDraining(const SoakBook &Book, Lines &Found) {
  for (const Acknowledged &Drained : Book.DrainedTargets)
    for (const ArrivalRecord &Arrival : Book.Arrivals)
      if (Arrival.Target == Drained.Target &&
          Arrival.At > Drained.At + Book.DrainTime &&
          isInTouch(Book, Arrival.Host, Drained.At, Arrival.At))
        Found.push_back("draining target " + Drained.Target + " gets request " +
                        Arrival.Request + " from host " +
                        std::to_string(Arrival.Host));
}

void checkConfigurations(const SoakBook &Book, Lines &Found) {
  std::map<std::uint64_t, TimePoint> AcknowledgedAt;
  for (const Acknowledged &Version : Book.Configurations)
    AcknowledgedAt[Version.Version] = Version.At;
  struct Life {
    std::size_t Host;
    std::uint32_t Lifetime;
    std::uint64_t Version;

    bool operator<(const Life &Other) const {
      return std::tie(Host, Lifetime, Version) <
             std::tie(Other.Host, Other.Lifetime, Other.Version);
    }
  };
  std::map<Life, TimePoint> ServedAt;
  for (const CallRecord &Call : Book.Calls)
    if (isSuccess(Call)) {
      const auto [Position, IsNew] = ServedAt.try_emplace(
          Life{Call.Host, Call.Lifetime, Call.RouteVersion}, Call.EndedAt);
      if (!IsNew)
        Position->second = std::min(Position->second, Call.EndedAt);
    }
  for (const CallRecord &Call : Book.Calls) {
    if (Call.Status != 404)
      continue;
    const auto Acknowledgement = AcknowledgedAt.find(Call.RouteVersion);
    if (Acknowledgement != AcknowledgedAt.end() &&
        Call.SentAt > Acknowledgement->second + Book.ConfigurationTime &&
        isInTouch(Book, Call.Host, Call.SentAt, Call.EndedAt))
      Found.push_back("configuration " + std::to_string(Call.RouteVersion) +
                      " not in force: " + describe(Call));
    const auto Served =
        ServedAt.find({Call.Host, Call.Lifetime, Call.RouteVersion});
    if (Served != ServedAt.end() &&
        Call.SentAt > Served->second + Book.RollbackSlack)
      Found.push_back("configuration " + std::to_string(Call.RouteVersion) +
                      " went back: " + describe(Call));
  }
}

} // namespace

bool isInTouch(const SoakBook &Book, std::size_t Host, TimePoint From,
               TimePoint Until) {
  return std::none_of(Book.Disturbances.begin(), Book.Disturbances.end(),
                      [&](const Disturbance &Known) {
                        return (!Known.Host || *Known.Host == Host) &&
                               Known.From <= Until &&
                               Known.Until >= From - Book.StabilityWindow;
                      });
}

std::vector<std::string> findViolations(const SoakBook &Book) {
  Lines Found;
  checkOutcomes(Book, Found);
  checkCutCalls(Book, Found);
  checkDraining(Book, Found);
  checkConfigurations(Book, Found);
  return Found;
}

double shareServed(const SoakBook &Book, TimePoint From, TimePoint Until) {
  std::size_t Sent = 0;
  std::size_t Served = 0;
  for (const CallRecord &Call : Book.Calls)
    if (Call.SentAt >= From && Call.SentAt < Until) {
      ++Sent;
      Served += isSuccess(Call) ? 1 : 0;
    }
  return Sent == 0 ? 0
                   : static_cast<double>(Served) / static_cast<double>(Sent);
}

} // namespace comfreyrill::soak
