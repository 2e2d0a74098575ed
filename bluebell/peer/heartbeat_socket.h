// Heartbeats by UDP, one frame a datagram.

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

  static result<std::unique_ptr<heartbeat_socket>> Make(
      boost::asio::io_context& io,
      const address& listen,
      receive_handler on_received,
      metrics_registry& metrics);

  // Never waits: a heartbeat that the kernel doesn't take is dropped.
  void Send(const address& to, const heartbeat& message);
  address listen_address() const;

 private:
  heartbeat_socket(boost::asio::io_context& io,
                   receive_handler on_received,
                   metrics_registry& metrics);
  void Receive();
  void Take(std::size_t size);
  void Drop(std::string_view reason, const error& cause);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> inbox_ = {};
  receive_handler on_received_;
  metrics_registry& metrics_;
  log_limiter limiter_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_HEARTBEAT_SOCKET_H_
