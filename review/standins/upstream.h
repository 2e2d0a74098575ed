// An upstream, as the users' PROTOCOL.md describes it: slots, a short queue,
// keys that it holds by grants, and an entry in the store that it writes again
// with every heartbeat. It is sound; a case adds its disturbance by the hooks.

#ifndef REVIEW_STANDINS_UPSTREAM_H_
#define REVIEW_STANDINS_UPSTREAM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/standins/clock.h"
#include "review/standins/http.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

namespace review {

struct upstream_options {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  std::uint32_t slots = 2;
  std::uint32_t queue = 8;
  bool keyed = false;
  // Whether the answers to requests that were turned away bear X-Attempt-Id.
  bool echoes_when_turning_away = true;
};

// One run of a request.
struct request_run {
  std::string attempt;
  std::string upstream;
  std::optional<std::uint32_t> key;
  instant began;
  std::optional<instant> ended;
};

// The body of a grant or a release.
struct key_order {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  milliseconds hold{0};

  static key_order Read(const std::string& body);
};

// A call of a gateway and the upstream's answer.
struct answered_call {
  http_message request;
  http_message response;
};

class upstream {
 public:
  static constexpr std::uint32_t kKeys = 65'536;

  upstream(upstream_options options, store& platform, run_record& record);
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;
  ~upstream() = default;

  // How long a request runs. To be set before Start(), like all hooks.
  std::function<milliseconds(const http_message&)> work_time =
      [](const http_message&) { return milliseconds(50); };
  // True if the upstream turns the request away, as if it were full.
  std::function<bool(const http_message&)> sheds = [](const http_message&) {
    return false;
  };
  // True if a further copy of the previous answer on this connection arrives
  // late, now that `request` has arrived there.
  std::function<bool(const http_message& request,
                     const answered_call& previous)>
      repeats_previous =
          [](const http_message&, const answered_call&) { return false; };
  // Called for each answer, also to an order.
  std::function<void()> on_answer = [] {};
  // Called after a grant was taken.
  std::function<void(std::uint32_t first, std::uint32_t last)> on_granted =
      [](std::uint32_t, std::uint32_t) {};

  // Announces the upstream in the store and goes on to write its entry.
  void Start();
  // Announces that the upstream leaves. It goes on to serve.
  void Drain();

  bool Holds(std::uint32_t key);
  // The keys from `first` to `last` at which a request runs now, while the
  // upstream's hold hasn't run out.
  std::vector<std::uint32_t> BusyKeys(std::uint32_t first, std::uint32_t last);
  std::vector<request_run> Runs();
  const std::string& id() const { return options_.id; }
  std::uint16_t port() const { return server_.port(); }

 private:
  struct key_state {
    std::uint64_t seen_fence = 0;
    instant held_until;
    // When the last grant would have run out, had the key not been released.
    instant granted_until;
    std::uint32_t running = 0;
  };

  void WriteEntry();
  bool Serve(const http_message& request, connection& link);
  http_message Answer(const http_message& request, connection& link);
  http_message Grant(const http_message& request);
  http_message Release(const http_message& request);
  http_message Run(const http_message& request, connection& link);
  http_message NotRun(int status, const http_message& request) const;

  upstream_options options_;
  store& platform_;
  run_record& record_;
  std::int64_t born_;
  std::atomic<bool> draining_{false};
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<key_state> keys_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t handovers_ = 0;
  std::vector<request_run> runs_;
  std::map<const connection*, answered_call> previous_;
  http_server server_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_UPSTREAM_H_
