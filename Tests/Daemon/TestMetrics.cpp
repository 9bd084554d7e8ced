#include <Daemon/Metrics.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

// Guards against counts that are printed with the wrong labels.
TEST(Metrics, PrintsCountsByServiceAndOutcome) {
  Metrics ProcessMetrics;
  ProcessMetrics.countCall(ServiceName("stock"), Outcome::Answer,
                           std::chrono::milliseconds(2));
  ProcessMetrics.countCall(ServiceName("stock"), Outcome::NotRun,
                           std::chrono::milliseconds(1));
  ++ProcessMetrics.counter("platform_reads_total");
  const std::string Text = ProcessMetrics.text();
  for (const char *Line :
       {"comfreyrill_calls_total{service=\"stock\",outcome=\"answer\"} 1\n",
        "comfreyrill_calls_total{service=\"stock\",outcome=\"not-run\"} 1\n",
        "comfreyrill_calls_total{service=\"stock\",outcome=\"unknown\"} 0\n",
        "comfreyrill_call_seconds_count{service=\"stock\"} 2\n",
        "comfreyrill_platform_reads_total 1\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
}

} // namespace
} // namespace comfreyrill
