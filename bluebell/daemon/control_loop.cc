#include "bluebell/daemon/control_loop.h"

#include <algorithm>
#include <ctime>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/daemon/internal/action_executor.h"
#include "bluebell/peer/heartbeat_socket.h"
#include "bluebell/store/http_platform.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr seconds kSweepInterval{10};

std::string_view NameOf(const control_event& event) {
  return std::visit(
      overloaded{
          [](const tick&) { return "tick"; },
          [](const store_read_done&) { return "store_read"; },
          [](const store_write_done&) { return "store_write"; },
          [](const hosts_read_done&) { return "hosts_read"; },
          [](const lease_request_done&) { return "lease_request"; },
          [](const heartbeat_received&) { return "heartbeat"; },
          [](const peer_state_received&) { return "peer_state"; },
          [](const exchange_observed&) { return "exchange"; },
          [](const load_measured&) { return "load"; },
          [](const operator_asked&) { return "operator"; },
          [](const stop_requested&) { return "stop"; },
      },
      event);
}

// Processor time of the calling thread.
duration ThreadCpuTime() {
  timespec now = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return seconds(now.tv_sec) + nanoseconds(now.tv_nsec);
}

result<platform_client> MakePlatform(const daemon_settings& settings,
                                     const control_loop_options& options,
                                     asio::io_context& io) {
  if (options.platform) {
    return options.platform(io);
  }
  result<std::shared_ptr<http_platform>> made =
      http_platform::Make(io, settings.platform, options.store_timeout);
  if (!made) {
    return made.error();
  }
  return platform_client(made.value());
}

}  // namespace

class control_loop::impl {
 public:
  // `io` has no work yet. `platform` uses it.
  impl(std::unique_ptr<asio::io_context> io,
       const daemon_settings& settings,
       control_decisions decisions,
       const control_loop_options& options,
       const platform_client& platform,
       metrics_registry& metrics)
      : io_(std::move(io)),
        work_(asio::make_work_guard(*io_)),
        tick_timer_(*io_),
        sweep_timer_(*io_),
        decisions_(std::move(decisions)),
        metrics_(metrics),
        executor_(
            *io_,
            settings.id,
            options,
            platform,
            [this](const control_event& event) { Deliver(event); },
            metrics) {}

  result<void> Open(const address& listen) {
    auto socket = heartbeat_socket::Make(
        *io_, listen,
        [this](heartbeat message) {
          Deliver(heartbeat_received{std::move(message)});
        },
        metrics_);
    if (!socket) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    heartbeat_address_ = socket_->listen_address();
    executor_.UseSocket(*socket_);
    return boost::outcome_v2::success();
  }

  void Start() {
    next_tick_ = std::chrono::steady_clock::now();
    Tick();
    Sweep();
    thread_ = std::thread([this] { io_->run(); });
  }

  void Stop() {
    io_->stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Post(control_event event) {
    asio::post(*io_, [this, event = std::move(event)] { Deliver(event); });
  }

  void Ask(operator_command command, operator_reply_handler done) {
    asio::post(
        *io_, [this, command = std::move(command), done = std::move(done)] {
          Deliver(operator_asked{executor_.RegisterOperator(done), command});
        });
  }

  void AnswerStateRequest(peer_reply reply) {
    asio::post(*io_, [this, reply = std::move(reply)] {
      shared_state shared = decisions_.make_shared_state();
      state_reply answer;
      answer.config = std::move(shared.config);
      answer.tables = std::move(shared.tables);
      answer.hosts = std::move(shared.hosts);
      answer.load = std::move(shared.load);
      reply(answer);
    });
  }

  const snapshot_publisher& snapshots() const { return executor_.snapshots(); }
  const address& heartbeat_address() const { return heartbeat_address_; }

 private:
  void Deliver(const control_event& event) {
    const duration cpu_time_before = ThreadCpuTime();
    const std::vector<control_action> actions =
        decisions_.handle(event, std::chrono::steady_clock::now(),
                          std::chrono::system_clock::now());
    for (const control_action& action : actions) {
      std::visit(executor_, action);
    }
    metrics_.Observe(metric::kControlSeconds, {NameOf(event)},
                     ThreadCpuTime() - cpu_time_before);
  }

  void Tick() {
    // Ticks that were missed while the thread was busy or paused are skipped.
    const instant now = std::chrono::steady_clock::now();
    next_tick_ = std::max(next_tick_ + kControlTickInterval, now);
    tick_timer_.expires_at(next_tick_);
    tick_timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        Deliver(tick{});
        Tick();
      }
    });
  }

  void Sweep() {
    sweep_timer_.expires_after(kSweepInterval);
    sweep_timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        executor_.Sweep(std::chrono::steady_clock::now());
        Sweep();
      }
    });
  }

  // Declared first, so that it is destroyed last. With it the handlers are
  // destroyed that refer to the other members.
  std::unique_ptr<asio::io_context> io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::steady_timer tick_timer_;
  asio::steady_timer sweep_timer_;
  control_decisions decisions_;
  metrics_registry& metrics_;
  action_executor executor_;
  std::unique_ptr<heartbeat_socket> socket_;
  address heartbeat_address_;
  instant next_tick_;
  std::thread thread_;
};

result<std::unique_ptr<control_loop>> control_loop::Make(
    const daemon_settings& settings,
    control_decisions decisions,
    const control_loop_options& options,
    metrics_registry& metrics) {
  auto io = std::make_unique<asio::io_context>(1);
  const result<platform_client> platform = MakePlatform(settings, options, *io);
  if (!platform) {
    return platform.error();
  }
  auto state =
      std::make_unique<impl>(std::move(io), settings, std::move(decisions),
                             options, platform.value(), metrics);
  const result<void> opened = state->Open(settings.peer_listen);
  if (!opened) {
    return opened.error();
  }
  return std::unique_ptr<control_loop>(new control_loop(std::move(state)));
}

control_loop::control_loop(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

control_loop::~control_loop() {
  impl_->Stop();
}

void control_loop::Start() {
  impl_->Start();
}

void control_loop::Stop() {
  impl_->Stop();
}

void control_loop::Post(control_event event) {
  impl_->Post(std::move(event));
}

void control_loop::Ask(operator_command command, operator_reply_handler done) {
  impl_->Ask(std::move(command), std::move(done));
}

void control_loop::AnswerStateRequest(peer_reply reply) {
  impl_->AnswerStateRequest(std::move(reply));
}

const snapshot_publisher& control_loop::snapshots() const {
  return impl_->snapshots();
}

const address& control_loop::heartbeat_address() const {
  return impl_->heartbeat_address();
}

}  // namespace bluebell
