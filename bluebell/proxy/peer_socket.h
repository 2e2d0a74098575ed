// Sends and receives messages between daemons over UDP. Messages may be lost; a
// sender that needs an answer sends its message again. Used on the thread of
// `io` only.
//
//   auto socket = peer_socket::Open(io, own_address).value();
//   socket->Start(on_message);
//   socket->Send(to, message);

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

  // Binds the address. Fails if it can't be bound.
  static result<std::unique_ptr<peer_socket>> Open(
      boost::asio::io_context& io,
      const address& listen_address);
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;
  ~peer_socket() = default;

  // Calls `on_message` for each message received. Datagrams that can't be
  // decoded are dropped, and the first ones are logged.
  void Start(handler on_message);

  // Doesn't block. The message is dropped if the socket's send buffer is full
  // or sending fails.
  void Send(const address& to, const wire_message& message);

 private:
  explicit peer_socket(boost::asio::ip::udp::socket socket);

  void Receive();
  // Decodes and delivers the datagram of this many bytes in `receive_buffer_`.
  void HandleDatagram(std::size_t size);
  // The same, but reports an exception instead of throwing it.
  void HandleDatagramSafely(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::vector<char> receive_buffer_;
  handler on_message_;
  // The number of datagrams that could not be decoded.
  std::size_t malformed_count_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PEER_SOCKET_H_
