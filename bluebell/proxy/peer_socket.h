// Messages between daemons over UDP. A lost message is made up for by whoever
// waits for its answer.
//
//   auto socket = peer_socket::Open(io, own_address).value();
//   socket->Start([](const address& from, const wire_message& message) { ...
//   }); socket->Send(to, message);

#ifndef BLUEBELL_PROXY_PEER_SOCKET_H_
#define BLUEBELL_PROXY_PEER_SOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/wire/wire_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class peer_socket {
 public:
  using handler =
      std::function<void(const address& from, const wire_message& message)>;

  static result<std::unique_ptr<peer_socket>> Open(boost::asio::io_context& io,
                                                   const address& where);
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;
  ~peer_socket() = default;

  // Datagrams that can't be decoded are logged, a bounded number of them, and
  // dropped.
  void Start(handler on_message);

  // Never waits: a message that the network has no room for is dropped.
  void Send(const address& to, const wire_message& message);

 private:
  explicit peer_socket(boost::asio::ip::udp::socket socket);

  void Receive();
  void Take(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::vector<char> inbox_;
  handler on_message_;
  std::size_t malformed_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PEER_SOCKET_H_
