// When and how often a case disturbs its upstreams.

#ifndef REVIEW_STANDINS_TROUBLE_H_
#define REVIEW_STANDINS_TROUBLE_H_

#include <atomic>
#include <mutex>
#include <random>

#include "review/standins/clock.h"

namespace review {

struct time_window {
  instant from;
  instant to;

  bool Contains(instant when) const { return from <= when && when < to; }
};

// Repeats at most a share of the answers that are given in a time window.
class repeated_answers {
 public:
  repeated_answers(time_window window, double share)
      : window_(window), share_(share) {}

  void CountAnswer() {
    const std::lock_guard lock(mutex_);
    answers_ += window_.Contains(Now()) ? 1 : 0;
  }

  // True if one more answer may be repeated now; counts it then.
  bool Take() {
    const std::lock_guard lock(mutex_);
    const bool may_repeat =
        window_.Contains(Now()) && repeated_ + 1 <= share_ * answers_;
    repeated_ += may_repeat ? 1 : 0;
    return may_repeat;
  }

  int answers() const { return answers_; }
  int repeated() const { return repeated_; }

 private:
  time_window window_;
  double share_;
  std::mutex mutex_;
  int answers_ = 0;
  int repeated_ = 0;
};

// A random choice that several threads make.
class shared_chance {
 public:
  explicit shared_chance(unsigned seed) : random_(seed) {}

  bool Happens(double probability) {
    const std::lock_guard lock(mutex_);
    return std::bernoulli_distribution(probability)(random_);
  }

 private:
  std::mutex mutex_;
  std::mt19937 random_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_TROUBLE_H_
