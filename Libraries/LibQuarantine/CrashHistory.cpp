#include <LibQuarantine/CrashHistory.h>

#include <algorithm>

namespace comfreyrill {

namespace {

bool isTooOld(const CrashHistoryLimits &Limits, TimePoint Time, TimePoint Now) {
  return Now - Time >= Limits.EvidenceLifetime;
}

std::size_t countSeries(const CrashHistoryLimits &Limits,
                        const SuspectRequest &Suspect) {
  std::size_t Count = 0;
  std::optional<TimePoint> SeriesEnd;
  for (const RequestCrash &Crash : Suspect.Crashes) {
    if (SeriesEnd && Crash.Time < *SeriesEnd)
      continue;
    ++Count;
    SeriesEnd = Crash.Time + Limits.SeriesTime;
  }
  return Count;
}

/// Returns the end of the quarantine, or nothing if the evidence is too weak
/// for one. The result depends on the evidence only, so hosts with the same
/// evidence agree but for their spread.
std::optional<TimePoint> quarantineEnd(const CrashHistory &History,
                                       const SuspectRequest &Suspect) {
  const CrashHistoryLimits &Limits = History.Limits;
  const std::size_t Series = countSeries(Limits, Suspect);
  if (Suspect.Crashes.size() < Limits.LifetimesMinimum ||
      Series < Limits.SeriesMinimum)
    return std::nullopt;
  Duration Length = Limits.FirstQuarantine;
  for (std::size_t Count = Limits.LifetimesMinimum;
       Count < Series && Length < Limits.QuarantineMaximum; ++Count)
    Length *= Limits.QuarantineGrowth;
  Length = std::min(Length, Limits.QuarantineMaximum);
  return Suspect.Crashes.back().Time +
         std::chrono::duration_cast<Duration>(Length *
                                              (1 + History.QuarantineSpread));
}

TimePoint latestTime(const SuspectRequest &Suspect) {
  TimePoint Latest = Suspect.AnsweredAt.value_or(TimePoint::min());
  if (!Suspect.Crashes.empty())
    Latest = std::max(Latest, Suspect.Crashes.back().Time);
  return Latest;
}

// Evicts the request with the least evidence, the oldest one of several. A
// flood of innocent requests must not displace the one that causes the crashes.
void evictWhenFull(CrashHistory &History) {
  if (History.Requests.size() < History.Limits.RequestsMaximum)
    return;
  const auto Weakest = std::min_element(
      History.Requests.begin(), History.Requests.end(),
      [](const auto &One, const auto &Other) {
        const auto &First = One.second;
        const auto &Second = Other.second;
        return First.Crashes.size() != Second.Crashes.size()
                   ? First.Crashes.size() < Second.Crashes.size()
                   : latestTime(First) < latestTime(Second);
      });
  if (Weakest != History.Requests.end())
    History.Requests.erase(Weakest);
}

} // namespace

bool recordCrash(CrashHistory &History, std::uint64_t Fingerprint,
                 const RequestCrash &Crash, TimePoint Now) {
  if (isTooOld(History.Limits, Crash.Time, Now))
    return false;
  if (!History.Requests.contains(Fingerprint))
    evictWhenFull(History);
  SuspectRequest &Suspect = History.Requests[Fingerprint];
  if (Suspect.AnsweredAt && Crash.Time <= *Suspect.AnsweredAt)
    return false;
  auto &Crashes = Suspect.Crashes;
  if (std::any_of(Crashes.begin(), Crashes.end(),
                  [&](const RequestCrash &Known) {
                    return Known.Lifetime == Crash.Lifetime;
                  }))
    return false;
  if (Crashes.size() >= History.Limits.CrashesMaximum) {
    if (Crash.Time <= Crashes.front().Time)
      return false;
    Crashes.erase(Crashes.begin());
  }
  Crashes.insert(
      std::upper_bound(Crashes.begin(), Crashes.end(), Crash,
                       [](const RequestCrash &One, const RequestCrash &Other) {
                         return One.Time < Other.Time;
                       }),
      Crash);
  return true;
}

bool recordAnswer(CrashHistory &History, std::uint64_t Fingerprint,
                  TimePoint AnsweredAt) {
  const auto Position = History.Requests.find(Fingerprint);
  if (Position == History.Requests.end())
    return false;
  SuspectRequest &Suspect = Position->second;
  Suspect.AnsweredAt =
      std::max(Suspect.AnsweredAt.value_or(AnsweredAt), AnsweredAt);
  Suspect.TrialUntil.reset();
  return std::erase_if(Suspect.Crashes, [&](const RequestCrash &Crash) {
           return Crash.Time <= *Suspect.AnsweredAt;
         }) > 0;
}

std::optional<Duration> quarantineLeft(const CrashHistory &History,
                                       std::uint64_t Fingerprint,
                                       TimePoint Now) {
  const auto Position = History.Requests.find(Fingerprint);
  if (Position == History.Requests.end())
    return std::nullopt;
  const auto End = quarantineEnd(History, Position->second);
  if (!End)
    return std::nullopt;
  const TimePoint Until =
      std::max(*End, Position->second.TrialUntil.value_or(*End));
  return Now < Until ? std::optional<Duration>(Until - Now) : std::nullopt;
}

void beginTrial(CrashHistory &History, std::uint64_t Fingerprint,
                TimePoint Now) {
  const auto Position = History.Requests.find(Fingerprint);
  if (Position != History.Requests.end() &&
      quarantineEnd(History, Position->second))
    Position->second.TrialUntil = Now + History.Limits.TrialTime;
}

CrashReports summarize(const CrashHistory &History, std::size_t ReportsMaximum,
                       TimePoint Now) {
  CrashReports Reports;
  for (const auto &[Fingerprint, Suspect] : History.Requests) {
    const std::size_t Needed =
        Suspect.Crashes.size() + (Suspect.AnsweredAt ? 1 : 0);
    const std::size_t Used = Reports.Crashes.size() + Reports.Answers.size();
    const bool IsRecentlyAnswered =
        Suspect.AnsweredAt &&
        Now - *Suspect.AnsweredAt < History.Limits.SummaryAnswerAge;
    if ((Suspect.Crashes.size() < 2 && !IsRecentlyAnswered) ||
        Used + Needed > ReportsMaximum)
      continue;
    for (const RequestCrash &Crash : Suspect.Crashes)
      Reports.Crashes.push_back({Fingerprint, Crash});
    if (Suspect.AnsweredAt)
      Reports.Answers.push_back({Fingerprint, *Suspect.AnsweredAt});
  }
  return Reports;
}

void forgetOldEvidence(CrashHistory &History, TimePoint Now) {
  for (auto Position = History.Requests.begin();
       Position != History.Requests.end();) {
    SuspectRequest &Suspect = Position->second;
    std::erase_if(Suspect.Crashes, [&](const RequestCrash &Crash) {
      return isTooOld(History.Limits, Crash.Time, Now);
    });
    if (Suspect.AnsweredAt &&
        isTooOld(History.Limits, *Suspect.AnsweredAt, Now))
      Suspect.AnsweredAt.reset();
    const bool IsEmpty = Suspect.Crashes.empty() && !Suspect.AnsweredAt;
    Position = IsEmpty ? History.Requests.erase(Position) : std::next(Position);
  }
}

} // namespace comfreyrill
