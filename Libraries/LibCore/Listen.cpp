#include <LibCore/Listen.h>

namespace comfreyrill {

Result<Endpoint> listenOn(TcpAcceptor &Acceptor, const Endpoint &Requested) {
  boost::system::error_code Code;
  const auto Address = asio::ip::make_address(Requested.Address, Code);
  const asio::ip::tcp::endpoint BindAddress(Address, Requested.Port);
  if (!Code)
    Acceptor.open(BindAddress.protocol(), Code);
  if (!Code)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(BindAddress, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return Error{ErrorKind::Unavailable,
                 "cannot listen on " + formatEndpoint(Requested) + ": " +
                     Code.message() +
                     "; choose a free port and an address of this host"};
  const auto Bound = Acceptor.local_endpoint(Code);
  return Endpoint{Bound.address().to_string(), Bound.port()};
}

} // namespace comfreyrill
