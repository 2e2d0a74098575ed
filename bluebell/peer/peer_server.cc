#include "bluebell/peer/peer_server.h"

#include <atomic>
#include <cstddef>
#include <unordered_set>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/net/socket_address.h"
#include "bluebell/net/tcp_listener.h"
#include "bluebell/peer/internal/frame_channel.h"
#include "bluebell/peer/peer_link_options.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// The maximum number of connections of one worker. Further ones are closed when
// they are accepted.
constexpr std::size_t kMaxConnectionsPerWorker = 20'000;

// The connections of one worker. Used on its thread only.
class worker : public std::enable_shared_from_this<worker> {
 public:
  worker(asio::io_context& io, peer_handler handler, metrics_registry& metrics)
      : io_(io),
        handler_(std::move(handler)),
        metrics_(metrics),
        idle_timer_(io) {}

  asio::io_context& io() { return io_; }

  void AddConnection(tcp::socket socket) {
    boost::system::error_code failure;
    const tcp::endpoint remote = socket.remote_endpoint(failure);
    if (failure || closed_ || channels_.size() >= kMaxConnectionsPerWorker) {
      return;
    }
    auto channel = std::make_shared<frame_channel>(
        std::move(socket), FromSocketAddress(remote).ToString(), metrics_);
    channels_.insert(channel);
    const std::weak_ptr<frame_channel> weak = channel;
    channel->Start(
        // Weak, because the worker owns the channel.
        [self = weak_from_this(), weak](frame received) {
          if (const auto owner = self.lock()) {
            owner->Receive(weak, std::move(received));
          }
        },
        [self = weak_from_this(), weak](const error& /*cause*/) {
          if (const auto owner = self.lock()) {
            owner->channels_.erase(weak.lock());
          }
        });
  }

  void ScheduleIdleSweep() {
    idle_timer_.expires_after(kServerIdleTimeout / 4);
    idle_timer_.async_wait([self = shared_from_this()](
                               const boost::system::error_code& cancelled) {
      if (cancelled || self->closed_) {
        return;
      }
      const instant oldest =
          std::chrono::steady_clock::now() - kServerIdleTimeout;
      std::erase_if(self->channels_, [&](const auto& channel) {
        const bool idle = channel->last_received() < oldest &&
                          channel->last_written() < oldest;
        if (idle) {
          channel->Close();
        }
        return idle;
      });
      self->ScheduleIdleSweep();
    });
  }

  void Close() {
    closed_ = true;
    idle_timer_.cancel();
    for (const auto& channel : channels_) {
      channel->Close();
    }
    channels_.clear();
  }

 private:
  void Receive(const std::weak_ptr<frame_channel>& weak, frame received) {
    const std::shared_ptr<frame_channel> channel = weak.lock();
    if (!channel) {
      return;
    }
    if (std::holds_alternative<link_probe>(received.message)) {
      received.kind = exchange_kind::kResponse;
      channel->Write(EncodeFrame(received).value());
      return;
    }
    if (received.kind == exchange_kind::kResponse) {
      metrics_.Add(metric::kMessagesDropped, {"peer", "unexpected"});
      return;
    }
    handler_(std::move(received.message), channel->peer(),
             MakeReply(weak, received.kind, received.correlation));
  }

  peer_reply MakeReply(std::weak_ptr<frame_channel> weak,
                       exchange_kind kind,
                       std::uint64_t correlation) {
    if (kind == exchange_kind::kOneWay) {
      return [](const wire_message& /*unused*/) {};
    }
    return [self = shared_from_this(), weak = std::move(weak), correlation,
            is_answered = std::make_shared<std::atomic<bool>>(false)](
               const wire_message& message) {
      if (is_answered->exchange(true)) {
        return;
      }
      result<std::string> encoded =
          EncodeFrame({exchange_kind::kResponse, correlation, message});
      if (!encoded) {
        self->metrics_.Add(metric::kMessagesDropped, {"peer", "too_large"});
        return;
      }
      asio::dispatch(self->io_, [self, weak,
                                 bytes = std::move(encoded).value()]() mutable {
        const std::shared_ptr<frame_channel> channel = weak.lock();
        if (!channel || !channel->open()) {
          self->metrics_.Add(metric::kMessagesDropped, {"peer", "closed"});
          return;
        }
        channel->Write(std::move(bytes));
      });
    };
  }

  asio::io_context& io_;
  peer_handler handler_;
  metrics_registry& metrics_;
  asio::steady_timer idle_timer_;
  std::unordered_set<std::shared_ptr<frame_channel>> channels_;
  bool closed_ = false;
};

}  // namespace

class peer_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const std::vector<asio::io_context*>& workers,
       const peer_handler& handler,
       metrics_registry& metrics)
      : acceptor_io_(*workers.front()) {
    for (asio::io_context* io : workers) {
      workers_.push_back(std::make_shared<worker>(*io, handler, metrics));
    }
  }

  const address& listen_address() const { return listener_->listen_address(); }

  result<void> Open(const address& listen) {
    auto opened = tcp_listener::Open(acceptor_io_, listen);
    if (!opened) {
      return opened.error();
    }
    listener_ = std::move(opened).value();
    return boost::outcome_v2::success();
  }

  void Start() {
    for (const auto& entry : workers_) {
      asio::post(entry->io(), [entry] { entry->ScheduleIdleSweep(); });
    }
    listener_->Start(
        [self = shared_from_this()](tcp::socket socket) {
          self->AddConnection(std::move(socket));
        },
        [self = shared_from_this()]() -> asio::io_context& {
          return self->ChooseWorker()->io();
        });
  }

  void StopAccepting() { listener_->Close(); }

  void Close() {
    StopAccepting();
    for (const auto& entry : workers_) {
      asio::post(entry->io(), [entry] { entry->Close(); });
    }
  }

 private:
  const std::shared_ptr<worker>& ChooseWorker() {
    last_chosen_ = (last_chosen_ + 1) % workers_.size();
    return workers_[last_chosen_];
  }

  // Connections are accepted one by one, so the last worker chosen is the one
  // for this socket.
  void AddConnection(tcp::socket socket) {
    const std::shared_ptr<worker>& chosen = workers_[last_chosen_];
    asio::post(chosen->io(), [chosen, socket = std::move(socket)]() mutable {
      chosen->AddConnection(std::move(socket));
    });
  }

  asio::io_context& acceptor_io_;
  std::shared_ptr<tcp_listener> listener_;
  std::vector<std::shared_ptr<worker>> workers_;
  std::size_t last_chosen_ = 0;
};

result<std::unique_ptr<peer_server>> peer_server::Make(
    const std::vector<asio::io_context*>& workers,
    const address& listen,
    const peer_handler& handler,
    metrics_registry& metrics) {
  auto state = std::make_shared<impl>(workers, handler, metrics);
  const result<void> opened = state->Open(listen);
  if (!opened) {
    return opened.error();
  }
  state->Start();
  return std::unique_ptr<peer_server>(new peer_server(std::move(state)));
}

peer_server::peer_server(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

peer_server::~peer_server() {
  impl_->Close();
}

void peer_server::StopAccepting() {
  impl_->StopAccepting();
}

const address& peer_server::listen_address() const {
  return impl_->listen_address();
}

}  // namespace bluebell
