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

/// Heap memory of a kept answer beyond its bytes, so that many small answers do
/// not exceed the limit by their overhead.
inline constexpr std::size_t AnswerOverheadBytes = 192;

inline std::size_t answerSize(const SharedOutcome &Stored) {
  return Stored && Stored->Answer ? Stored->Answer->size() + AnswerOverheadBytes
                                  : 0;
}

/// A record that was dropped to make room or for its age.
template <typename Id, typename Record> struct DroppedRecord {
  Id Key;
  Record Value;
};

/// Drops the oldest queued record and returns it, or nothing when none is
/// queued.
template <typename Id, typename Record>
std::optional<DroppedRecord<Id, Record>>
dropOldest(RecordTable<Id, Record> &Table) {
  if (Table.Order.empty())
    return std::nullopt;
  auto Node = Table.Records.extract(Table.Order.front().Key);
  Table.Order.pop_front();
  Table.AnswerBytes -= answerSize(Node.mapped().Stored);
  while (!Table.AnswerOrder.empty() &&
         !Table.Records.contains(Table.AnswerOrder.front()))
    Table.AnswerOrder.pop_front();
  return DroppedRecord<Id, Record>{Node.key(), std::move(Node.mapped())};
}

/// Stores the outcome in a record and gives up the oldest answers while there
/// are too many bytes of them.
template <typename Id, typename Record>
void storeOutcome(RecordTable<Id, Record> &Table, const Id &Key,
                  Record &Settled, SharedOutcome Stored,
                  std::size_t AnswerBytesMaximum) {
  if (answerSize(Stored) > AnswerBytesMaximum)
    Stored = answerNotKept();
  Settled.Stored = std::move(Stored);
  if (!Settled.Stored->Answer)
    return;
  Table.AnswerBytes += answerSize(Settled.Stored);
  Table.AnswerOrder.push_back(Key);
  while (Table.AnswerBytes > AnswerBytesMaximum) {
    auto Oldest = Table.Records.find(Table.AnswerOrder.front());
    Table.AnswerOrder.pop_front();
    if (Oldest == Table.Records.end())
      continue;
    Table.AnswerBytes -= answerSize(Oldest->second.Stored);
    Oldest->second.Stored = answerNotKept();
  }
}

} // namespace comfreyrill
