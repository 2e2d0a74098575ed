#include "bluebell/http/delivery_guard.h"

#include <string>
#include <utility>
#include <variant>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

// Several checks fit between the answer to a window probe and the end of the
// user timeout.
constexpr milliseconds kCheckInterval{250};
// The kernel takes a message with a body of this size at once, also on a
// connection with a small send buffer.
constexpr std::size_t kSmallBodyBytes = 2'048;

std::string ToText(const boost::asio::ip::tcp::endpoint& peer) {
  return peer.address().to_string() + ":" + std::to_string(peer.port());
}

}  // namespace

std::shared_ptr<delivery_guard> delivery_guard::Make(
    boost::asio::ip::tcp::socket& socket,
    delivery_handlers handlers) {
  return std::shared_ptr<delivery_guard>(
      new delivery_guard(socket, std::move(handlers)));
}

delivery_guard::delivery_guard(boost::asio::ip::tcp::socket& socket,
                               delivery_handlers handlers)
    : socket_(socket),
      handlers_(std::move(handlers)),
      timer_(socket.get_executor()) {}

void delivery_guard::BeginWrite(std::size_t body_bytes,
                                duration max_delivery_time) {
  const instant now = BootNow();
  monitor_.OnWriteBegun(now + max_delivery_time, now);
  // Most messages are small and need no check, so no timer is set for them.
  if (body_bytes > kSmallBodyBytes) {
    ScheduleCheck();
  }
}

void delivery_guard::EndWrite() {
  if (!monitor_.OnWriteEnded(UnsentBytes(socket_))) {
    has_undelivered_ = true;
    ScheduleCheck();
  } else if (has_undelivered_) {
    OnDelivered();
  } else {
    EndChecks();
  }
}

void delivery_guard::Stop() {
  stopped_ = true;
  EndChecks();
}

void delivery_guard::ScheduleCheck() {
  if (std::exchange(check_is_scheduled_, true)) {
    return;
  }
  timer_.expires_after(kCheckInterval);
  timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled && self->is_active()) {
          self->check_is_scheduled_ = false;
          self->Check();
        }
      });
}

void delivery_guard::Check() {
  const auto sample = SampleDelivery(socket_);
  if (!sample) {
    // The socket is closed, or the system gives no samples. Then the kernel's
    // user timeout alone limits the delivery.
    Stop();
    OnDelivered();
    return;
  }
  std::visit(overloaded{[&](const delivery_complete&) { OnDelivered(); },
                        [&](const delivery_continues& continues) {
                          ChangeUserTimeout(continues.user_timeout);
                          ScheduleCheck();
                        },
                        [&](const peer_silent&) { Fail("the peer is silent"); },
                        [&](const delivery_overdue&) {
                          Fail("the peer reads too slowly");
                        }},
             monitor_.Observe(*sample, BootNow()));
}

void delivery_guard::OnDelivered() {
  has_undelivered_ = false;
  EndChecks();
  if (handlers_.on_delivered) {
    handlers_.on_delivered();
  }
}

void delivery_guard::EndChecks() {
  if (std::exchange(check_is_scheduled_, false)) {
    timer_.cancel();
  }
  ChangeUserTimeout(kPeerSilenceTimeout);
}

void delivery_guard::Fail(std::string_view reason) {
  Stop();
  boost::system::error_code ignored;
  log_event(log_level::kInfo, "sent bytes were not delivered")
      .With("peer", ToText(socket_.remote_endpoint(ignored)))
      .With("reason", reason)
      .Write();
  handlers_.on_failure();
}

void delivery_guard::ChangeUserTimeout(milliseconds user_timeout) {
  if (std::exchange(user_timeout_, user_timeout) != user_timeout) {
    SetUserTimeout(socket_, user_timeout);
  }
}

}  // namespace bluebell
