#include "GatewayMetrics.h"

namespace comfreyrill {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::string_view Prefix = "comfreyrill_";

template <typename Value>
void appendSample(std::string &Text, std::string_view Name,
                  std::string_view Suffix, Value Sample) {
  Text += Prefix;
  Text += Name;
  Text += Suffix;
  Text += ' ';
  Text += std::to_string(Sample);
  Text += '\n';
}

} // namespace

GatewayMetrics::TimeDistribution::TimeDistribution()
    : Median(accumulators::quantile_probability = 0.5),
      Percentile99(accumulators::quantile_probability = 0.99) {}

std::uint64_t &GatewayMetrics::counter(std::string_view Name) {
  const auto Position = Counters.find(Name);
  return Position == Counters.end() ? Counters[std::string(Name)]
                                    : Position->second;
}

void GatewayMetrics::setGauge(std::string_view Name, double Value) {
  Gauges.insert_or_assign(std::string(Name), Value);
}

void GatewayMetrics::recordDuration(std::string_view Name, Duration Value) {
  auto Position = Durations.find(Name);
  if (Position == Durations.end())
    Position = Durations.try_emplace(std::string(Name)).first;
  const double Seconds = std::chrono::duration<double>(Value).count();
  Position->second.Summary(Seconds);
  Position->second.Median(Seconds);
  Position->second.Percentile99(Seconds);
}

std::string GatewayMetrics::text() const {
  std::string Text;
  for (const auto &[Name, Value] : Counters)
    appendSample(Text, Name, "", Value);
  for (const auto &[Name, Value] : Gauges)
    appendSample(Text, Name, "", Value);
  for (const auto &[Name, Entry] : Durations) {
    appendSample(Text, Name, "_count", accumulators::count(Entry.Summary));
    appendSample(Text, Name, "{quantile=\"0.5\"}",
                 accumulators::p_square_quantile(Entry.Median));
    appendSample(Text, Name, "{quantile=\"0.99\"}",
                 accumulators::p_square_quantile(Entry.Percentile99));
    appendSample(Text, Name, "_max", accumulators::max(Entry.Summary));
  }
  return Text;
}

} // namespace comfreyrill
