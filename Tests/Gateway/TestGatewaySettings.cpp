#include <GatewaySettings.h>

#include <gtest/gtest.h>

namespace comfreyrill {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view Valid = R"({
  "host":"edge-1","failure_domain":"west","caller_address":"10.1.0.10:8161",
  "readiness_address":"10.1.0.10:8167","directory_address":"10.1.0.10:8164",
  "peer_address":"10.1.0.10:8166","is_first_start":true,
  "seeds":["10.1.0.10:8166","10.2.0.40:8166"],"store_address":"10.200.1.7:8169",
  "stop_time_s":6,"address_lifetime_maximum_s":5,"retry_ratio":0.2,
  "retry_slack":58,"retry_window_s":10,"probes_per_target_per_s":60})";

TEST(GatewaySettings, ReadsTheFieldsOfTheTemplate) {
  const auto Read = parseGatewaySettings(Valid);
  ASSERT_TRUE(Read) << Read.error().Message;
  EXPECT_EQ(Read.value().Host, HostId("edge-1"));
  EXPECT_EQ(Read.value().Seeds.size(), 2U);
  EXPECT_EQ(Read.value().StopTime, 6s);
  EXPECT_DOUBLE_EQ(Read.value().RetryPolicy.Slack, 58);
  EXPECT_TRUE(Read.value().IsFirstStart);
}

// Guards against a limit of pauses that is ignored or not checked.
TEST(GatewaySettings, ReadsTheLimitOfPauses) {
  const auto Default = parseGatewaySettings(Valid);
  ASSERT_TRUE(Default) << Default.error().Message;
  EXPECT_EQ(Default.value().TargetPauses.Maximum, 300s);
  const std::string Fields(Valid.substr(0, Valid.size() - 1));
  const auto Read =
      parseGatewaySettings(Fields + R"(,"target_pause_maximum_s":20})");
  ASSERT_TRUE(Read) << Read.error().Message;
  EXPECT_EQ(Read.value().TargetPauses.Maximum, 20s);
  EXPECT_FALSE(
      parseGatewaySettings(Fields + R"(,"target_pause_maximum_s":-1})"));
}

// Guards against a metrics address of the environment that replaces the one of
// the file, or that keeps a host from serving when it cannot be used.
TEST(GatewaySettings, EnvironmentCompletesTheFile) {
  auto Read = parseGatewaySettings(Valid);
  ASSERT_TRUE(Read) << Read.error().Message;
  EXPECT_EQ(Read.value().MetricsAddress, std::nullopt);
  EXPECT_FALSE(applyEnvironment(Read.value(), {"10.1.0.10:", ""}));
  EXPECT_EQ(Read.value().MetricsAddress, std::nullopt);
  EXPECT_TRUE(applyEnvironment(Read.value(), {}));
  EXPECT_EQ(Read.value().MetricsAddress, std::nullopt);
  EXPECT_TRUE(applyEnvironment(Read.value(), {"10.1.0.10:7720", ""}));
  EXPECT_EQ(Read.value().MetricsAddress, (Endpoint{"10.1.0.10", 7720}));

  const std::string Fields(Valid.substr(0, Valid.size() - 1));
  auto Named =
      parseGatewaySettings(Fields + R"(,"metrics_address":"10.1.0.10:9090"})");
  ASSERT_TRUE(Named) << Named.error().Message;
  EXPECT_TRUE(applyEnvironment(Named.value(), {"10.1.0.10:7720", ""}));
  EXPECT_EQ(Named.value().MetricsAddress, (Endpoint{"10.1.0.10", 9090}));
  EXPECT_FALSE(parseGatewaySettings(Fields + R"(,"metrics_address":9090})"));
}

// Guards against a memory limit that is ignored because of another variable
// that cannot be used.
TEST(GatewaySettings, MemoryLimitIsReadInMegabytes) {
  auto Read = parseGatewaySettings(Valid);
  ASSERT_TRUE(Read) << Read.error().Message;
  for (const char *Text : {"much", "260 MB", "-1", "nan", "0"})
    EXPECT_FALSE(applyEnvironment(Read.value(), {"", Text})) << Text;
  EXPECT_EQ(Read.value().MemoryLimit, std::nullopt);
  EXPECT_FALSE(applyEnvironment(Read.value(), {"nowhere", "260"}));
  EXPECT_EQ(Read.value().MemoryLimit, 260'000'000U);

  const std::string Fields(Valid.substr(0, Valid.size() - 1));
  auto Named = parseGatewaySettings(Fields + R"(,"memory_limit_mb":128})");
  ASSERT_TRUE(Named) << Named.error().Message;
  EXPECT_TRUE(applyEnvironment(Named.value(), {"", "260"}));
  EXPECT_EQ(Named.value().MemoryLimit, 128'000'000U);
}

// Guards against a price that is ignored, taken from the environment although
// the file names one, or not checked; a wrong price moves all traffic.
TEST(GatewaySettings, ReadsThePriceOfBytesBetweenDomains) {
  auto Read = parseGatewaySettings(Valid);
  ASSERT_TRUE(Read) << Read.error().Message;
  EXPECT_EQ(Read.value().DomainBytePrice, std::nullopt);
  for (const char *Text : {"cheap", "1e-6 EUR", "-1", "nan", "2"})
    EXPECT_FALSE(applyEnvironment(Read.value(), {"", "", Text})) << Text;
  EXPECT_EQ(Read.value().DomainBytePrice, std::nullopt);
  EXPECT_TRUE(applyEnvironment(Read.value(), {"", "", "2e-6"}));
  EXPECT_EQ(Read.value().DomainBytePrice, 2e-6);

  const std::string Fields(Valid.substr(0, Valid.size() - 1));
  auto Named = parseGatewaySettings(Fields + R"(,"domain_byte_price":1e-7})");
  ASSERT_TRUE(Named) << Named.error().Message;
  EXPECT_TRUE(applyEnvironment(Named.value(), {"", "", "2e-6"}));
  EXPECT_EQ(Named.value().DomainBytePrice, 1e-7);
  EXPECT_FALSE(parseGatewaySettings(Fields + R"(,"domain_byte_price":-1})"));
}

// Guards against evacuations that are ignored because the platform alone
// announces them, and against a file that cannot turn them off.
TEST(GatewaySettings, EvacuationsAreAnnouncedByTheFileOrTheEnvironment) {
  GatewayEnvironment Environment;
  Environment.HasEvacuations = true;
  auto Read = parseGatewaySettings(Valid);
  ASSERT_TRUE(Read) << Read.error().Message;
  auto Other = Read.value();
  EXPECT_TRUE(applyEnvironment(Other, {}));
  EXPECT_FALSE(Other.HasEvacuations.value_or(false));
  EXPECT_TRUE(applyEnvironment(Read.value(), Environment));
  EXPECT_TRUE(Read.value().HasEvacuations.value_or(false));

  const std::string Fields(Valid.substr(0, Valid.size() - 1));
  auto Named = parseGatewaySettings(Fields + R"(,"has_evacuations":false})");
  ASSERT_TRUE(Named) << Named.error().Message;
  EXPECT_TRUE(applyEnvironment(Named.value(), Environment));
  EXPECT_FALSE(Named.value().HasEvacuations.value_or(true));
  EXPECT_FALSE(parseGatewaySettings(Fields + R"(,"has_evacuations":1})"));
}

// Guards against reporting only the first error, which would make an operator
// correct them one by one.
TEST(GatewaySettings, AllErrorsAreReportedAtOnce) {
  const auto Read = parseGatewaySettings(
      R"({"host":"","caller_address":"nowhere","stop_time_s":-1,"extra":1})");
  ASSERT_FALSE(Read);
  for (const char *Name : {"host", "caller_address", "stop_time_s", "extra",
                           "store_address", "failure_domain"})
    EXPECT_NE(Read.error().Message.find(Name), std::string::npos) << Name;
}

} // namespace
} // namespace comfreyrill
