// Options and state of the TCP sockets of callers, endpoints and other servers.

#ifndef BLUEBELL_HTTP_SOCKET_OPTIONS_H_
#define BLUEBELL_HTTP_SOCKET_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "bluebell/core/time.h"

namespace bluebell {

struct delivery_sample;

// Disables the delay of small messages, and enables probes that end a
// connection whose peer hasn't responded for about three seconds: an open
// connection can stop working for good while new ones work. A peer that closes
// its receive window for that long counts as such, unless a delivery_guard
// watches the connection. Failures are ignored, because options can't be set on
// a closed socket.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

// Sets how long the peer may leave sent bytes unacknowledged or keep its
// receive window closed before the kernel ends the connection.
void SetUserTimeout(boost::asio::ip::tcp::socket& socket, milliseconds timeout);

// The written bytes that wait for room in the peer's receive window; zero if
// the system doesn't tell.
std::size_t UnsentBytes(boost::asio::ip::tcp::socket& socket);

// No value if the system doesn't tell.
std::optional<delivery_sample> SampleDelivery(
    boost::asio::ip::tcp::socket& socket);

// Makes closing the socket reset the connection and discard unsent bytes, so
// that they can't arrive after the sender has closed it.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

// What can be read from a socket without waiting.
enum class socket_input : std::uint8_t {
  kNone,
  kBytes,
  // The peer has closed the connection, or the connection has failed.
  kEnd,
};

// Checks the input without reading it. Leaves the socket in non-blocking mode.
socket_input PeekInput(boost::asio::ip::tcp::socket& socket);

// True if the peer has closed its side or the connection has failed, also if
// unread input precedes the end.
bool PeerHasClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_SOCKET_OPTIONS_H_
