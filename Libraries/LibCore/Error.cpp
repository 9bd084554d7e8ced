#include <LibCore/Error.h>

namespace comfreyrill {

std::string_view errorKindName(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidInput:
    return "invalid_input";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::TimedOut:
    return "timed_out";
  case ErrorKind::Refused:
    return "refused";
  case ErrorKind::ConnectionFailed:
    return "connection_failed";
  case ErrorKind::ConnectionLost:
    return "connection_lost";
  case ErrorKind::TooLarge:
    return "too_large";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace comfreyrill
