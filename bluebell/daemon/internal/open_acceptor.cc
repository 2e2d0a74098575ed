#include "bluebell/daemon/internal/open_acceptor.h"

#include "bluebell/daemon/internal/socket_address.h"

namespace bluebell {

using boost::asio::ip::tcp;

result<address> OpenAcceptor(tcp::acceptor& acceptor, const address& listen) {
  const auto local = ToSocketAddress<tcp>(listen, step::kListen);
  if (!local) {
    return local.error();
  }
  try {
    acceptor.open(local.value().protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local.value());
    acceptor.listen();
    return FromSocketAddress(acceptor.local_endpoint());
  } catch (const boost::system::system_error& failure) {
    return error(errc::kUnavailable, step::kListen, listen.ToString(),
                 failure.code().message());
  }
}

}  // namespace bluebell
