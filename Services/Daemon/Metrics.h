#pragma once

#include "CallResult.h"

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace comfreyrill {

/// Distribution of a duration: count, mean, maximum and three quantiles.
class TimeStatistics {
public:
  TimeStatistics();

  void add(Duration Value);
  /// Appends lines such as NAME{LABELS,quantile="0.5"} SECONDS.
  void appendSamples(std::string &Text, std::string_view Name,
                     std::string_view Labels) const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::mean,
                                         boost::accumulators::tag::max>>
      Summary;
  Quantile Median;
  Quantile Percentile99;
  Quantile Permille999;
};

/// Metrics of one service on this host.
struct ServiceMetrics {
  std::uint64_t Answers = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Probes = 0;
  std::uint64_t TargetPauses = 0;
  std::uint64_t TargetResumptions = 0;
  /// Attempts that were not sent, because their target began to drain or to
  /// pause after it had been chosen.
  std::uint64_t WithdrawnAttempts = 0;
  TimeStatistics CallTime;
  /// Time from the start of a call's execution to its first attempt; only calls
  /// whose first attempt was answered.
  TimeStatistics AddedTime;
};

/// All metrics that GET /metrics returns.
class Metrics {
public:
  ServiceMetrics &service(const ServiceName &Name) { return Services[Name]; }
  void countCall(const ServiceName &Name, Outcome Kind, Duration Elapsed);
  /// Returns a counter without labels, which is created on first use.
  std::uint64_t &counter(const std::string &Name) { return Counters[Name]; }

  /// Formats all metrics in the text exposition format, one sample a line.
  std::string text() const;

private:
  std::map<ServiceName, ServiceMetrics> Services;
  std::map<std::string, std::uint64_t> Counters;
};

} // namespace comfreyrill
