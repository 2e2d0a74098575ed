#include "bluebell/peer/peer_link.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/peer/internal/frame_channel.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

instant Now() {
  return std::chrono::steady_clock::now();
}

step StepOf(const wire_message& message) {
  return std::visit(
      overloaded{
          [](const forward_request&) { return step::kForwardRequest; },
          [](const request_query&) { return step::kQueryRequest; },
          [](const state_request&) { return step::kFetchState; },
          [](const ledger_transfer&) { return step::kShutDown; },
          [](const auto&) { return step::kReadReply; },
      },
      message);
}

}  // namespace

class peer_link::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io,
       address peer_address,
       tcp::endpoint target,
       const peer_link_options& options,
       metrics_registry& metrics)
      : io_(io),
        peer_address_(std::move(peer_address)),
        target_(std::move(target)),
        options_(options),
        metrics_(metrics),
        check_timer_(io),
        connect_timer_(io),
        next_backoff_(options.min_backoff) {}

  const address& peer_address() const { return peer_address_; }

  void Send(const wire_message& message) {
    const result<std::string> encoded =
        EncodeFrame({exchange_kind::kOneWay, 0, message});
    if (!encoded || IsBacklogFull(encoded.value().size())) {
      metrics_.Add(metric::kMessagesDropped, {"peer", "backlog"});
      return;
    }
    Transmit(0, encoded.value());
  }

  void SendRequest(const wire_message& message,
                   milliseconds timeout,
                   reply_handler done) {
    const step at = StepOf(message);
    const std::uint64_t correlation = ++last_correlation_;
    const result<std::string> encoded =
        EncodeFrame({exchange_kind::kRequest, correlation, message});
    if (!encoded) {
      Post(std::move(done),
           Failure(errc::kTooLarge, at, encoded.error().detail()));
      return;
    }
    if (IsBacklogFull(encoded.value().size())) {
      Post(std::move(done),
           Failure(errc::kUnavailable, at, "the send backlog is full"));
      return;
    }
    auto timer = std::make_unique<asio::steady_timer>(io_, timeout);
    timer->async_wait([self = shared_from_this(), correlation,
                       timeout](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        self->FailRequest(
            correlation, errc::kTimeout,
            "no answer within " + std::to_string(timeout.count()) + " ms");
      }
    });
    open_requests_.emplace(correlation,
                           open_request{std::move(done), at, std::move(timer)});
    Transmit(correlation, encoded.value());
  }

  void Close() {
    closed_ = true;
    check_timer_.cancel();
    connect_timer_.cancel();
    if (channel_) {
      channel_->Close();
      channel_.reset();
    }
    waiting_frames_.clear();
    FailAll(errc::kConnectionLost, "the link was closed");
  }

 private:
  struct open_request {
    reply_handler done;
    step at;
    std::unique_ptr<asio::steady_timer> timer;
  };

  struct waiting_frame {
    // Zero for one-way messages.
    std::uint64_t correlation;
    std::string bytes;
  };

  error Failure(errc code, step at, const std::string& detail) const {
    return {code, at, peer_address_.ToString(), detail};
  }

  void Post(reply_handler done, const result<wire_message>& outcome) {
    asio::post(io_, [done = std::move(done), outcome] { done(outcome); });
  }

  bool IsBacklogFull(std::size_t more) const {
    const std::size_t queued =
        waiting_bytes_ + (channel_ ? channel_->backlog_bytes() : 0);
    return queued + more > options_.max_backlog_bytes;
  }

  void FailRequest(std::uint64_t correlation,
                   errc code,
                   const std::string& detail) {
    const auto found = open_requests_.find(correlation);
    if (found == open_requests_.end()) {
      return;
    }
    open_request request = std::move(found->second);
    open_requests_.erase(found);
    Post(std::move(request.done), Failure(code, request.at, detail));
  }

  void FailAll(errc code, const std::string& detail) {
    auto open = std::move(open_requests_);
    open_requests_.clear();
    for (auto& [correlation, request] : open) {
      Post(std::move(request.done), Failure(code, request.at, detail));
    }
  }

  void Transmit(std::uint64_t correlation, std::string bytes) {
    if (closed_) {
      FailRequest(correlation, errc::kUnavailable, "the link was closed");
      return;
    }
    if (channel_) {
      if (!IsAnswerDue()) {
        answer_due_since_ = Now();
      }
      channel_->Write(std::move(bytes));
      ScheduleCheck();
      return;
    }
    waiting_bytes_ += bytes.size();
    waiting_frames_.push_back({correlation, std::move(bytes)});
    if (!connecting_) {
      connecting_ = true;
      WaitToConnect();
    }
  }

  void WaitToConnect() {
    connect_timer_.expires_at(next_attempt_);
    connect_timer_.async_wait([self = shared_from_this()](
                                  const boost::system::error_code& cancelled) {
      if (!cancelled && !self->closed_) {
        self->Connect();
      }
    });
  }

  void Connect() {
    auto socket = std::make_shared<tcp::socket>(io_);
    connect_timer_.expires_after(options_.connect_timeout);
    connect_timer_.async_wait(
        [socket](const boost::system::error_code& cancelled) {
          if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
          }
        });
    socket->async_connect(target_,
                          [self = shared_from_this(),
                           socket](const boost::system::error_code& failure) {
                            self->connect_timer_.cancel();
                            if (!self->closed_) {
                              self->FinishConnect(*socket, failure);
                            }
                          });
  }

  void FinishConnect(tcp::socket& socket,
                     const boost::system::error_code& failure) {
    connecting_ = false;
    auto waiting = std::move(waiting_frames_);
    waiting_frames_.clear();
    waiting_bytes_ = 0;
    // The connect timeout may have closed the socket after it was connected.
    if (failure || !socket.is_open()) {
      next_attempt_ = Now() + next_backoff_;
      next_backoff_ = std::min(2 * next_backoff_, options_.max_backoff);
      const std::string detail =
          "connect failed: " + (failure == asio::error::operation_aborted
                                    ? std::string("timeout")
                                    : failure.message());
      for (const waiting_frame& entry : waiting) {
        FailRequest(entry.correlation, errc::kUnavailable, detail);
      }
      return;
    }
    next_backoff_ = options_.min_backoff;
    channel_ = std::make_shared<frame_channel>(
        std::move(socket), peer_address_.ToString(), metrics_);
    channel_->Start([self = shared_from_this()](
                        const frame& received) { self->Receive(received); },
                    [self = shared_from_this()](const error& cause) {
                      self->CloseConnection(cause.detail());
                    });
    answer_due_since_ = Now();
    for (waiting_frame& entry : waiting) {
      if (entry.correlation == 0 ||
          open_requests_.contains(entry.correlation)) {
        channel_->Write(std::move(entry.bytes));
      }
    }
    ScheduleCheck();
  }

  void Receive(const frame& received) {
    answer_due_since_ = Now();
    if (std::holds_alternative<link_probe>(received.message)) {
      return;
    }
    const auto found = received.kind == exchange_kind::kResponse
                           ? open_requests_.find(received.correlation)
                           : open_requests_.end();
    if (found == open_requests_.end()) {
      metrics_.Add(metric::kLateAnswersDropped, {"peer"});
      return;
    }
    open_request request = std::move(found->second);
    open_requests_.erase(found);
    request.done(received.message);
  }

  void CloseConnection(const std::string& detail) {
    if (channel_) {
      channel_->Close();
      channel_.reset();
    }
    check_timer_.cancel();
    is_check_scheduled_ = false;
    next_attempt_ = Now();
    FailAll(errc::kConnectionLost, detail);
  }

  bool IsAnswerDue() const {
    return !open_requests_.empty() ||
           channel_->last_written() > channel_->last_received();
  }

  // Starts the timer that checks the connection: at the probe interval while an
  // answer is due, else at the idle timeout.
  void ScheduleCheck() {
    const bool due = IsAnswerDue();
    if (is_check_scheduled_ && (is_answer_check_ || !due)) {
      return;
    }
    is_check_scheduled_ = true;
    is_answer_check_ = due;
    const milliseconds wait =
        due ? options_.probe_interval : options_.idle_timeout;
    check_timer_.expires_after(wait);
    check_timer_.async_wait(
        [self = shared_from_this(),
         expected = Now() + wait](const boost::system::error_code& cancelled) {
          if (!cancelled && self->channel_) {
            self->is_check_scheduled_ = false;
            self->CheckConnection(expected);
          }
        });
  }

  void CheckConnection(instant expected) {
    const instant now = Now();
    if (now - expected > options_.silence_timeout / 2) {
      // This process was paused, so data that has arrived wasn't read yet.
      answer_due_since_ = now;
    }
    const instant last_heard =
        std::max(channel_->last_received(), answer_due_since_);
    if (!IsAnswerDue()) {
      if (now - last_heard >= options_.idle_timeout) {
        CloseConnection("idle");
        return;
      }
    } else if (now - last_heard >= options_.silence_timeout) {
      log_event(log_level::kWarn, "silent connection abandoned")
          .With(Failure(errc::kTimeout, step::kReadReply,
                        "nothing arrived while an answer was due"))
          .Write();
      CloseConnection("the connection stopped responding");
      return;
    } else if (now - last_heard >= options_.probe_interval) {
      Probe();
    }
    ScheduleCheck();
  }

  void Probe() {
    const result<std::string> encoded =
        EncodeFrame({exchange_kind::kRequest, 0, link_probe{}});
    channel_->Write(encoded.value());
  }

  asio::io_context& io_;
  address peer_address_;
  tcp::endpoint target_;
  peer_link_options options_;
  metrics_registry& metrics_;
  std::shared_ptr<frame_channel> channel_;
  std::unordered_map<std::uint64_t, open_request> open_requests_;
  std::vector<waiting_frame> waiting_frames_;
  std::size_t waiting_bytes_ = 0;
  std::uint64_t last_correlation_ = 0;
  asio::steady_timer check_timer_;
  asio::steady_timer connect_timer_;
  instant answer_due_since_;
  instant next_attempt_;
  milliseconds next_backoff_;
  bool connecting_ = false;
  bool is_check_scheduled_ = false;
  bool is_answer_check_ = false;
  bool closed_ = false;
};

result<std::unique_ptr<peer_link>> peer_link::Make(
    asio::io_context& io,
    const address& peer_address,
    const peer_link_options& options,
    metrics_registry& metrics) {
  const auto target = ToSocketAddress<tcp>(peer_address, step::kConnect);
  if (!target) {
    return target.error();
  }
  return std::unique_ptr<peer_link>(new peer_link(std::make_shared<impl>(
      io, peer_address, target.value(), options, metrics)));
}

peer_link::peer_link(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

peer_link::~peer_link() {
  impl_->Close();
}

void peer_link::Send(const wire_message& message) {
  impl_->Send(message);
}

void peer_link::SendRequest(const wire_message& message,
                            milliseconds timeout,
                            reply_handler done) {
  impl_->SendRequest(message, timeout, std::move(done));
}

const address& peer_link::peer_address() const {
  return impl_->peer_address();
}

}  // namespace bluebell
