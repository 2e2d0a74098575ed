#include "bluebell/daemon/control_loop.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/peer/peer_server.h"
#include "bluebell/store/memory_platform.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {
namespace {

daemon_settings Settings() {
  daemon_settings settings;
  settings.id = daemon_id("d1");
  settings.peer_listen = address::Parse("127.0.0.1:0").value();
  return settings;
}

// Makes decisions with the given function and records all events except ticks.
// The loop's thread records events, the test's thread reads them.
class recorder {
 public:
  using plan = std::function<std::vector<control_action>(const control_event&)>;

  explicit recorder(plan answer) : answer_(std::move(answer)) {}

  control_decisions Decisions() {
    return {[this](const control_event& event, instant, wall_instant) {
              if (!std::holds_alternative<tick>(event)) {
                const std::lock_guard<std::mutex> lock(mutex_);
                events_.push_back(event);
              } else {
                ++ticks_;
              }
              return answer_(event);
            },
            [] {
              shared_state state;
              state.config = "stored";
              return state;
            }};
  }

  // Returns the first event of this type, after waiting for at most five
  // seconds.
  template <typename Event>
  Event Await() const {
    for (int i = 0; i < 500; ++i) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const control_event& event : events_) {
          if (const auto* found = std::get_if<Event>(&event)) {
            return *found;
          }
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    throw std::runtime_error("no event of this type within five seconds");
  }

  int ticks() const { return ticks_; }

 private:
  plan answer_;
  mutable std::mutex mutex_;
  std::vector<control_event> events_;
  std::atomic<int> ticks_ = 0;
};

// Returns `first` for the first event that is not a tick, and no actions for
// all other events.
recorder::plan Once(std::vector<control_action> first) {
  return [first = std::move(first),
          done = false](const control_event& event) mutable {
    if (done || std::holds_alternative<tick>(event)) {
      return std::vector<control_action>();
    }
    done = true;
    return first;
  };
}

struct loop_fixture {
  metrics_registry metrics;
  recorder seen;
  std::unique_ptr<control_loop> loop;

  explicit loop_fixture(recorder::plan plan) : seen(std::move(plan)) {
    control_loop_options options;
    options.platform = [](boost::asio::io_context& io) {
      return result<platform_client>(std::make_shared<memory_platform>(io));
    };
    loop = control_loop::Make(Settings(), seen.Decisions(), options, metrics)
               .value();
    loop->Start();
  }
};

TEST_CASE(
    "the control state gets ticks at their interval and the thread doesn't "
    "spin") {
  loop_fixture test(Once({}));
  std::this_thread::sleep_for(milliseconds(500));
  // 500 ms contain 25 ticks of 20 ms. Some may be skipped on a busy machine.
  CHECK(test.seen.ticks() >= 5);
  CHECK(test.seen.ticks() <= 26);
}

TEST_CASE("the result of a store write carries the id of its change") {
  loop_fixture test(Once({write_store{"config", "text", {}, change_id("c1")},
                          read_store{"config"}, read_hosts{}}));
  test.loop->Post(stop_requested{});
  const auto written = test.seen.Await<store_write_done>();
  CHECK(written.change == change_id("c1"));
  CHECK(std::holds_alternative<write_applied>(written.outcome));
  CHECK(test.seen.Await<store_read_done>().value.value().value == "text");
  CHECK(test.seen.Await<hosts_read_done>().hosts);
}

TEST_CASE("a heartbeat reaches the other control loop unchanged") {
  loop_fixture receiver(Once({}));
  heartbeat message;
  message.sender = daemon_id("d2");
  message.ping = 7;
  loop_fixture sender(
      Once({send_heartbeat{receiver.loop->heartbeat_address(), message}}));
  sender.loop->Post(stop_requested{});
  CHECK(receiver.seen.Await<heartbeat_received>().message == message);
  CHECK(sender.metrics.Count(metric::kHeartbeatsSent, {}) == 1);
}

TEST_CASE(
    "a lease request to an unreachable endpoint ends with an error that has "
    "step and peer") {
  const address nowhere = address::Parse("127.0.0.1:9").value();
  lease_request request;
  request.to.endpoint = endpoint_id("e1");
  loop_fixture test(Once({send_lease_request{nowhere, request}}));
  test.loop->Post(stop_requested{});
  const auto done = test.seen.Await<lease_request_done>();
  CHECK(done.endpoint == endpoint_id("e1"));
  REQUIRE_FALSE(done.reply);
  CHECK(done.reply.error().at() == step::kGrantLease);
  CHECK(done.reply.error().peer() == nowhere.ToString());
}

TEST_CASE("fetch_state delivers the state of a peer") {
  loop_fixture ahead(Once({}));
  boost::asio::io_context io;
  metrics_registry metrics;
  const auto server =
      peer_server::Make(
          {&io}, Settings().peer_listen,
          [&](const wire_message& message, const std::string&,
              const peer_reply& reply) {
            REQUIRE(std::holds_alternative<state_request>(message));
            ahead.loop->AnswerStateRequest(reply);
          },
          metrics)
          .value();
  std::thread worker([&] { io.run_for(seconds(3)); });
  loop_fixture behind(
      Once({fetch_state{daemon_id("ahead"), server->listen_address()}}));
  behind.loop->Post(stop_requested{});
  const auto state = behind.seen.Await<peer_state_received>();
  CHECK(state.peer == daemon_id("ahead"));
  CHECK(state.config == "stored");
  io.stop();
  worker.join();
}

TEST_CASE("each operator gets the answer to their own command") {
  loop_fixture test([](const control_event& event) {
    std::vector<control_action> actions;
    if (const auto* asked = std::get_if<operator_asked>(&event)) {
      const bool is_status =
          std::holds_alternative<show_status>(asked->command);
      actions.emplace_back(answer_operator{
          asked->token, {200, is_status ? "status" : "placement"}});
    }
    return actions;
  });
  std::promise<std::string> status;
  std::promise<std::string> placement;
  test.loop->Ask(show_placement{}, [&](const operator_reply& reply) {
    placement.set_value(reply.json);
  });
  test.loop->Ask(show_status{}, [&](const operator_reply& reply) {
    status.set_value(reply.json);
  });
  CHECK(status.get_future().get() == "status");
  CHECK(placement.get_future().get() == "placement");
}

TEST_CASE("a violated invariant is counted and a snapshot reaches readers") {
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->self = daemon_id("d1");
  loop_fixture test(Once({report_violation{"one_owner", "two owners"},
                          publish_snapshot{snapshot}, read_hosts{}}));
  test.loop->Post(stop_requested{});
  test.seen.Await<hosts_read_done>();
  CHECK(test.metrics.Count(metric::kInvariantViolations, {"one_owner"}) == 1);
  REQUIRE(test.loop->snapshots().Load());
  CHECK(test.loop->snapshots().Load()->self == daemon_id("d1"));
}

}  // namespace
}  // namespace bluebell
