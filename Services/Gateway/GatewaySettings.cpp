#include "GatewaySettings.h"

#include <LibJson/JsonReader.h>

namespace comfreyrill {

namespace {

constexpr std::size_t SeedsMaximum = 64;
constexpr double SecondsMaximum = 3600;

void readSeconds(JsonReader Reader, Duration &Out) {
  double Seconds = 0;
  if (Reader.number(Seconds, 0, SecondsMaximum))
    Out = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view Text) {
  JsonDocument Document(Text);
  JsonReader Root = Document.root();
  GatewaySettings Out;
  Root.required("host").identifier(Out.Host);
  Root.required("failure_domain").identifier(Out.Domain);
  Root.required("caller_address").endpoint(Out.CallerAddress, 0);
  Root.required("readiness_address").endpoint(Out.ReadinessAddress, 0);
  Root.required("directory_address").endpoint(Out.DirectoryAddress, 0);
  Root.required("peer_address").endpoint(Out.PeerAddress, 0);
  JsonReader Metrics = Root.optional("metrics_address");
  if (Metrics.isPresent())
    Metrics.endpoint(Out.MetricsAddress.emplace(), 0);
  Root.optional("is_first_start").boolean(Out.IsFirstStart);
  Root.optional("seeds").array(0, SeedsMaximum, [&](JsonReader Element) {
    Endpoint Value;
    if (Element.endpoint(Value, 1))
      Out.Seeds.push_back(std::move(Value));
  });
  Root.required("store_address").endpoint(Out.Store, 1);
  readSeconds(Root.required("stop_time_s"), Out.StopTime);
  readSeconds(Root.required("address_lifetime_maximum_s"),
              Out.AddressLifetimeMaximum);
  Root.required("retry_ratio").number(Out.RetryPolicy.Ratio, 0, 10);
  Root.required("retry_slack").number(Out.RetryPolicy.Slack, 0, 1e6);
  readSeconds(Root.required("retry_window_s"), Out.RetryPolicy.Window);
  Root.required("probes_per_target_per_s")
      .number(Out.ProbesPerTargetPerSecond, 0, 1e6);
  readSeconds(Root.optional("target_pause_maximum_s"),
              Out.TargetPauses.Maximum);
  Root.optional("log_level")
      .enumeration<LogLevel>(Out.Level, {{"debug", LogLevel::Debug},
                                         {"info", LogLevel::Info},
                                         {"warning", LogLevel::Warning},
                                         {"error", LogLevel::Error}});
  TRY(Document.finish("settings"));
  return Out;
}

Result<void> applyEnvironment(GatewaySettings &Configured,
                              const GatewayEnvironment &Environment) {
  if (!Configured.MetricsAddress && !Environment.MetricsAddress.empty()) {
    TRY(Configured.MetricsAddress, parseEndpoint(Environment.MetricsAddress));
  }
  return outcome::success();
}

} // namespace comfreyrill
