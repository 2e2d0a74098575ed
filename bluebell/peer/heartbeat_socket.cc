#include "bluebell/peer/heartbeat_socket.h"

#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "bluebell/net/socket_address.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

instant Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

result<std::unique_ptr<heartbeat_socket>> heartbeat_socket::Make(
    asio::io_context& io,
    const address& listen,
    receive_handler on_received,
    metrics_registry& metrics) {
  const auto local = ToSocketAddress<udp>(listen, step::kListen);
  if (!local) {
    return local.error();
  }
  std::unique_ptr<heartbeat_socket> created(
      new heartbeat_socket(io, std::move(on_received), metrics));
  boost::system::error_code failure;
  created->socket_.open(local.value().protocol(), failure);
  if (!failure) {
    created->socket_.bind(local.value(), failure);
  }
  if (!failure) {
    created->socket_.non_blocking(true, failure);
  }
  if (failure) {
    return error(errc::kUnavailable, step::kListen, listen.ToString(),
                 failure.message());
  }
  created->Receive();
  return created;
}

heartbeat_socket::heartbeat_socket(asio::io_context& io,
                                   receive_handler on_received,
                                   metrics_registry& metrics)
    : socket_(io), on_received_(std::move(on_received)), metrics_(metrics) {}

address heartbeat_socket::listen_address() const {
  return FromSocketAddress(socket_.local_endpoint());
}

void heartbeat_socket::Send(const address& to, const heartbeat& message) {
  const auto target = ToSocketAddress<udp>(to, step::kConnect);
  if (!target) {
    ReportDropped("address", target.error());
    return;
  }
  const result<std::string> bytes =
      EncodeFrame({exchange_kind::kOneWay, 0, message});
  if (!bytes) {
    ReportDropped("too_large", bytes.error());
    return;
  }
  boost::system::error_code failure;
  socket_.send_to(asio::buffer(bytes.value()), target.value(), 0, failure);
  if (failure) {
    ReportDropped("send", error(errc::kUnavailable, step::kConnect,
                                to.ToString(), failure.message()));
    return;
  }
  metrics_.Add(metric::kHeartbeatsSent, {});
  metrics_.Add(metric::kHeartbeatBytes, {"out"}, bytes.value().size());
}

void heartbeat_socket::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [this](const boost::system::error_code& failure, std::size_t size) {
        if (failure == asio::error::operation_aborted) {
          return;
        }
        // Other failures report that an earlier send reached a closed port.
        if (!failure) {
          HandleDatagram(size);
        }
        Receive();
      });
}

void heartbeat_socket::HandleDatagram(std::size_t size) {
  metrics_.Add(metric::kHeartbeatBytes, {"in"}, size);
  result<frame> received = DecodeFrame({receive_buffer_.data(), size});
  if (!received) {
    ReportDropped("malformed",
                  error(received.error().code(), received.error().at(),
                        FromSocketAddress(sender_).ToString(),
                        received.error().detail()));
    return;
  }
  auto* message = std::get_if<heartbeat>(&received.value().message);
  if (message == nullptr) {
    ReportDropped(
        "unexpected",
        error(errc::kMalformedMessage, step::kDecodeMessage,
              FromSocketAddress(sender_).ToString(), "not a heartbeat"));
    return;
  }
  metrics_.Add(metric::kHeartbeatsReceived, {});
  on_received_(std::move(*message));
}

void heartbeat_socket::ReportDropped(std::string_view reason,
                                     const error& cause) {
  metrics_.Add(metric::kMessagesDropped, {"heartbeat", reason});
  if (const auto omitted = limiter_.Admit(Now())) {
    log_event(log_level::kWarn, "heartbeat dropped")
        .With(cause)
        .With("omitted", *omitted)
        .Write();
  }
}

}  // namespace bluebell
