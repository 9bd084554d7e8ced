#include <LibLog/Log.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace comfreyrill {

namespace {

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (const char Character : Value)
    if (static_cast<unsigned char>(Character) <= ' ' || Character == '"' ||
        Character == '\\' || Character == 127)
      return true;
  return false;
}

// Callers control paths and headers, so an unescaped line break in a value
// would let them forge log lines.
void appendQuoted(std::string &Text, std::string_view Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  Text += '"';
  for (const char Character : Value) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Text += '\\';
      Text += Character;
    } else if (Byte < ' ' || Byte == 127) {
      Text += "\\x";
      Text += Digits[Byte >> 4];
      Text += Digits[Byte & 0xF];
    } else {
      Text += Character;
    }
  }
  Text += '"';
}

} // namespace

LogLine::LogLine(std::string_view Event) {
  Text.reserve(256);
  Text += "event=";
  Text += Event;
}

LogLine &LogLine::field(std::string_view Key, std::string_view Value) {
  Text += ' ';
  Text += Key;
  Text += '=';
  if (needsQuotes(Value))
    appendQuoted(Text, Value);
  else
    Text += Value;
  return *this;
}

LogLine &LogLine::field(std::string_view Key, const char *Value) {
  return field(Key, std::string_view(Value));
}

LogLine &LogLine::field(std::string_view Key, std::int64_t Value) {
  return field(Key, std::string_view(std::to_string(Value)));
}

LogLine &LogLine::field(std::string_view Key, std::uint64_t Value) {
  return field(Key, std::string_view(std::to_string(Value)));
}

LogLine &LogLine::field(std::string_view Key, std::uint32_t Value) {
  return field(Key, std::uint64_t{Value});
}

LogLine &LogLine::field(std::string_view Key, bool Value) {
  return field(Key, std::string_view(Value ? "true" : "false"));
}

Log::Log(LogLevel Level, const std::string &Path) : Level(Level) {
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput,
                       Path.empty() ? "true" : "false");
  Settings.setGlobally(el::ConfigurationType::ToFile,
                       Path.empty() ? "false" : "true");
  if (!Path.empty())
    Settings.setGlobally(el::ConfigurationType::Filename, Path);
  el::Loggers::reconfigureLogger("default", Settings);
}

void Log::write(LogLevel LineLevel, const LogLine &Line) {
  if (LineLevel < Level)
    return;
  switch (LineLevel) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line.text();
    break;
  case LogLevel::Info:
    LOG(INFO) << Line.text();
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line.text();
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line.text();
    break;
  }
  if (LineObserver)
    LineObserver(Line.text());
}

Result<LogLevel> parseLogLevel(std::string_view Text) {
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "info")
    return LogLevel::Info;
  if (Text == "warning")
    return LogLevel::Warning;
  if (Text == "error")
    return LogLevel::Error;
  return Error{ErrorKind::InvalidInput,
               "'" + std::string(Text) +
                   "' is not a log level; write debug, info, warning or error"};
}

} // namespace comfreyrill
