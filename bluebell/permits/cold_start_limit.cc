#include "bluebell/permits/cold_start_limit.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace bluebell {

namespace {

// The weight of a new request in the mean work. The mean covers about a hundred
// requests, so that a few long ones don't move keys.
constexpr double kWorkWeight = 0.01;
constexpr seconds kHoldInterval{1};

}  // namespace

void cold_start_limit::SetBound(std::optional<cold_start_bound> bound) {
  bound_ = bound;
  if (!bound_) {
    issued_.clear();
    held_at_.clear();
  }
}

void cold_start_limit::SetFirst(bool is_first, instant now) {
  if (!is_first) {
    first_since_.reset();
  } else if (!first_since_) {
    first_since_ = now;
  }
  RemoveOld(now);
}

void cold_start_limit::AddWork(duration work) {
  if (mean_work_ == duration(0)) {
    mean_work_ = work;
    return;
  }
  mean_work_ += duration(static_cast<std::int64_t>(
      static_cast<double>((work - mean_work_).count()) * kWorkWeight));
}

bool cold_start_limit::IsLimited(const fleet_endpoint& endpoint,
                                 instant now) const {
  return bound_ && now < endpoint.cold_until;
}

bool cold_start_limit::IsIssuing(instant now) const {
  return first_since_ && *first_since_ + kFirstWait <= now;
}

std::size_t cold_start_limit::Allowed(const fleet_endpoint& endpoint,
                                      instant now) const {
  if (!IsIssuing(now)) {
    return 0;
  }
  const std::size_t most = bound_->PermitsPerWindow();
  const auto issued = issued_.find(endpoint.instance.endpoint);
  if (issued == issued_.end()) {
    return most;
  }
  const auto recent =
      std::count_if(issued->second.begin(), issued->second.end(),
                    [now](instant at) { return now < at + kWindow; });
  return most - std::min(most, static_cast<std::size_t>(recent));
}

instant cold_start_limit::NextPermit(const fleet_endpoint& endpoint,
                                     std::size_t ahead,
                                     instant now) const {
  const std::size_t most = bound_->PermitsPerWindow();
  if (!first_since_ || most == 0) {
    return std::max(now, endpoint.cold_until);
  }
  static const std::deque<instant> none;
  const auto found = issued_.find(endpoint.instance.endpoint);
  const std::deque<instant>& issued =
      found == issued_.end() ? none : found->second;
  // Each permit follows the one that is `most` permits earlier by a window.
  const duration later = kWindow * static_cast<std::int64_t>(ahead / most);
  const std::size_t position = issued.size() + ahead % most;
  instant next = std::max(now, *first_since_ + kFirstWait);
  if (position >= most) {
    next = std::max(next, issued[position - most] + kWindow);
  }
  return std::min(next + later, std::max(now, endpoint.cold_until));
}

duration cold_start_limit::WaitBehind(const fleet_endpoint& endpoint,
                                      duration work_before,
                                      instant now) const {
  if (!IsLimited(endpoint, now)) {
    return duration(0);
  }
  const std::int64_t ahead =
      mean_work_ == duration(0)
          ? 0
          : (work_before + mean_work_ - duration(1)) / mean_work_;
  return NextPermit(endpoint, static_cast<std::size_t>(ahead), now) - now;
}

duration cold_start_limit::RetryAfter(duration wait) const {
  return first_since_ ? wait : std::min<duration>(wait, kFirstWait);
}

std::optional<double> cold_start_limit::CapacityLimit(
    const fleet_endpoint& endpoint,
    instant now) const {
  if (!IsLimited(endpoint, now) || mean_work_ == duration(0)) {
    return std::nullopt;
  }
  const double permits_per_s = static_cast<double>(bound_->PermitsPerWindow()) /
                               std::chrono::duration<double>(kWindow).count();
  return std::min(bound_->per_s, permits_per_s) *
         std::chrono::duration<double>(mean_work_).count();
}

void cold_start_limit::OnPermit(const endpoint_id& endpoint, instant now) {
  if (!bound_) {
    return;
  }
  std::deque<instant>& issued = issued_[endpoint];
  issued.push_back(now);
  while (issued.size() > bound_->PermitsPerWindow()) {
    issued.pop_front();
  }
}

void cold_start_limit::OnHold(const fleet_endpoint& endpoint, instant now) {
  const auto [held, is_first] =
      held_at_.try_emplace(endpoint.instance.endpoint, now);
  if (!is_first && now < held->second + kHoldInterval) {
    return;
  }
  held->second = now;
  holds_.push_back({endpoint.instance.endpoint,
                    NextPermit(endpoint, 0, now) - now, IsIssuing(now)});
}

std::vector<cold_start_hold> cold_start_limit::TakeHolds() {
  return std::exchange(holds_, {});
}

void cold_start_limit::RemoveOld(instant now) {
  std::erase_if(issued_, [now](const auto& entry) {
    return entry.second.empty() || entry.second.back() + kWindow <= now;
  });
  std::erase_if(held_at_, [now](const auto& entry) {
    return entry.second + kHoldInterval <= now;
  });
}

}  // namespace bluebell
