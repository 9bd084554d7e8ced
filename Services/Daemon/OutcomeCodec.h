#pragma once

#include "CallResult.h"

#include <LibOnce/Outcome.h>
#include <LibPeer/Codec.h>

#include <memory>

namespace comfreyrill {

/// A result as it is kept under a key.
StoredOutcome toStored(const CallResult &Result);

/// The result that a stored outcome stands for. A stored answer that cannot be
/// read gives unknown.
CallResult fromStored(const StoredOutcome &Stored);

wire::StoredOutcome toWire(const StoredOutcome &Stored);

/// Fails with InvalidInput when a value is out of range.
Result<StoredOutcome> fromWire(const wire::StoredOutcome &Stored);

} // namespace comfreyrill
