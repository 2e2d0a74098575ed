#include "bluebell/proxy/attempt_history.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bluebell {

namespace {

// Bounds the memory of a connection; one with more is closed.
constexpr std::size_t kMaxRepeatableAttempts = 16;

}  // namespace

std::string_view Describe(response_match match) {
  switch (match) {
    case response_match::kNamed:
      return "named";
    case response_match::kFirst:
      return "first";
    case response_match::kUnnamed:
      return "unnamed";
    case response_match::kOther:
      return "other";
  }
  return "unknown";
}

bool attempt_history::MayCarry(std::string_view attempt) const {
  if (is_new_) {
    return true;
  }
  return !ambiguous_ && !attempt.empty() &&
         std::find(repeatable_.begin(), repeatable_.end(), attempt) ==
             repeatable_.end();
}

void attempt_history::Begin(std::string attempt) {
  is_first_ = std::exchange(is_new_, false);
  ambiguous_ = ambiguous_ || attempt.empty();
  current_ = std::move(attempt);
}

response_match attempt_history::Match(std::string_view stated) {
  if (stated.empty()) {
    // A copy of this response could not be told from the next one.
    ambiguous_ = true;
    return is_first_ ? response_match::kFirst : response_match::kUnnamed;
  }
  if (current_.empty()) {
    return response_match::kFirst;
  }
  if (stated != current_) {
    ambiguous_ = true;
    return response_match::kOther;
  }
  return response_match::kNamed;
}

void attempt_history::End(bool may_be_repeated) {
  if (may_be_repeated && !current_.empty()) {
    repeatable_.push_back(std::move(current_));
  }
  current_.clear();
  ambiguous_ = ambiguous_ || repeatable_.size() > kMaxRepeatableAttempts;
}

}  // namespace bluebell
