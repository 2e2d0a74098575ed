#include "bluebell/dispatch/endpoint_queue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>
#include <utility>

namespace bluebell {

namespace {

constexpr duration kInitialServiceTime = milliseconds(10);
constexpr int kServiceTimeWeight = 16;

}  // namespace

class endpoint_queue::state {
 public:
  state(std::uint32_t slots, const policy_values& values)
      : slots_(slots), values_(values) {}

  admission Submit(const queued_request& request, instant now) {
    const std::size_t index = RankIndex(request.priority);
    if (request.deadline <= now) {
      return rejected{rejection_cause::kDeadlineExpired, milliseconds(0)};
    }
    const duration wait = ExpectedWait(request.priority);
    const auto hint = std::chrono::ceil<milliseconds>(wait);
    if (waiting_[index].size() >= values_.queue_limit[index]) {
      return rejected{rejection_cause::kQueueFull, hint};
    }
    if (now + wait > request.deadline) {
      return rejected{rejection_cause::kWouldMissDeadline, hint};
    }
    waiting_[index].push_back(request);
    return admitted{};
  }

  std::optional<queued_request> StartNext(instant now) {
    if (in_flight_.size() >= slots_) {
      return std::nullopt;
    }
    const std::optional<std::size_t> index = PickRank(now);
    if (!index) {
      return std::nullopt;
    }
    auto& queue = waiting_[*index];
    const auto next = std::find_if(
        queue.begin(), queue.end(),
        [now](const queued_request& r) { return r.deadline > now; });
    queued_request chosen = *next;
    queue.erase(next);
    in_flight_.emplace(chosen.id, *index);
    ++started_[*index];
    return chosen;
  }

  std::vector<queued_request> TakeExpired(instant now) {
    std::vector<queued_request> expired;
    for (auto& queue : waiting_) {
      const auto first = std::stable_partition(
          queue.begin(), queue.end(),
          [now](const queued_request& r) { return r.deadline > now; });
      expired.insert(expired.end(), first, queue.end());
      queue.erase(first, queue.end());
    }
    return expired;
  }

  bool Withdraw(const request_id& id) {
    return std::any_of(waiting_.begin(), waiting_.end(), [&id](auto& queue) {
      return std::erase_if(queue, [&id](const queued_request& r) {
               return r.id == id;
             }) > 0;
    });
  }

  void Finish(const request_id& id, const completion& how) {
    in_flight_.erase(id);
    if (const auto* done = std::get_if<completed>(&how)) {
      service_time_ +=
          (done->service_time - service_time_) / kServiceTimeWeight;
    }
  }

  void Configure(const policy_values& values) { values_ = values; }

  queue_pressure pressure() const {
    queue_pressure result;
    for (const rank value : kRanks) {
      const std::size_t index = RankIndex(value);
      result.waiting[index] =
          static_cast<std::uint32_t>(waiting_[index].size());
      result.expected_wait[index] =
          std::chrono::ceil<microseconds>(ExpectedWait(value));
    }
    result.in_flight = static_cast<std::uint32_t>(in_flight_.size());
    result.slots = slots_;
    result.service_time = std::chrono::ceil<microseconds>(service_time_);
    return result;
  }

  std::optional<instant> next_wakeup() const {
    std::optional<instant> earliest;
    for (const auto& queue : waiting_) {
      for (const queued_request& request : queue) {
        earliest =
            std::min(earliest.value_or(request.deadline), request.deadline);
      }
    }
    return earliest;
  }

 private:
  // The most urgent rank that waits, unless a lower one has had less than its
  // share of the starts.
  std::optional<std::size_t> PickRank(instant now) {
    std::optional<std::size_t> best;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < kRanks.size(); ++i) {
      total += started_[i];
    }
    for (std::size_t i = 0; i < kRanks.size(); ++i) {
      const bool waits = std::any_of(
          waiting_[i].begin(), waiting_[i].end(),
          [now](const queued_request& r) { return r.deadline > now; });
      if (!waits) {
        started_[i] = total * values_.share_percent[i] / 100;
        continue;
      }
      const bool behind = started_[i] * 100 < total * values_.share_percent[i];
      if (!best || behind) {
        best = i;
      }
    }
    return best;
  }

  duration ExpectedWait(rank value) const {
    std::size_t ahead = 0;
    for (std::size_t i = 0; i <= RankIndex(value); ++i) {
      ahead += waiting_[i].size();
    }
    if (in_flight_.size() < slots_ && ahead == 0) {
      return duration(0);
    }
    return service_time_ * static_cast<std::int64_t>(ahead + 1) / slots_;
  }

  std::uint32_t slots_;
  policy_values values_;
  std::array<std::deque<queued_request>, kRanks.size()> waiting_;
  std::array<std::uint64_t, kRanks.size()> started_ = {};
  std::unordered_map<request_id, std::size_t> in_flight_;
  duration service_time_ = kInitialServiceTime;
};

result<endpoint_queue> endpoint_queue::Make(std::uint32_t slots,
                                            const policy_values& values,
                                            instant /*now*/) {
  if (slots == 0) {
    return error(errc::kInvalidArgument, step::kRoute, "",
                 "an endpoint needs at least one slot");
  }
  return endpoint_queue(std::make_unique<state>(slots, values));
}

endpoint_queue::endpoint_queue(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
endpoint_queue::endpoint_queue(endpoint_queue&& other) noexcept = default;
endpoint_queue& endpoint_queue::operator=(endpoint_queue&& other) noexcept =
    default;
endpoint_queue::~endpoint_queue() = default;

admission endpoint_queue::Submit(const queued_request& request, instant now) {
  return state_->Submit(request, now);
}

std::optional<queued_request> endpoint_queue::StartNext(instant now) {
  return state_->StartNext(now);
}

std::vector<queued_request> endpoint_queue::TakeExpired(instant now) {
  return state_->TakeExpired(now);
}

bool endpoint_queue::Withdraw(const request_id& id) {
  return state_->Withdraw(id);
}

void endpoint_queue::Finish(const request_id& id,
                            const completion& how,
                            instant /*now*/) {
  state_->Finish(id, how);
}

void endpoint_queue::Configure(const policy_values& values, instant /*now*/) {
  state_->Configure(values);
}

queue_pressure endpoint_queue::pressure(instant /*now*/) const {
  return state_->pressure();
}

std::optional<instant> endpoint_queue::next_wakeup(instant /*now*/) const {
  return state_->next_wakeup();
}

}  // namespace bluebell
