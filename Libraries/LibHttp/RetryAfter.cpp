#include <LibHttp/RetryAfter.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace comfreyrill {

namespace {

constexpr double SecondsMaximum = 1e8;

std::string_view trimmed(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1);
}

std::optional<Duration> parseSeconds(std::string_view Text) {
  // from_chars would also accept "inf", "nan" and exponents.
  if (Text.empty() ||
      Text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Seconds);
  if (Stop != End || Code == std::errc::invalid_argument)
    return std::nullopt;
  // The value is too large or too close to zero for a double.
  if (Code == std::errc::result_out_of_range)
    Seconds =
        Text.find_first_of("123456789") < Text.find('.') ? SecondsMaximum : 0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, SecondsMaximum)));
}

} // namespace

std::optional<Duration> parseRetryAfter(const HttpResponse &Response) {
  std::optional<Duration> Longest;
  const auto [Begin, End] = Response.equal_range(http::field::retry_after);
  for (auto Field = Begin; Field != End; ++Field) {
    std::string_view Rest(Field->value().data(), Field->value().size());
    while (true) {
      const std::size_t Comma = Rest.find(',');
      const auto Value = parseSeconds(trimmed(Rest.substr(0, Comma)));
      if (Value && (!Longest || *Value > *Longest))
        Longest = Value;
      if (Comma == std::string_view::npos)
        break;
      Rest.remove_prefix(Comma + 1);
    }
  }
  return Longest;
}

} // namespace comfreyrill
