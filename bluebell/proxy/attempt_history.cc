#include "bluebell/proxy/attempt_history.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bluebell {

namespace {

// Bounds the memory of a connection; one with more is closed.
constexpr std::size_t kMaxRepeatableAttempts = 16;

}  // namespace

bool attempt_history::MayCarry(std::string_view attempt) const {
  if (is_new_) {
    return true;
  }
  return !ambiguous_ && !attempt.empty() &&
         std::find(repeatable_.begin(), repeatable_.end(), attempt) ==
             repeatable_.end();
}

void attempt_history::Begin(std::string attempt) {
  is_new_ = false;
  ambiguous_ = ambiguous_ || attempt.empty();
  current_ = std::move(attempt);
}

bool attempt_history::IsResponseToCurrent(std::string_view stated) {
  if (stated.empty()) {
    // No earlier response on this connection lacked the id, so this one is no
    // copy. A copy of it could not be told from the next response.
    ambiguous_ = true;
    return true;
  }
  if (!current_.empty() && stated != current_) {
    ambiguous_ = true;
    return false;
  }
  return true;
}

void attempt_history::End(bool may_be_repeated) {
  if (may_be_repeated && !current_.empty()) {
    repeatable_.push_back(std::move(current_));
  }
  current_.clear();
  ambiguous_ = ambiguous_ || repeatable_.size() > kMaxRepeatableAttempts;
}

}  // namespace bluebell
