// Conversions between bluebell addresses and Asio socket addresses.

#ifndef BLUEBELL_NET_SOCKET_ADDRESS_H_
#define BLUEBELL_NET_SOCKET_ADDRESS_H_

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/error.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Converts an address. `Protocol` is asio::ip::tcp or asio::ip::udp. Fails with
// errc::kInvalidArgument and the step `at` if the address has no valid IP
// address.
template <typename Protocol>
result<typename Protocol::endpoint> ToSocketAddress(const address& source,
                                                    step at) {
  boost::system::error_code failure;
  const auto ip_address = boost::asio::ip::make_address(source.ip(), failure);
  if (failure) {
    return error(errc::kInvalidArgument, at, source.ToString(),
                 "not an IP number");
  }
  return typename Protocol::endpoint(ip_address, source.port());
}

// Converts an Asio socket address. It can't fail, because such an address
// always has a valid IP address.
template <typename SocketAddress>
address FromSocketAddress(const SocketAddress& socket_address) {
  const std::string ip = socket_address.address().to_string();
  const bool is_v6 = socket_address.address().is_v6();
  return address::Parse((is_v6 ? '[' + ip + ']' : ip) + ':' +
                        std::to_string(socket_address.port()))
      .value();
}

}  // namespace bluebell

#endif  // BLUEBELL_NET_SOCKET_ADDRESS_H_
