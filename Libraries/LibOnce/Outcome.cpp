#include <LibOnce/Outcome.h>

namespace comfreyrill {

SharedOutcome withBoundedAnswer(SharedOutcome Stored,
                                std::size_t MaximumBytes) {
  if (!Stored || !Stored->Answer || Stored->Answer->size() <= MaximumBytes)
    return Stored;
  StoredOutcome Bounded{CallOutcome::Unknown, "answer_not_kept", std::nullopt,
                        Stored->Fingerprint};
  return std::make_shared<const StoredOutcome>(std::move(Bounded));
}

} // namespace comfreyrill
