#include "GatewaySettings.h"

#include <LibJson/JsonReader.h>
#include <charconv>

namespace comfreyrill {

namespace {

constexpr std::size_t SeedsMaximum = 64;
constexpr double SecondsMaximum = 3600;
constexpr double MemoryLimitMinimum = 32;
constexpr double MemoryLimitMaximum = 1e6;
constexpr double BytesPerMegabyte = 1e6;
constexpr double BytePriceMaximum = 1;

void readSeconds(JsonReader Reader, Duration &Out) {
  double Seconds = 0;
  if (Reader.number(Seconds, 0, SecondsMaximum))
    Out = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
}

std::uint64_t bytesOf(double Megabytes) {
  return static_cast<std::uint64_t>(Megabytes * BytesPerMegabyte);
}

Result<std::uint64_t> parseMemoryLimit(std::string_view Text) {
  double Megabytes = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Megabytes);
  if (Code != std::errc{} || End != Text.data() + Text.size() ||
      !(Megabytes >= MemoryLimitMinimum && Megabytes <= MemoryLimitMaximum))
    return Error{ErrorKind::InvalidInput,
                 "'" + std::string(Text) +
                     "' is no memory limit; name it in megabytes, from 32 to "
                     "1000000"};
  return bytesOf(Megabytes);
}

Result<double> parseBytePrice(std::string_view Text) {
  double Price = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Price);
  if (Code != std::errc{} || End != Text.data() + Text.size() ||
      !(Price >= 0 && Price <= BytePriceMaximum))
    return Error{ErrorKind::InvalidInput,
                 "'" + std::string(Text) +
                     "' is no price of a byte; name it as a part of the value "
                     "of an answered request, from 0 to 1"};
  return Price;
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
  double MemoryMegabytes = 0;
  if (Root.optional("memory_limit_mb")
          .number(MemoryMegabytes, MemoryLimitMinimum, MemoryLimitMaximum))
    Out.MemoryLimit = bytesOf(MemoryMegabytes);
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
  double BytePrice = 0;
  if (Root.optional("domain_byte_price").number(BytePrice, 0, BytePriceMaximum))
    Out.DomainBytePrice = BytePrice;
  bool HasEvacuations = false;
  if (Root.optional("has_evacuations").boolean(HasEvacuations))
    Out.HasEvacuations = HasEvacuations;
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
  std::optional<Error> Fault;
  if (!Configured.HasEvacuations)
    Configured.HasEvacuations = Environment.HasEvacuations;
  if (!Configured.MemoryLimit && !Environment.MemoryLimit.empty()) {
    const auto Limit = parseMemoryLimit(Environment.MemoryLimit);
    if (Limit)
      Configured.MemoryLimit = Limit.value();
    else
      Fault = Limit.error();
  }
  if (!Configured.MetricsAddress && !Environment.MetricsAddress.empty()) {
    auto Address = parseEndpoint(Environment.MetricsAddress);
    if (Address)
      Configured.MetricsAddress = std::move(Address.value());
    else
      Fault = Address.error();
  }
  if (!Configured.DomainBytePrice && !Environment.DomainBytePrice.empty()) {
    const auto Price = parseBytePrice(Environment.DomainBytePrice);
    if (Price)
      Configured.DomainBytePrice = Price.value();
    else
      Fault = Price.error();
  }
  if (Fault)
    return *Fault;
  return outcome::success();
}

} // namespace comfreyrill
