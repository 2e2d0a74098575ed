#include "bluebell/proxy/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace bluebell {

bool request_pipeline::CanStart(bool idempotent, bool stopping) const {
  if (closing_) {
    return false;
  }
  if (empty()) {
    return true;
  }
  return idempotent && !stopping && requests_.size() < kMaxRequests;
}

std::uint64_t request_pipeline::Start(bool keep_open) {
  closing_ = closing_ || !keep_open;
  requests_.push_back({next_number_, keep_open, std::nullopt});
  return next_number_++;
}

void request_pipeline::Finish(std::uint64_t number, served_response served) {
  const auto found = std::find_if(
      requests_.begin(), requests_.end(),
      [number](const auto& each) { return each.number == number; });
  if (found != requests_.end()) {
    found->served = std::move(served);
  }
}

std::optional<request_pipeline::next_response> request_pipeline::TakeNext(
    bool stopping) {
  if (writing_ || requests_.empty() || !requests_.front().served) {
    return std::nullopt;
  }
  pipelined_request first = std::move(requests_.front());
  requests_.pop_front();
  const bool is_last = requests_.empty();
  next_response next{std::move(*first.served),
                     first.keep_open && !(stopping && is_last)};
  closing_ = closing_ || !next.keep_open;
  writing_ = true;
  return next;
}

}  // namespace bluebell
