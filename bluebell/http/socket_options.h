// Options of the TCP sockets to and from this daemon.

#ifndef BLUEBELL_HTTP_SOCKET_OPTIONS_H_
#define BLUEBELL_HTTP_SOCKET_OPTIONS_H_

#include <cstdint>

#include <boost/asio/ip/tcp.hpp>

namespace bluebell {

// Sends small messages at once, and ends a connection whose other end has been
// silent for about three seconds: open connections may go silent for good while
// new ones work. Failures are ignored, since a closed socket has no options.
void PrepareSocket(boost::asio::ip::tcp::socket& socket);

// Makes closing the socket drop what is still to be sent, so that it can't
// arrive after the sender has given up.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

// What can be read from a socket without waiting.
enum class socket_input : std::uint8_t {
  kNone,
  kBytes,
  // The other end has closed the connection, or it is broken.
  kEnd,
};

// Takes nothing from the socket, which no longer blocks afterwards.
socket_input PeekInput(boost::asio::ip::tcp::socket& socket);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_SOCKET_OPTIONS_H_
