#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace comfreyrill {

enum class MessageKind { Request, Response };

/// Limits on the memory of the messages that a process receives, in bytes.
struct MessageMemoryLimits {
  /// All messages together.
  std::uint64_t Total = std::numeric_limits<std::uint64_t>::max();
  /// All requests together, so that uploads leave room for responses.
  std::uint64_t Requests = std::numeric_limits<std::uint64_t>::max();
};

/// Divides the memory of a process; the rest is for its state, its connections
/// and the copies that growing strings make.
MessageMemoryLimits messageMemoryLimits(std::uint64_t ProcessBytes);

/// A message that is about to grow, and the memory that is in use.
struct MessageGrowth {
  MessageKind Kind = MessageKind::Response;
  std::uint64_t CurrentBytes = 0;
  std::uint64_t NewBytes = 0;
  std::uint64_t UsedBytes = 0;
  std::uint64_t UsedByRequests = 0;
  /// Size of the largest response that can be dropped; 0 if there is none.
  std::uint64_t LargestResponse = 0;
};

enum class GrowthDecision {
  Grant,
  /// Drop the largest response first, then decide again.
  DropLargestResponse,
  Deny,
};

GrowthDecision decideGrowth(const MessageMemoryLimits &Limits,
                            const MessageGrowth &Growth);

class MessageShare;

/// Accounts for the memory of all messages that a process is receiving or
/// holds. Bounds it whatever the peers send.
class MessageMemory {
public:
  explicit MessageMemory(MessageMemoryLimits Limits) : Limits(Limits) {}

  std::uint64_t usedBytes() const { return UsedBytes; }
  /// Number of responses that were dropped to make room for others.
  std::uint64_t droppedResponses() const { return DroppedResponses; }
  /// Number of messages that were not allowed to grow.
  std::uint64_t deniedMessages() const { return DeniedMessages; }

private:
  friend class MessageShare;

  bool grow(MessageShare &Share, std::uint64_t NewBytes);
  MessageShare *largestResponse() const;

  MessageMemoryLimits Limits;
  std::uint64_t UsedBytes = 0;
  std::uint64_t UsedByRequests = 0;
  std::uint64_t DroppedResponses = 0;
  std::uint64_t DeniedMessages = 0;
  /// Shares of large responses that are being received.
  std::vector<MessageShare *> Droppable;
};

/// The memory of one message; given back on destruction.
class MessageShare {
public:
  /// Without a MessageMemory, the message is not limited. OnDrop is called when
  /// a response that is being received must be dropped; it must not destroy the
  /// share.
  MessageShare(MessageMemory *Memory, MessageKind Kind,
               std::function<void()> OnDrop = {});
  ~MessageShare();
  MessageShare(const MessageShare &) = delete;
  MessageShare &operator=(const MessageShare &) = delete;

  /// Takes memory for a message that is being received, before it is read on.
  /// Returns false if there is too little, or the message has been dropped.
  bool resize(std::uint64_t NewBytes);
  /// Takes memory for a message that has arrived whole, also beyond the limits.
  void hold(std::uint64_t NewBytes);
  bool isDropped() const { return IsDropped; }

private:
  friend class MessageMemory;

  void setBytes(std::uint64_t NewBytes);
  void setDroppable(bool NewDroppable);
  void drop();

  MessageMemory *Memory;
  MessageKind Kind;
  std::function<void()> OnDrop;
  std::uint64_t Bytes = 0;
  bool IsDroppable = false;
  bool IsDropped = false;
};

} // namespace comfreyrill
