#include "bluebell/proxy/peer_socket.h"

#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include "bluebell/net/socket_address.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

namespace {

using boost::asio::ip::udp;

// Only this many datagrams that can't be decoded are logged.
constexpr std::size_t kMaxLoggedMalformed = 20;

}  // namespace

result<std::unique_ptr<peer_socket>> peer_socket::Open(
    boost::asio::io_context& io,
    const address& listen_address) {
  const auto local = ToSocketAddress<udp>(listen_address, step::kListen);
  if (!local) {
    return local.error();
  }
  udp::socket socket(io);
  boost::system::error_code failure;
  socket.open(local.value().protocol(), failure);
  if (!failure) {
    socket.bind(local.value(), failure);
  }
  if (!failure) {
    socket.non_blocking(true, failure);
  }
  if (failure) {
    return error(errc::kUnavailable, step::kListen, listen_address.ToString(),
                 failure.message());
  }
  return std::unique_ptr<peer_socket>(new peer_socket(std::move(socket)));
}

peer_socket::peer_socket(udp::socket socket)
    : socket_(std::move(socket)), receive_buffer_(kMaxDatagramBytes) {}

void peer_socket::Start(handler on_message) {
  on_message_ = std::move(on_message);
  Receive();
}

void peer_socket::Receive() {
  socket_.async_wait(
      udp::socket::wait_read, [this](boost::system::error_code failure) {
        if (failure == boost::asio::error::operation_aborted) {
          return;
        }
        // Reads all datagrams that have arrived.
        boost::system::error_code empty;
        while (!empty) {
          const std::size_t size = socket_.receive_from(
              boost::asio::buffer(receive_buffer_), sender_, 0, empty);
          if (!empty) {
            HandleDatagramSafely(size);
          }
        }
        Receive();
      });
}

void peer_socket::HandleDatagramSafely(std::size_t size) {
  try {
    HandleDatagram(size);
  } catch (...) {
    // The socket goes on receiving.
    ReportUnexpected("message of another daemon", std::current_exception());
  }
}

void peer_socket::HandleDatagram(std::size_t size) {
  const result<frame> decoded =
      DecodeFrame(std::string_view(receive_buffer_.data(), size));
  if (!decoded) {
    if (++malformed_count_ <= kMaxLoggedMalformed) {
      log_event(log_level::kWarn, "dropped a datagram")
          .With(decoded.error())
          .Write();
    }
    return;
  }
  on_message_(FromSocketAddress(sender_), decoded.value().message);
}

void peer_socket::Send(const address& to, const wire_message& message) {
  const result<std::string> bytes =
      EncodeFrame({exchange_kind::kOneWay, 0, message});
  const auto target = ToSocketAddress<udp>(to, step::kConnect);
  if (!bytes || !target) {
    log_event(log_level::kWarn, "message not sent")
        .With(bytes ? target.error() : bytes.error())
        .Write();
    return;
  }
  // A failure is treated like a datagram lost in the network: the sender
  // repeats messages that need an answer.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes.value()), target.value(), 0,
                  ignored);
}

}  // namespace bluebell
