#pragma once

#include <string>
#include <string_view>

namespace comfreyrill {

/// What went wrong, as far as callers of a function act on it.
enum class ErrorKind {
  InvalidInput,
  NotFound,
  Conflict,
  Unavailable,
  TimedOut,
  Refused,
  ConnectionFailed,
  ConnectionLost,
  TooLarge,
  Internal,
};

/// A typed error. The message names the remedy.
struct Error {
  ErrorKind Kind;
  std::string Message;
};

/// The lower-case name of an error kind, as used in logs and JSON.
std::string_view errorKindName(ErrorKind Kind);

} // namespace comfreyrill
