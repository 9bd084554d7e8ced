#pragma once

#include <string>
#include <string_view>

namespace comfreyrill {

/// Category of an error, for code that handles the categories differently.
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

/// An error with its kind. The message also says how to correct the problem.
struct Error {
  ErrorKind Kind;
  std::string Message;
};

/// The lower-case name of an error kind, as used in logs and JSON.
std::string_view errorKindName(ErrorKind Kind);

} // namespace comfreyrill
