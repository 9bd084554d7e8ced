#pragma once

#include <LibCore/Clock.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace comfreyrill {

/// Counters, gauges and duration distributions of one gateway process.
class GatewayMetrics {
public:
  /// Returns a counter, which is created at the first use. The name may end in
  /// labels, as in requests{outcome="answered"}.
  std::uint64_t &counter(std::string_view Name);
  void setGauge(std::string_view Name, double Value);
  void recordDuration(std::string_view Name, Duration Value);

  /// Returns all metrics in the text exposition format, one sample a line.
  std::string text() const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  struct TimeDistribution {
    TimeDistribution();

    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::max>>
        Summary;
    Quantile Median;
    Quantile Percentile99;
  };

  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, TimeDistribution, std::less<>> Durations;
};

} // namespace comfreyrill
