#include "testing/queue_bench.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>
#include <variant>

#include "bluebell/dispatch/endpoint_queue.h"

namespace bluebell {

namespace {

using milliseconds_double = std::chrono::duration<double, std::milli>;

struct bench_request {
  std::size_t stream = 0;
  std::size_t queue = 0;
  instant arrived_at;
  instant sent_at;
  instant began_at;
  duration service_time{0};
  queued_request request;
};

struct bench_event {
  instant at;
  std::uint64_t order = 0;
  std::function<void()> run;

  friend bool operator>(const bench_event& a, const bench_event& b) {
    return std::pair(a.at, a.order) > std::pair(b.at, b.order);
  }
};

class bench_run {
 public:
  explicit bench_run(const queue_bench_setup& setup)
      : setup_(setup), random_(setup.seed), results_(setup.streams.size()) {
    const auto* limit = std::get_if<per_host_limit_policy>(&setup.policy);
    const std::size_t count = limit != nullptr ? limit->hosts : 1;
    wakeups_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      queues_.push_back(
          endpoint_queue::Make(setup.slots, setup.values, now_, setup.policy)
              .value());
    }
  }

  queue_bench_result Run() {
    for (std::size_t i = 0; i < setup_.streams.size(); ++i) {
      ScheduleArrival(i);
    }
    const instant end = MeasuredUntil();
    while (!events_.empty() && events_.top().at <= end + seconds(60)) {
      const bench_event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return Summary();
  }

 private:
  instant MeasuredFrom() const { return instant() + setup_.warm_up; }
  instant MeasuredUntil() const { return MeasuredFrom() + setup_.measured; }

  void Schedule(instant at, std::function<void()> run) {
    events_.push({at, order_++, std::move(run)});
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  double Exponential() { return -std::log(1 - Uniform()); }

  static duration Scale(duration value, double factor) {
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
  }

  void ScheduleArrival(std::size_t stream) {
    const bench_stream& from = setup_.streams[stream];
    if (from.load <= 0) {
      return;
    }
    const double mean = 1 / (from.load * setup_.actual_slots);
    const instant at = now_ + Scale(from.service_time, mean * Exponential());
    if (at < MeasuredUntil()) {
      Schedule(at, [this, stream] { Arrive(stream); });
    }
  }

  void Arrive(std::size_t stream) {
    ScheduleArrival(stream);
    const bench_stream& from = setup_.streams[stream];
    bench_request arrival;
    arrival.stream = stream;
    arrival.queue = random_() % queues_.size();
    arrival.arrived_at = now_;
    const double factor = setup_.spread == service_spread::kExponential
                              ? Exponential()
                              : 0.75 + Uniform() / 2;
    arrival.service_time = Scale(from.service_time, factor);
    arrival.request.id =
        request_id::Make(wall_instant(now_.time_since_epoch()), {0, ++ids_});
    arrival.request.priority = from.priority;
    arrival.request.caller = caller_name(from.caller);
    arrival.request.deadline = now_ + from.budget;
    arrival.request.submitted_at = now_;
    if (IsMeasured(arrival)) {
      ++results_[stream].arrived;
    }
    const admission verdict =
        queues_[arrival.queue].Submit(arrival.request, now_);
    if (std::holds_alternative<rejected>(verdict)) {
      Count(arrival, &stream_result::refused);
      return;
    }
    const std::size_t queue = arrival.queue;
    requests_.emplace(arrival.request.id, std::move(arrival));
    Pump(queue);
  }

  bool IsMeasured(const bench_request& request) const {
    return request.arrived_at >= MeasuredFrom();
  }

  void Count(const bench_request& request,
             std::uint64_t stream_result::*counter) {
    if (IsMeasured(request)) {
      ++(results_[request.stream].*counter);
    }
  }

  void Pump(std::size_t queue) {
    for (const queued_request& gone : queues_[queue].TakeExpired(now_)) {
      Count(requests_.at(gone.id), &stream_result::expired);
      requests_.erase(gone.id);
    }
    while (const auto next = queues_[queue].StartNext(now_)) {
      requests_.at(next->id).sent_at = now_;
      Send(next->id);
    }
    ScheduleWakeup(queue);
  }

  // Each queue has one wakeup that counts; an earlier one replaces it.
  void ScheduleWakeup(std::size_t queue) {
    const auto wakeup = queues_[queue].next_wakeup(now_);
    const bool is_scheduled =
        wakeups_[queue] > now_ && wakeup && wakeups_[queue] <= *wakeup;
    if (!wakeup || *wakeup <= now_ || is_scheduled) {
      return;
    }
    wakeups_[queue] = *wakeup;
    Schedule(*wakeup, [this, queue, at = *wakeup] {
      if (wakeups_[queue] == at) {
        Pump(queue);
      }
    });
  }

  void Send(const request_id& id) {
    if (setup_.sheds && busy_ >= setup_.actual_slots) {
      const bench_request& refused = requests_.at(id);
      Count(refused, &stream_result::shed_by_endpoint);
      queues_[refused.queue].Finish(id, shed{}, now_);
      requests_.erase(id);
      return;
    }
    backlog_.push_back(id);
    StartAtEndpoint();
  }

  void StartAtEndpoint() {
    while (busy_ < setup_.actual_slots && !backlog_.empty()) {
      const request_id id = backlog_.front();
      backlog_.pop_front();
      bench_request& started = requests_.at(id);
      started.began_at = now_;
      ++busy_;
      Schedule(now_ + started.service_time, [this, id] { End(id); });
    }
  }

  void End(const request_id& id) {
    const bench_request ended = requests_.at(id);
    requests_.erase(id);
    --busy_;
    const bool in_time = now_ <= ended.request.deadline;
    AddUse(ended, in_time);
    Count(ended, in_time ? &stream_result::in_time : &stream_result::late);
    if (IsMeasured(ended)) {
      results_[ended.stream].latency_ms.push_back(
          milliseconds_double(now_ - ended.arrived_at).count());
    }
    queues_[ended.queue].Finish(id, completed{now_ - ended.sent_at}, now_);
    StartAtEndpoint();
    Pump(ended.queue);
  }

  void AddUse(const bench_request& ended, bool in_time) {
    const instant from = std::max(ended.began_at, MeasuredFrom());
    const instant until = std::min(now_, MeasuredUntil());
    if (until <= from) {
      return;
    }
    const milliseconds_double all = setup_.measured * setup_.actual_slots;
    const double share = milliseconds_double(until - from) / all;
    results_[ended.stream].used_share += share;
    results_[ended.stream].good_share += in_time ? share : 0;
  }

  queue_bench_result Summary() const {
    queue_bench_result summary;
    for (std::size_t i = 0; i < results_.size(); ++i) {
      const bench_stream& from = setup_.streams[i];
      summary.by_caller[from.caller].Merge(results_[i]);
      summary.by_rank[from.priority].Merge(results_[i]);
      summary.all.Merge(results_[i]);
    }
    return summary;
  }

  queue_bench_setup setup_;
  std::mt19937_64 random_;
  std::vector<endpoint_queue> queues_;
  std::vector<instant> wakeups_;
  std::vector<stream_result> results_;
  std::unordered_map<request_id, bench_request> requests_;
  std::priority_queue<bench_event, std::vector<bench_event>, std::greater<>>
      events_;
  std::deque<request_id> backlog_;
  std::uint32_t busy_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t ids_ = 0;
  instant now_;
};

}  // namespace

void stream_result::Merge(const stream_result& other) {
  arrived += other.arrived;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  expired += other.expired;
  shed_by_endpoint += other.shed_by_endpoint;
  used_share += other.used_share;
  good_share += other.good_share;
  latency_ms.insert(latency_ms.end(), other.latency_ms.begin(),
                    other.latency_ms.end());
}

double stream_result::Percentile(double percent) const {
  if (latency_ms.empty()) {
    return 0;
  }
  std::vector<double> sorted = latency_ms;
  const auto index = static_cast<std::size_t>(
      percent / 100 * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

double stream_result::InTimeShare() const {
  return arrived == 0
             ? 1
             : static_cast<double>(in_time) / static_cast<double>(arrived);
}

queue_bench_result RunQueueBench(const queue_bench_setup& setup) {
  return bench_run(setup).Run();
}

}  // namespace bluebell
