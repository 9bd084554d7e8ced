#include "Settings.h"

#include <LibJson/JsonReader.h>

#include <fstream>
#include <sstream>

namespace comfreyrill {

namespace {

constexpr std::size_t EndpointsMaximum = 64;
constexpr std::size_t LogPathMaximumBytes = 4096;

void readEndpoints(JsonReader Reader, std::vector<Endpoint> &Out,
                   std::size_t Minimum) {
  Reader.array(Minimum, EndpointsMaximum, [&](JsonReader Element) {
    Endpoint Value;
    if (Element.endpoint(Value, 1))
      Out.push_back(std::move(Value));
  });
}

void readLog(JsonReader Reader, Settings &Out) {
  if (!Reader.isPresent())
    return;
  Reader.optional("level").enumeration<LogLevel>(
      Out.Level, {{"debug", LogLevel::Debug},
                  {"info", LogLevel::Info},
                  {"warning", LogLevel::Warning},
                  {"error", LogLevel::Error}});
  Reader.optional("path").string(Out.LogPath, 0, LogPathMaximumBytes);
}

void readLimits(JsonReader Reader, Settings &Out) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  if (!Reader.isPresent())
    return;
  HttpLimits &Limits = Out.Limits;
  Reader.optional("header_bytes").integer(Limits.HeaderBytes, 1024, 1 << 20);
  Reader.optional("body_bytes").integer(Limits.BodyBytes, 0, 1 << 26);
  Reader.optional("message_time_ms")
      .duration(Limits.MessageTime, milliseconds(100), hours(1));
  Reader.optional("idle_time_ms")
      .duration(Limits.IdleTime, milliseconds(100), hours(1));
  Reader.optional("connections").integer(Limits.Connections, 1, 1 << 20);
  Reader.optional("calls").integer(Out.CallsMaximum, 1, 1 << 20);
  Reader.optional("drain_time_ms")
      .duration(Out.DrainTime, milliseconds(0), hours(24));
  Reader.optional("target_pause_time_ms")
      .duration(Out.TargetPauseTime, milliseconds(100), hours(1));
}

} // namespace

Result<Settings> parseSettings(std::string_view Text) {
  JsonDocument Document(Text);
  JsonReader Root = Document.root();
  Settings Out;
  Root.required("host").identifier(Out.Host);
  Root.required("failure_domain").identifier(Out.Domain);
  Root.required("caller_address").endpoint(Out.CallerAddress, 0);
  Root.required("peer_address").endpoint(Out.PeerAddress, 0);
  Root.required("admin_address").endpoint(Out.AdminAddress, 0);
  readEndpoints(Root.required("platform"), Out.Platform, 1);
  readEndpoints(Root.optional("seeds"), Out.Seeds, 0);
  readLog(Root.optional("log"), Out);
  readLimits(Root.optional("limits"), Out);
  TRY(Document.finish("settings"));
  return Out;
}

Result<Settings> readSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorKind::NotFound,
                 "cannot read the settings file " + Path +
                     "; specify an existing, readable file"};
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str());
}

} // namespace comfreyrill
