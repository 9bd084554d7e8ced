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

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

double number(const boost::json::object &Object, const char *Key,
              double Default) {
  const boost::json::value *Value = Object.if_contains(Key);
  return Value ? Value->to_number<double>() : Default;
}

std::vector<Span> spans(const boost::json::object &Object, const char *Key) {
  std::vector<Span> Result;
  if (const boost::json::value *List = Object.if_contains(Key))
    for (const boost::json::value &Item : List->as_array()) {
      const boost::json::object &Entry = Item.as_object();
      Result.push_back({static_cast<std::uint32_t>(number(Entry, "first", 0)),
                        static_cast<std::uint32_t>(number(Entry, "count", 1)),
                        TraceStart + seconds(number(Entry, "from_s", 0)),
                        TraceStart + seconds(number(Entry, "until_s", 1e6)),
                        number(Entry, "value", 0)});
    }
  return Result;
}

bool concerns(const Span &Value, std::uint32_t Index) {
  return Index >= Value.First && Index < Value.First + Value.Count;
}

// Spans of slowness of one target; they multiply where they overlap.
struct SlowSpans {
  std::vector<Span> Spans;
};

void addNoise(SlowSpans &Slow, const boost::json::object &Noise, TimePoint End,
              Random &Generator) {
  const double Episode = number(Noise, "episode_ms", 40) / 1000;
  const double Share = number(Noise, "share", 0.2);
  std::exponential_distribution<double> Gap(Share / (Episode * (1 - Share)));
  TimePoint At = TraceStart + seconds(Gap(Generator));
  while (At < End) {
    Slow.Spans.push_back(
        {0, 1, At, At + seconds(Episode), number(Noise, "speed", 0.25)});
    At += seconds(Episode + Gap(Generator));
  }
}

// A restart drains, is down and comes back cold; targets restart in turn.
void addRestarts(TargetBehaviour &Target, SlowSpans &Slow,
                 const boost::json::object &Restart, std::uint32_t Index) {
  const TimePoint Begin = TraceStart + seconds(number(Restart, "from_s", 2) +
                                               number(Restart, "every_s", 1) *
                                                   static_cast<double>(Index));
  const TimePoint Down = Begin + seconds(number(Restart, "drain_s", 1));
  const TimePoint Cold = Down + seconds(number(Restart, "down_s", 0.5));
  const Duration Step = seconds(number(Restart, "cold_s", 2) / 4);
  Target.Draining.push_back({0, 1, Begin, Down, 0});
  Target.Down.push_back({0, 1, Down, Cold, 0});
  for (int Part = 0; Part < 4; ++Part)
    Slow.Spans.push_back(
        {0, 1, Cold + Part * Step, Cold + (Part + 1) * Step, 0.2 + 0.2 * Part});
}

std::vector<SpeedStep> speedSteps(const SlowSpans &Slow) {
  struct Edge {
    TimePoint At;
    double Factor;
  };
  std::vector<Edge> Edges;
  for (const Span &Value : Slow.Spans) {
    Edges.push_back({Value.From, Value.Value});
    Edges.push_back({Value.Until, 1 / Value.Value});
  }
  std::sort(
      Edges.begin(), Edges.end(),
      [](const Edge &Left, const Edge &Right) { return Left.At < Right.At; });
  std::vector<SpeedStep> Steps{{TraceStart, 1}};
  for (const Edge &Change : Edges)
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
  const double Answer = number(Object, "service_ms", 20) / 1000;
  const double Skew = number(Object, "host_skew", 0);
  const double IdempotentShare = number(Object, "idempotent", 0.8);
  const bool SameWork = number(Object, "same_work", 0) != 0;
  // The load is relative to what the targets can do at their mean speed.
  double Capacity = 0;
  for (const TargetBehaviour &Target : Result.Targets)
    Capacity += Result.Slots * meanSpeed(Target, Result.End) / Answer;
  std::vector<double> Weights;
  for (std::uint32_t Host = 0; Host < Result.Hosts; ++Host)
    Weights.push_back(1 / std::pow(Host + 1.0, Skew));
  std::discrete_distribution<std::uint32_t> Hosts(Weights.begin(),
                                                  Weights.end());
  std::exponential_distribution<double> Gap(Result.Load * Capacity);
  std::exponential_distribution<double> Work(1 / Answer);
  std::bernoulli_distribution Idempotent(IdempotentShare);
  TimePoint At = Result.Start + seconds(Gap(Generator));
  while (At < Result.End) {
    Arrival Next{At, Hosts(Generator), Work(Generator), Work(Generator),
                 Idempotent(Generator)};
    if (SameWork)
      Next.SecondWork = Next.Work;
    Result.Arrivals.push_back(Next);
    At += seconds(Gap(Generator));
  }
}

void addTargets(Trace &Result, const boost::json::object &Object,
                Random &Generator) {
  const auto Count = static_cast<std::uint32_t>(number(Object, "targets", 24));
  const std::vector<Span> Slow = spans(Object, "slow");
  const std::vector<Span> Failing = spans(Object, "failing");
  const std::vector<Span> Lying = spans(Object, "lying");
  const std::vector<Span> DomainsLost = spans(Object, "domains_lost");
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    TargetBehaviour Target;
    SlowSpans OwnSlow;
    for (const Span &Value : Slow)
      if (concerns(Value, Index))
        OwnSlow.Spans.push_back(Value);
    for (const Span &Value : Failing)
      if (concerns(Value, Index))
        Target.Failing.push_back(Value);
    for (const Span &Value : Lying)
      if (concerns(Value, Index))
        Target.Lying.push_back(Value);
    for (const Span &Value : DomainsLost)
      if (concerns(Value, Index % Result.Domains))
        Target.Down.push_back(Value);
    if (const boost::json::value *Noise = Object.if_contains("noise"))
      addNoise(OwnSlow, Noise->as_object(), Result.End, Generator);
    if (const boost::json::value *Restart = Object.if_contains("restart"))
      addRestarts(Target, OwnSlow, Restart->as_object(), Index);
    Target.Speeds = speedSteps(OwnSlow);
    Result.Targets.push_back(std::move(Target));

    TargetConfig Config;
    Config.Id = TargetId("t" + std::to_string(Index));
    Config.Domain = FailureDomain("d" + std::to_string(Index % Result.Domains));
    Config.Slots = Result.Slots;
    Config.MaxConnections =
        static_cast<std::uint32_t>(number(Object, "connections", 200));
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
  Result.Seed = static_cast<std::uint64_t>(number(Object, "seed", 1));
  Result.Hosts = static_cast<std::uint32_t>(number(Object, "hosts", 15));
  Result.Slots = static_cast<std::uint32_t>(number(Object, "slots", 6));
  Result.Domains = static_cast<std::uint32_t>(number(Object, "domains", 3));
  Result.Load = number(Object, "load", 0.5);
  Result.Start = TraceStart;
  Result.End = TraceStart + seconds(number(Object, "seconds", 20));
  Result.TargetQueue = static_cast<std::uint32_t>(
      number(Object, "queue_per_slot", 4) * Result.Slots);
  Result.Service.Name = ServiceName("service");
  Result.HostsLost = spans(Object, "hosts_lost");
  Result.HostsFrozen = spans(Object, "hosts_frozen");
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

bool isWithin(const std::vector<Span> &Spans, TimePoint Now) {
  return std::any_of(Spans.begin(), Spans.end(), [&](const Span &Value) {
    return Now >= Value.From && Now < Value.Until;
  });
}

namespace {

std::size_t stepAt(const TargetBehaviour &Target, TimePoint Now) {
  auto Next = std::upper_bound(
      Target.Speeds.begin(), Target.Speeds.end(), Now,
      [](TimePoint Left, const SpeedStep &Step) { return Left < Step.From; });
  return static_cast<std::size_t>(Next - Target.Speeds.begin()) - 1;
}

} // namespace

double speedAt(const TargetBehaviour &Target, TimePoint Now) {
  return Target.Speeds[stepAt(Target, Now)].Speed;
}

TimePoint finishTime(const TargetBehaviour &Target, TimePoint Now,
                     double Work) {
  for (std::size_t Index = stepAt(Target, Now);; ++Index) {
    const Duration Needed = seconds(Work / Target.Speeds[Index].Speed);
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
