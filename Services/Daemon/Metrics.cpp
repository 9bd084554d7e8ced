#include "Metrics.h"

namespace comfreyrill {

namespace accumulators = boost::accumulators;

namespace {

template <typename Value>
void appendSample(std::string &Text, std::string_view Name,
                  std::string_view Labels, Value Sample) {
  Text += Name;
  if (!Labels.empty()) {
    Text += '{';
    Text += Labels;
    Text += '}';
  }
  Text += ' ';
  Text += std::to_string(Sample);
  Text += '\n';
}

} // namespace

TimeStatistics::TimeStatistics()
    : Median(accumulators::quantile_probability = 0.5),
      Percentile99(accumulators::quantile_probability = 0.99),
      Permille999(accumulators::quantile_probability = 0.999) {}

void TimeStatistics::add(Duration Value) {
  const double Seconds = std::chrono::duration<double>(Value).count();
  Summary(Seconds);
  Median(Seconds);
  Percentile99(Seconds);
  Permille999(Seconds);
}

void TimeStatistics::appendSamples(std::string &Text, std::string_view Name,
                                   std::string_view Labels) const {
  const std::string Base(Name);
  const auto Count = accumulators::count(Summary);
  appendSample(Text, Base + "_count", Labels, Count);
  if (Count == 0)
    return;
  const std::string Prefix = std::string(Labels) + ",quantile=";
  appendSample(Text, Base, Prefix + "\"0.5\"",
               accumulators::p_square_quantile(Median));
  appendSample(Text, Base, Prefix + "\"0.99\"",
               accumulators::p_square_quantile(Percentile99));
  appendSample(Text, Base, Prefix + "\"0.999\"",
               accumulators::p_square_quantile(Permille999));
  appendSample(Text, Base + "_mean", Labels, accumulators::mean(Summary));
  appendSample(Text, Base + "_max", Labels, accumulators::max(Summary));
}

void Metrics::countCall(const ServiceName &Name, Outcome Kind,
                        Duration Elapsed) {
  ServiceMetrics &Entry = Services[Name];
  switch (Kind) {
  case Outcome::Answer:
    ++Entry.Answers;
    break;
  case Outcome::NotRun:
    ++Entry.NotRun;
    break;
  case Outcome::Unknown:
    ++Entry.Unknown;
    break;
  }
  Entry.CallTime.add(Elapsed);
}

std::string Metrics::text() const {
  std::string Text;
  for (const auto &[Name, Value] : Counters)
    appendSample(Text, "comfreyrill_" + Name, "", Value);
  for (const auto &[Name, Entry] : Services) {
    const std::string Label = "service=\"" + Name.Value + "\"";
    const std::string Calls = "comfreyrill_calls_total";
    appendSample(Text, Calls, Label + ",outcome=\"answer\"", Entry.Answers);
    appendSample(Text, Calls, Label + ",outcome=\"not-run\"", Entry.NotRun);
    appendSample(Text, Calls, Label + ",outcome=\"unknown\"", Entry.Unknown);
    appendSample(Text, "comfreyrill_attempts_total", Label, Entry.Attempts);
    appendSample(Text, "comfreyrill_retries_total", Label, Entry.Retries);
    appendSample(Text, "comfreyrill_hedges_total", Label, Entry.Hedges);
    appendSample(Text, "comfreyrill_probes_total", Label, Entry.Probes);
    appendSample(Text, "comfreyrill_target_pauses_total", Label,
                 Entry.TargetPauses);
    appendSample(Text, "comfreyrill_target_resumptions_total", Label,
                 Entry.TargetResumptions);
    appendSample(Text, "comfreyrill_withdrawn_attempts_total", Label,
                 Entry.WithdrawnAttempts);
    Entry.CallTime.appendSamples(Text, "comfreyrill_call_seconds", Label);
    Entry.AddedTime.appendSamples(Text, "comfreyrill_added_seconds", Label);
  }
  return Text;
}

} // namespace comfreyrill
