// Sends and receives heartbeats over UDP, one frame per datagram.
//
// All functions and handlers run on the thread of the io_context.
//
//   auto socket = heartbeat_socket::Make(io, listen, on_received, metrics);
//   socket.value()->Send(peer, message);

#ifndef BLUEBELL_PEER_HEARTBEAT_SOCKET_H_
#define BLUEBELL_PEER_HEARTBEAT_SOCKET_H_

#include <array>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/membership/heartbeat.h"
#include "bluebell/runtime/log_limiter.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

class heartbeat_socket {
 public:
  using receive_handler = std::function<void(heartbeat)>;

  // Binds to `listen` and calls `on_received` for each valid heartbeat. `io`
  // and `metrics` must outlive the socket. Fails with step::kListen.
  static result<std::unique_ptr<heartbeat_socket>> Make(
      boost::asio::io_context& io,
      const address& listen,
      receive_handler on_received,
      metrics_registry& metrics);

  // Never blocks. A heartbeat that can't be sent at once is dropped, counted
  // and logged.
  void Send(const address& to, const heartbeat& message);
  // The bound address, with the actual port.
  address listen_address() const;

 private:
  heartbeat_socket(boost::asio::io_context& io,
                   receive_handler on_received,
                   metrics_registry& metrics);
  void Receive();
  void HandleDatagram(std::size_t size);
  void ReportDropped(std::string_view reason, const error& cause);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> receive_buffer_ = {};
  receive_handler on_received_;
  metrics_registry& metrics_;
  log_limiter limiter_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_HEARTBEAT_SOCKET_H_
