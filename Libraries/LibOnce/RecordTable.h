#pragma once

#include <LibOnce/Outcome.h>

#include <deque>
#include <unordered_map>

namespace comfreyrill {

/// Records of keys, bounded in number, in age and in the bytes of their
/// answers. A record can be dropped as soon as it is in the drop queue.
template <typename Id, typename Record> struct RecordTable {
  struct Queued {
    Id Key;
    TimePoint KeptUntil;
  };

  std::unordered_map<Id, Record> Records;
  /// Records that may be dropped, oldest first.
  std::deque<Queued> DropQueue;
  /// Records with an answer, oldest first; some may have been dropped already.
  std::deque<Id> AnswerQueue;
  std::size_t AnswerBytes = 0;
};

/// Heap memory of a stored answer in addition to its bytes; included in its
/// size, so that the overhead of many small answers does not exceed the limit.
inline constexpr std::size_t AnswerOverheadBytes = 192;

inline std::size_t answerSize(const SharedOutcome &Stored) {
  return Stored && Stored->Answer ? Stored->Answer->size() + AnswerOverheadBytes
                                  : 0;
}

/// A record that was dropped to make room or because of its age.
template <typename Id, typename Record> struct DroppedRecord {
  Id Key;
  Record Value;
};

/// Drops the oldest record of the drop queue and returns it, or nothing when
/// the queue is empty.
template <typename Id, typename Record>
std::optional<DroppedRecord<Id, Record>>
dropOldest(RecordTable<Id, Record> &Table) {
  if (Table.DropQueue.empty())
    return std::nullopt;
  auto Node = Table.Records.extract(Table.DropQueue.front().Key);
  Table.DropQueue.pop_front();
  Table.AnswerBytes -= answerSize(Node.mapped().Stored);
  while (!Table.AnswerQueue.empty() &&
         !Table.Records.contains(Table.AnswerQueue.front()))
    Table.AnswerQueue.pop_front();
  return DroppedRecord<Id, Record>{Node.key(), std::move(Node.mapped())};
}

/// Stores the outcome in a record and discards the oldest answers until the
/// total of their bytes is within the limit.
template <typename Id, typename Record>
void storeOutcome(RecordTable<Id, Record> &Table, const Id &Key,
                  Record &FinishedRecord, SharedOutcome Stored,
                  std::size_t AnswerBytesMaximum) {
  if (answerSize(Stored) > AnswerBytesMaximum)
    Stored = answerNotKept();
  FinishedRecord.Stored = std::move(Stored);
  if (!FinishedRecord.Stored->Answer)
    return;
  Table.AnswerBytes += answerSize(FinishedRecord.Stored);
  Table.AnswerQueue.push_back(Key);
  while (Table.AnswerBytes > AnswerBytesMaximum) {
    auto Oldest = Table.Records.find(Table.AnswerQueue.front());
    Table.AnswerQueue.pop_front();
    if (Oldest == Table.Records.end())
      continue;
    Table.AnswerBytes -= answerSize(Oldest->second.Stored);
    Oldest->second.Stored = answerNotKept();
  }
}

} // namespace comfreyrill
