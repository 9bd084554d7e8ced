#include "Trace.h"

#include <LibCore/Random.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace comfreyrill::replay {

namespace {

constexpr TimePoint TraceStart{std::chrono::hours(1)};

Duration toDuration(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

double readNumber(const boost::json::object &Object, const char *Key,
                  double Default) {
  const boost::json::value *Value = Object.if_contains(Key);
  return Value ? Value->to_number<double>() : Default;
}

std::vector<Interval> readIntervals(const boost::json::object &Object,
                                    const char *Key) {
  std::vector<Interval> Result;
  if (const boost::json::value *List = Object.if_contains(Key))
    for (const boost::json::value &Item : List->as_array()) {
      const boost::json::object &Entry = Item.as_object();
      Result.push_back(
          {static_cast<std::uint32_t>(readNumber(Entry, "first", 0)),
           static_cast<std::uint32_t>(readNumber(Entry, "count", 1)),
           TraceStart + toDuration(readNumber(Entry, "from_s", 0)),
           TraceStart + toDuration(readNumber(Entry, "until_s", 1e6)),
           readNumber(Entry, "value", 0)});
    }
  return Result;
}

bool appliesTo(const Interval &Value, std::uint32_t Index) {
  return Index >= Value.First && Index < Value.First + Value.Count;
}

// Intervals in which one target is slow; their speeds multiply where they
// overlap.
struct SlowIntervals {
  std::vector<Interval> Intervals;
};

// Adds slow episodes of fixed length at exponentially distributed intervals.
void addNoise(SlowIntervals &Slow, const boost::json::object &Noise,
              TimePoint End, Random &Generator) {
  const double EpisodeSeconds = readNumber(Noise, "episode_ms", 40) / 1000;
  const double SlowShare = readNumber(Noise, "share", 0.2);
  std::exponential_distribution<double> Gap(SlowShare /
                                            (EpisodeSeconds * (1 - SlowShare)));
  TimePoint At = TraceStart + toDuration(Gap(Generator));
  while (At < End) {
    Slow.Intervals.push_back({0, 1, At, At + toDuration(EpisodeSeconds),
                              readNumber(Noise, "speed", 0.25)});
    At += toDuration(EpisodeSeconds + Gap(Generator));
  }
}

// A restarting target drains, is down and then warms up in four steps; targets
// restart one after the other.
void addRestarts(TargetBehaviour &Target, SlowIntervals &Slow,
                 const boost::json::object &Restart, std::uint32_t Index) {
  const TimePoint DrainStart =
      TraceStart + toDuration(readNumber(Restart, "from_s", 2) +
                              readNumber(Restart, "every_s", 1) *
                                  static_cast<double>(Index));
  const TimePoint DownStart =
      DrainStart + toDuration(readNumber(Restart, "drain_s", 1));
  const TimePoint WarmUpStart =
      DownStart + toDuration(readNumber(Restart, "down_s", 0.5));
  const Duration Step = toDuration(readNumber(Restart, "cold_s", 2) / 4);
  Target.Draining.push_back({0, 1, DrainStart, DownStart, 0});
  Target.Down.push_back({0, 1, DownStart, WarmUpStart, 0});
  for (int Part = 0; Part < 4; ++Part)
    Slow.Intervals.push_back({0, 1, WarmUpStart + Part * Step,
                              WarmUpStart + (Part + 1) * Step,
                              0.2 + 0.2 * Part});
}

std::vector<SpeedStep> speedSteps(const SlowIntervals &Slow) {
  struct SpeedChange {
    TimePoint At;
    double Factor;
  };
  std::vector<SpeedChange> SpeedChanges;
  for (const Interval &Value : Slow.Intervals) {
    SpeedChanges.push_back({Value.From, Value.Value});
    SpeedChanges.push_back({Value.Until, 1 / Value.Value});
  }
  std::sort(SpeedChanges.begin(), SpeedChanges.end(),
            [](const SpeedChange &Left, const SpeedChange &Right) {
              return Left.At < Right.At;
            });
  std::vector<SpeedStep> Steps{{TraceStart, 1}};
  for (const SpeedChange &Change : SpeedChanges)
    Steps.push_back({Change.At, Steps.back().Speed * Change.Factor});
  return Steps;
}

double meanSpeed(const TargetBehaviour &Target, TimePoint End) {
  double Sum = 0;
  for (std::size_t Index = 0; Index < Target.Speeds.size(); ++Index) {
    const TimePoint From = std::min(Target.Speeds[Index].From, End);
    const TimePoint Until = Index + 1 < Target.Speeds.size()
                                ? std::min(Target.Speeds[Index + 1].From, End)
                                : End;
    Sum += Target.Speeds[Index].Speed *
           std::chrono::duration<double>(Until - From).count();
  }
  return Sum / std::chrono::duration<double>(End - TraceStart).count();
}

void addArrivals(Trace &Result, const boost::json::object &Object,
                 Random &Generator) {
  const double MeanServiceSeconds = readNumber(Object, "service_ms", 20) / 1000;
  const double Skew = readNumber(Object, "host_skew", 0);
  const double IdempotentShare = readNumber(Object, "idempotent", 0.8);
  const bool SameWork = readNumber(Object, "same_work", 0) != 0;
  // The load is relative to the capacity of the targets at their mean speed.
  double Capacity = 0;
  for (const TargetBehaviour &Target : Result.Targets)
    Capacity +=
        Result.Slots * meanSpeed(Target, Result.End) / MeanServiceSeconds;
  std::vector<double> Weights;
  for (std::uint32_t Host = 0; Host < Result.Hosts; ++Host)
    Weights.push_back(1 / std::pow(Host + 1.0, Skew));
  std::discrete_distribution<std::uint32_t> Hosts(Weights.begin(),
                                                  Weights.end());
  std::exponential_distribution<double> Gap(Result.Load * Capacity);
  std::exponential_distribution<double> Work(1 / MeanServiceSeconds);
  std::bernoulli_distribution Idempotent(IdempotentShare);
  TimePoint At = Result.Start + toDuration(Gap(Generator));
  while (At < Result.End) {
    Arrival Next{At, Hosts(Generator), Work(Generator), Work(Generator),
                 Idempotent(Generator)};
    if (SameWork)
      Next.LaterAttemptWork = Next.Work;
    Result.Arrivals.push_back(Next);
    At += toDuration(Gap(Generator));
  }
}

void addTargets(Trace &Result, const boost::json::object &Object,
                Random &Generator) {
  const auto Count =
      static_cast<std::uint32_t>(readNumber(Object, "targets", 24));
  const std::vector<Interval> Slow = readIntervals(Object, "slow");
  const std::vector<Interval> Failing = readIntervals(Object, "failing");
  const std::vector<Interval> Misreporting = readIntervals(Object, "lying");
  const std::vector<Interval> DomainsLost =
      readIntervals(Object, "domains_lost");
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    TargetBehaviour Target;
    SlowIntervals TargetSlow;
    for (const Interval &Value : Slow)
      if (appliesTo(Value, Index))
        TargetSlow.Intervals.push_back(Value);
    for (const Interval &Value : Failing)
      if (appliesTo(Value, Index))
        Target.Failing.push_back(Value);
    for (const Interval &Value : Misreporting)
      if (appliesTo(Value, Index))
        Target.Misreporting.push_back(Value);
    for (const Interval &Value : DomainsLost)
      if (appliesTo(Value, Index % Result.Domains))
        Target.Down.push_back(Value);
    if (const boost::json::value *Noise = Object.if_contains("noise"))
      addNoise(TargetSlow, Noise->as_object(), Result.End, Generator);
    if (const boost::json::value *Restart = Object.if_contains("restart"))
      addRestarts(Target, TargetSlow, Restart->as_object(), Index);
    Target.Speeds = speedSteps(TargetSlow);
    Result.Targets.push_back(std::move(Target));

    TargetConfig Config;
    Config.Id = TargetId("t" + std::to_string(Index));
    Config.Domain = FailureDomain("d" + std::to_string(Index % Result.Domains));
    Config.Slots = Result.Slots;
    Config.MaxConnections =
        static_cast<std::uint32_t>(readNumber(Object, "connections", 200));
    Result.Service.Targets.push_back(Config);
  }
}

} // namespace

Trace loadTrace(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("cannot open the trace " + Path);
  std::stringstream Text;
  Text << File.rdbuf();
  const boost::json::value Document = boost::json::parse(Text.str());
  const boost::json::object &Object = Document.as_object();
  Trace Result;
  Result.Name = std::filesystem::path(Path).stem().string();
  Result.Seed = static_cast<std::uint64_t>(readNumber(Object, "seed", 1));
  Result.Hosts = static_cast<std::uint32_t>(readNumber(Object, "hosts", 15));
  Result.Slots = static_cast<std::uint32_t>(readNumber(Object, "slots", 6));
  Result.Domains = static_cast<std::uint32_t>(readNumber(Object, "domains", 3));
  Result.Load = readNumber(Object, "load", 0.5);
  Result.Start = TraceStart;
  Result.End = TraceStart + toDuration(readNumber(Object, "seconds", 20));
  Result.TargetQueue = static_cast<std::uint32_t>(
      readNumber(Object, "queue_per_slot", 4) * Result.Slots);
  Result.Service.Name = ServiceName("service");
  Result.HostsLost = readIntervals(Object, "hosts_lost");
  Result.HostsFrozen = readIntervals(Object, "hosts_frozen");
  Random Generator(Result.Seed);
  addTargets(Result, Object, Generator);
  addArrivals(Result, Object, Generator);
  return Result;
}

std::vector<std::string> listTraces(const std::string &Directory) {
  std::vector<std::string> Paths;
  for (const auto &Entry : std::filesystem::directory_iterator(Directory))
    if (Entry.path().extension() == ".json")
      Paths.push_back(Entry.path().string());
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

bool isWithin(const std::vector<Interval> &Intervals, TimePoint Now) {
  return std::any_of(Intervals.begin(), Intervals.end(),
                     [&](const Interval &Value) {
                       return Now >= Value.From && Now < Value.Until;
                     });
}

namespace {

std::size_t speedStepIndex(const TargetBehaviour &Target, TimePoint Now) {
  auto Next = std::upper_bound(
      Target.Speeds.begin(), Target.Speeds.end(), Now,
      [](TimePoint Left, const SpeedStep &Step) { return Left < Step.From; });
  return static_cast<std::size_t>(Next - Target.Speeds.begin()) - 1;
}

} // namespace

double speedAt(const TargetBehaviour &Target, TimePoint Now) {
  return Target.Speeds[speedStepIndex(Target, Now)].Speed;
}

TimePoint finishTime(const TargetBehaviour &Target, TimePoint Now,
                     double Work) {
  for (std::size_t Index = speedStepIndex(Target, Now);; ++Index) {
    const Duration Needed = toDuration(Work / Target.Speeds[Index].Speed);
    if (Index + 1 == Target.Speeds.size() ||
        Now + Needed <= Target.Speeds[Index + 1].From)
      return Now + Needed;
    const TimePoint Next = Target.Speeds[Index + 1].From;
    Work -= std::chrono::duration<double>(Next - Now).count() *
            Target.Speeds[Index].Speed;
    Now = Next;
  }
}

} // namespace comfreyrill::replay
