#pragma once

#include <LibCore/Error.h>

namespace comfreyrill {

/// Exit codes of the client, as documented in docs/client.md.
enum class ExitCode {
  Done = 0,
  Usage = 1,
  InvalidInput = 2,
  Conflict = 3,
  Unavailable = 4,
  OutcomeUnknown = 5,
  LateHosts = 6,
  NotFound = 7,
  UnknownAccount = 8,
};

/// The exit code of an error that ends a command.
inline ExitCode exitCodeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidInput:
  case ErrorKind::TooLarge:
  case ErrorKind::Internal:
    return ExitCode::InvalidInput;
  case ErrorKind::NotFound:
    return ExitCode::NotFound;
  case ErrorKind::Conflict:
    return ExitCode::Conflict;
  case ErrorKind::Unavailable:
  case ErrorKind::TimedOut:
  case ErrorKind::Refused:
  case ErrorKind::ConnectionFailed:
  case ErrorKind::ConnectionLost:
    return ExitCode::Unavailable;
  }
  return ExitCode::Unavailable;
}

} // namespace comfreyrill
