#include <LibHttp/MessageMemory.h>

#include <algorithm>

namespace comfreyrill {

namespace {

constexpr double TotalShare = 0.5;
constexpr double RequestShare = 0.6;
// Usual requests are smaller. They use the memory of responses as well, so that
// uploads do not keep a host from serving.
constexpr std::uint64_t SmallRequestBytes = std::uint64_t{16} * 1024;
// Dropping smaller responses would free too little.
constexpr std::uint64_t DroppableBytes = std::uint64_t{64} * 1024;

std::uint64_t scaled(std::uint64_t Bytes, double Share) {
  return static_cast<std::uint64_t>(static_cast<double>(Bytes) * Share);
}

} // namespace

MessageMemoryLimits messageMemoryLimits(std::uint64_t ProcessBytes) {
  const std::uint64_t Total = scaled(ProcessBytes, TotalShare);
  return {Total, scaled(Total, RequestShare)};
}

// A response that is dropped may have cost a target its work, while a request
// that is denied has cost nothing. So large requests drop no responses. Among
// responses the largest is dropped, because small ones are the usual case and
// one without end becomes the largest.
GrowthDecision decideGrowth(const MessageMemoryLimits &Limits,
                            const MessageGrowth &Growth) {
  if (Growth.NewBytes <= Growth.CurrentBytes)
    return GrowthDecision::Grant;
  const std::uint64_t Added = Growth.NewBytes - Growth.CurrentBytes;
  const bool IsLargeRequest = Growth.Kind == MessageKind::Request &&
                              Growth.NewBytes > SmallRequestBytes;
  if (IsLargeRequest && Added + Growth.UsedByRequests > Limits.Requests)
    return GrowthDecision::Deny;
  if (Added + Growth.UsedBytes <= Limits.Total)
    return GrowthDecision::Grant;
  return !IsLargeRequest && Growth.LargestResponse > Growth.CurrentBytes
             ? GrowthDecision::DropLargestResponse
             : GrowthDecision::Deny;
}

MessageShare *MessageMemory::largestResponse() const {
  const auto Largest =
      std::max_element(Droppable.begin(), Droppable.end(),
                       [](const MessageShare *First, const MessageShare *Next) {
                         return First->Bytes < Next->Bytes;
                       });
  return Largest == Droppable.end() ? nullptr : *Largest;
}

bool MessageMemory::grow(MessageShare &Share, std::uint64_t NewBytes) {
  MessageGrowth Growth;
  Growth.Kind = Share.Kind;
  Growth.CurrentBytes = Share.Bytes;
  Growth.NewBytes = NewBytes;
  while (true) {
    Growth.UsedBytes = UsedBytes;
    Growth.UsedByRequests = UsedByRequests;
    GrowthDecision Decision = decideGrowth(Limits, Growth);
    if (Decision == GrowthDecision::Grant)
      return true;
    // The largest response is only looked for when memory is short.
    MessageShare *Largest = largestResponse();
    Growth.LargestResponse = Largest == nullptr ? 0 : Largest->Bytes;
    Decision = decideGrowth(Limits, Growth);
    if (Decision == GrowthDecision::Deny) {
      ++DeniedMessages;
      return false;
    }
    ++DroppedResponses;
    Largest->drop();
  }
}

MessageShare::MessageShare(MessageMemory *Memory, MessageKind Kind,
                           std::function<void()> OnDrop)
    : Memory(Memory), Kind(Kind), OnDrop(std::move(OnDrop)) {}

MessageShare::~MessageShare() {
  setDroppable(false);
  setBytes(0);
}

bool MessageShare::resize(std::uint64_t NewBytes) {
  if (Memory == nullptr || IsDropped)
    return !IsDropped;
  if (!Memory->grow(*this, NewBytes))
    return false;
  setBytes(NewBytes);
  setDroppable(Kind == MessageKind::Response && OnDrop &&
               NewBytes >= DroppableBytes);
  return true;
}

void MessageShare::hold(std::uint64_t NewBytes) {
  setDroppable(false);
  setBytes(NewBytes);
}

void MessageShare::setBytes(std::uint64_t NewBytes) {
  if (Memory == nullptr)
    return;
  Memory->UsedBytes += NewBytes - Bytes;
  if (Kind == MessageKind::Request)
    Memory->UsedByRequests += NewBytes - Bytes;
  Bytes = NewBytes;
}

void MessageShare::setDroppable(bool NewDroppable) {
  if (NewDroppable == IsDroppable)
    return;
  IsDroppable = NewDroppable;
  if (NewDroppable)
    Memory->Droppable.push_back(this);
  else
    std::erase(Memory->Droppable, this);
}

// The memory counts as free at once; its owner frees it before the event loop
// reads on.
void MessageShare::drop() {
  IsDropped = true;
  setDroppable(false);
  setBytes(0);
  OnDrop();
}

} // namespace comfreyrill
