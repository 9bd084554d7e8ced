#include "DecisionLog.h"

#include <algorithm>

namespace comfreyrill {

DecisionLog::DecisionLog(const Executor &Context, Log &Output)
    : Output(Output), LineAdded(Context) {
  LineAdded.expires_at(TimePoint::max());
}

void DecisionLog::write(const LogLine &Line) {
  Output.write(LogLevel::Info, Line);
  append(Line);
}

void DecisionLog::warn(const LogLine &Line) {
  Output.write(LogLevel::Warning, Line);
  append(Line);
}

void DecisionLog::append(const LogLine &Line) {
  if (Lines.size() == MaximumLines)
    Lines.pop_front();
  Lines.push_back(Line.text());
  ++Written;
  if (WaitingReaders > 0)
    LineAdded.cancel();
}

Awaitable<DecisionLog::Page> DecisionLog::readAfter(std::uint64_t Position,
                                                    TimePoint Deadline) {
  while (Written <= Position && BootClock::now() < Deadline) {
    // All readers share one timer; a new reader may only move its expiry
    // to an earlier time.
    if (WaitingReaders == 0 || Deadline < LineAdded.expiry())
      LineAdded.expires_at(Deadline);
    ++WaitingReaders;
    co_await LineAdded.async_wait(UseTuple);
    --WaitingReaders;
  }
  const std::uint64_t Oldest = Written - Lines.size();
  const std::uint64_t FirstLine = std::max(Position, Oldest);
  Page Result;
  for (std::uint64_t Index = FirstLine;
       Index < Written && Result.Lines.size() < LinesPerPage; ++Index)
    Result.Lines.push_back(Lines[Index - Oldest]);
  Result.Next = std::max(Position, FirstLine + Result.Lines.size());
  co_return Result;
}

} // namespace comfreyrill
