#include <LibLog/RateLimitedLog.h>

namespace comfreyrill {

namespace {

constexpr Duration RateInterval = std::chrono::seconds(1);

} // namespace

RateLimitedLog::RateLimitedLog(Log &Output, const Clock &TimeSource)
    : Output(Output), TimeSource(TimeSource) {}

void RateLimitedLog::write(LogLevel Level, std::string_view Kind,
                           const LogLine &Line) {
  auto Position = WindowByKind.find(Kind);
  const TimePoint Now = TimeSource.now();
  if (Position == WindowByKind.end())
    Position =
        WindowByKind.emplace(std::string(Kind), RateWindow{Now, 0, 0}).first;
  RateWindow &Window = Position->second;
  if (Now - Window.Start >= RateInterval) {
    if (Window.Dropped > 0) {
      LogLine Summary("lines_left_out");
      Summary.field("kind", Kind).field("count", Window.Dropped);
      Output.write(LogLevel::Warning, Summary);
    }
    Window = {Now, 0, 0};
  }
  if (Window.Written >= LinesPerSecond) {
    ++Window.Dropped;
    return;
  }
  ++Window.Written;
  Output.write(Level, Line);
}

void RateLimitedLog::writeAlways(LogLevel Level, const LogLine &Line) {
  Output.write(Level, Line);
}

} // namespace comfreyrill
