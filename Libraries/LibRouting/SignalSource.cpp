#include <LibRouting/SignalSource.h>

namespace comfreyrill {

std::string_view signalSourceName(SignalSource Source) {
  switch (Source) {
  case SignalSource::Answer:
    return "answer";
  case SignalSource::Probe:
    return "probe";
  case SignalSource::Host:
    return "host";
  }
  return "unknown";
}

} // namespace comfreyrill
