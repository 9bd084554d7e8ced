#include <LibCore/Endpoint.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace comfreyrill {

namespace {

Error invalidEndpoint(std::string_view Text) {
  return Error{
      ErrorKind::InvalidInput,
      "'" + std::string(Text) +
          "' is not an endpoint; write an IP address and a port from 0 "
          "to 65535, for example 127.0.0.1:7001"};
}

} // namespace

Result<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return invalidEndpoint(Text);
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view PortText = Text.substr(Colon + 1);
  if (Host.size() >= 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string_view::npos)
    return invalidEndpoint(Text);

  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto [Position, PortError] =
      std::from_chars(PortText.data(), End, Port);
  if (PortError != std::errc() || Position != End)
    return invalidEndpoint(Text);

  boost::system::error_code AddressError;
  const auto Address = boost::asio::ip::make_address(Host, AddressError);
  if (AddressError)
    return invalidEndpoint(Text);
  return Endpoint{Address.to_string(), Port};
}

std::string formatEndpoint(const Endpoint &Value) {
  const bool IsIpv6 = Value.Address.find(':') != std::string::npos;
  const std::string Host = IsIpv6 ? "[" + Value.Address + "]" : Value.Address;
  return Host + ":" + std::to_string(Value.Port);
}

} // namespace comfreyrill
