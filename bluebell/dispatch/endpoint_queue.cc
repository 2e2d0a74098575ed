#include "bluebell/dispatch/endpoint_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/dispatch/internal/fifo_queue.h"
#include "bluebell/dispatch/internal/ranked_queue.h"

namespace bluebell {

class endpoint_queue::state {
 public:
  using queue = std::variant<ranked_queue, fifo_queue>;

  explicit state(queue initial) : queue_(std::move(initial)) {}

  template <typename Visitor>
  auto Visit(const Visitor& visitor) {
    return std::visit(visitor, queue_);
  }
  template <typename Visitor>
  auto Visit(const Visitor& visitor) const {
    return std::visit(visitor, queue_);
  }

 private:
  queue queue_;
};

result<endpoint_queue> endpoint_queue::Make(std::uint32_t slots,
                                            const policy_values& values,
                                            instant now,
                                            const queue_policy& policy) {
  if (slots == 0) {
    return error(errc::kInvalidArgument, step::kParseSettings, "",
                 "an endpoint needs at least one slot");
  }
  using queue = state::queue;
  queue initial = std::visit(
      overloaded{[&](const ranked_policy& p) -> queue {
                   return ranked_queue(slots, values, p, now);
                 },
                 [&](const fifo_policy&) -> queue {
                   return fifo_queue(slots, values);
                 },
                 [&](const per_host_limit_policy& p) -> queue {
                   const std::uint32_t part = slots / std::max(1U, p.hosts);
                   return fifo_queue(std::max(1U, part), values);
                 }},
      policy);
  return endpoint_queue(std::make_unique<state>(std::move(initial)));
}

endpoint_queue::endpoint_queue(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
endpoint_queue::endpoint_queue(endpoint_queue&& other) noexcept = default;
endpoint_queue& endpoint_queue::operator=(endpoint_queue&& other) noexcept =
    default;
endpoint_queue::~endpoint_queue() = default;

admission endpoint_queue::Submit(const queued_request& request, instant now) {
  if (request.deadline <= now) {
    return rejected{rejection_cause::kDeadlineExpired, milliseconds(0)};
  }
  return state_->Visit([&](auto& queue) { return queue.Submit(request, now); });
}

std::optional<queued_request> endpoint_queue::StartNext(instant now) {
  return state_->Visit([&](auto& queue) { return queue.StartNext(now); });
}

std::vector<queued_request> endpoint_queue::TakeExpired(instant now) {
  return state_->Visit([&](auto& queue) { return queue.TakeExpired(now); });
}

bool endpoint_queue::Withdraw(const request_id& id) {
  return state_->Visit([&](auto& queue) { return queue.Withdraw(id); });
}

void endpoint_queue::Finish(const request_id& id,
                            const completion& how,
                            instant now) {
  state_->Visit([&](auto& queue) { queue.Finish(id, how, now); });
}

void endpoint_queue::Configure(const policy_values& values, instant now) {
  state_->Visit([&](auto& queue) { queue.Configure(values, now); });
}

queue_pressure endpoint_queue::pressure(instant now) const {
  return state_->Visit([&](const auto& queue) { return queue.pressure(now); });
}

std::optional<instant> endpoint_queue::next_wakeup(instant now) const {
  return state_->Visit(
      [&](const auto& queue) { return queue.next_wakeup(now); });
}

}  // namespace bluebell
