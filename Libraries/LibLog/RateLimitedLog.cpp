#include <LibLog/RateLimitedLog.h>

namespace comfreyrill {

namespace {

constexpr Duration RateInterval = std::chrono::seconds(1);

} // namespace

RateLimitedLog::RateLimitedLog(Log &Output, const Clock &TimeSource)
    : Output(Output), TimeSource(TimeSource) {}

void RateLimitedLog::write(LogLevel Level, std::string_view Kind,
                           const LogLine &Line) {
  auto Position = Kinds.find(Kind);
  const TimePoint Now = TimeSource.now();
  if (Position == Kinds.end())
    Position = Kinds.emplace(std::string(Kind), Usage{Now, 0, 0}).first;
  Usage &Used = Position->second;
  if (Now - Used.Since >= RateInterval) {
    if (Used.LeftOut > 0) {
      LogLine Summary("lines_left_out");
      Summary.field("kind", Kind).field("count", Used.LeftOut);
      Output.write(LogLevel::Warning, Summary);
    }
    Used = {Now, 0, 0};
  }
  if (Used.Written >= LinesPerSecond) {
    ++Used.LeftOut;
    return;
  }
  ++Used.Written;
  Output.write(Level, Line);
}

void RateLimitedLog::writeAlways(LogLevel Level, const LogLine &Line) {
  Output.write(Level, Line);
}

} // namespace comfreyrill
