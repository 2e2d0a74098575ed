#include "bluebell/http/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>

#include <boost/asio/buffer.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>

#include "bluebell/http/delivery_monitor.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

// Asks the kernel for the size of one of the socket's queues.
template <int Name>
class queue_size {
 public:
  int name() const { return Name; }
  asio::detail::ioctl_arg_type* data() { return &bytes_; }
  // No value if the kernel doesn't tell.
  static std::optional<std::size_t> Of(asio::ip::tcp::socket& socket) {
    queue_size query;
    boost::system::error_code failure;
    socket.io_control(query, failure);
    if (failure) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(std::max(query.bytes_, 0));
  }

 private:
  asio::detail::ioctl_arg_type bytes_ = 0;
};

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp_option<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPCNT>(kMaxUnansweredProbes), ignored);
  SetUserTimeout(socket, kPeerSilenceTimeout);
}

void SetUserTimeout(asio::ip::tcp::socket& socket, milliseconds timeout) {
  boost::system::error_code ignored;
  socket.set_option(
      tcp_option<TCP_USER_TIMEOUT>(static_cast<int>(timeout.count())), ignored);
}

std::size_t UnsentBytes(asio::ip::tcp::socket& socket) {
  return queue_size<SIOCOUTQNSD>::Of(socket).value_or(0);
}

std::optional<delivery_sample> SampleDelivery(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const auto undelivered = queue_size<SIOCOUTQ>::Of(socket);
  if (!undelivered || getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO,
                                 &info, &size) != 0) {
    return std::nullopt;
  }
  delivery_sample sample;
  sample.undelivered_bytes = *undelivered;
  sample.awaits_ack = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  // The kernel doesn't back off while it repeats a segment that arrived at a
  // closed window.
  sample.repeats = info.tcpi_backoff > 0 || info.tcpi_retransmits > 0 ||
                   info.tcpi_ca_state >= TCP_CA_Recovery;
  sample.since_last_ack = milliseconds(info.tcpi_last_ack_recv);
  return sample;
}

void ResetOnClose(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

socket_input PeekInput(asio::ip::tcp::socket& socket) {
  boost::system::error_code state;
  socket.non_blocking(true, state);
  char byte = 0;
  const std::size_t size = socket.receive(
      asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, state);
  if (state == asio::error::would_block) {
    return socket_input::kNone;
  }
  return size > 0 ? socket_input::kBytes : socket_input::kEnd;
}

bool PeerHasClosed(asio::ip::tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace bluebell
