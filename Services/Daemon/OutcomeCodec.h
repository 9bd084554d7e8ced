#pragma once

#include "CallResult.h"

#include <LibOnce/Outcome.h>
#include <LibPeer/Codec.h>

#include <memory>

namespace comfreyrill {

/// Converts a result to the form in which it is stored under a key.
StoredOutcome toStored(const CallResult &Result);

/// Converts a stored outcome back to a result. The result is unknown when the
/// stored answer is absent or cannot be parsed.
CallResult fromStored(const StoredOutcome &Stored);

wire::StoredOutcome toWire(const StoredOutcome &Stored);

/// Fails with InvalidInput when a value is out of range.
Result<StoredOutcome> fromWire(const wire::StoredOutcome &Stored);

} // namespace comfreyrill
