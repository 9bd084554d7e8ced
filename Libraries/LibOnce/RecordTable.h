#pragma once

#include <LibOnce/Outcome.h>

#include <deque>
#include <unordered_map>

namespace comfreyrill {

/// Records of keys with bounds on their number, their age and the bytes of
/// their answers. A record can be dropped once it has been queued.
template <typename Id, typename Record> struct RecordTable {
  struct Queued {
    Id Key;
    TimePoint KeptUntil;
  };

  std::unordered_map<Id, Record> Records;
  /// Records that may be dropped, oldest first.
  std::deque<Queued> Order;
  /// Records with an answer, oldest first; some may be dropped already.
  std::deque<Id> AnswerOrder;
  std::size_t AnswerBytes = 0;
};

inline std::size_t answerSize(const SharedOutcome &Stored) {
  return Stored && Stored->Answer ? Stored->Answer->size() : 0;
}

/// Drops the oldest queued record and returns it, or nothing when none is
/// queued.
template <typename Id, typename Record>
std::optional<Record> dropOldest(RecordTable<Id, Record> &Table) {
  if (Table.Order.empty())
    return std::nullopt;
  auto Node = Table.Records.extract(Table.Order.front().Key);
  Table.Order.pop_front();
  Table.AnswerBytes -= answerSize(Node.mapped().Stored);
  while (!Table.AnswerOrder.empty() &&
         !Table.Records.contains(Table.AnswerOrder.front()))
    Table.AnswerOrder.pop_front();
  return std::move(Node.mapped());
}

/// Stores the outcome in a record and gives up the oldest answers while there
/// are too many bytes of them.
template <typename Id, typename Record>
void storeOutcome(RecordTable<Id, Record> &Table, const Id &Key,
                  Record &Settled, SharedOutcome Stored,
                  std::size_t AnswerBytesMaximum) {
  Settled.Stored = withBoundedAnswer(std::move(Stored), AnswerBytesMaximum);
  std::size_t Size = answerSize(Settled.Stored);
  if (Size == 0)
    return;
  Table.AnswerBytes += Size;
  Table.AnswerOrder.push_back(Key);
  while (Table.AnswerBytes > AnswerBytesMaximum) {
    auto Oldest = Table.Records.find(Table.AnswerOrder.front());
    Table.AnswerOrder.pop_front();
    if (Oldest == Table.Records.end())
      continue;
    Table.AnswerBytes -= answerSize(Oldest->second.Stored);
    Oldest->second.Stored =
        withBoundedAnswer(std::move(Oldest->second.Stored), 0);
  }
}

} // namespace comfreyrill
