#include "bluebell/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <cstddef>

#include <boost/asio/buffer.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>

namespace bluebell {

namespace {

namespace asio = boost::asio;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;
// How long sent bytes may stay unacknowledged before the connection fails.
constexpr int kUserTimeoutMillis = 2'500;

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp_option<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(tcp_option<TCP_KEEPCNT>(kMaxUnansweredProbes), ignored);
  socket.set_option(tcp_option<TCP_USER_TIMEOUT>(kUserTimeoutMillis), ignored);
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
