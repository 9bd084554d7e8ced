#include <LibOnce/Outcome.h>

namespace comfreyrill {

const SharedOutcome &answerNotKept() {
  static const SharedOutcome NotKept = std::make_shared<const StoredOutcome>(
      StoredOutcome{CallOutcome::Unknown, "answer_not_kept", std::nullopt, 0});
  return NotKept;
}

SharedOutcome withBoundedAnswer(SharedOutcome Stored,
                                std::size_t MaximumBytes) {
  if (!Stored || !Stored->Answer || Stored->Answer->size() <= MaximumBytes)
    return Stored;
  StoredOutcome Bounded = *answerNotKept();
  Bounded.Fingerprint = Stored->Fingerprint;
  return std::make_shared<const StoredOutcome>(std::move(Bounded));
}

} // namespace comfreyrill
