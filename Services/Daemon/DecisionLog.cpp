#include "DecisionLog.h"

#include <algorithm>

namespace comfreyrill {

DecisionLog::DecisionLog(const Executor &Context, Log &Output)
    : Output(Output), Added(Context) {
  Added.expires_at(TimePoint::max());
}

void DecisionLog::write(const LogLine &Line) {
  Output.write(LogLevel::Info, Line);
  keep(Line);
}

void DecisionLog::warn(const LogLine &Line) {
  Output.write(LogLevel::Warning, Line);
  keep(Line);
}

void DecisionLog::keep(const LogLine &Line) {
  if (Lines.size() == KeptLines)
    Lines.pop_front();
  Lines.push_back(Line.text());
  ++Written;
  if (Waiting > 0)
    Added.cancel();
}

Awaitable<DecisionLog::Page> DecisionLog::readAfter(std::uint64_t Position,
                                                    TimePoint Deadline) {
  while (Written <= Position && BootClock::now() < Deadline) {
    // Readers share one timer, so a new one only ever shortens the wait.
    if (Waiting == 0 || Deadline < Added.expiry())
      Added.expires_at(Deadline);
    ++Waiting;
    co_await Added.async_wait(UseTuple);
    --Waiting;
  }
  const std::uint64_t Oldest = Written - Lines.size();
  const std::uint64_t From = std::max(Position, Oldest);
  Page Result;
  for (std::uint64_t Index = From;
       Index < Written && Result.Lines.size() < LinesPerPage; ++Index)
    Result.Lines.push_back(Lines[Index - Oldest]);
  Result.Next = std::max(Position, From + Result.Lines.size());
  co_return Result;
}

} // namespace comfreyrill
