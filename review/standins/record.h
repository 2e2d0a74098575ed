// The record of a run: one line for each thing that was sent, answered or run,
// with the milliseconds since the start.

#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

#include "review/standins/clock.h"

namespace review {

class run_record {
 public:
  explicit run_record(const std::string& file) : out_(file) {}

  void Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    out_ << MillisSinceStart(Now()) << " ms  " << text << std::endl;
  }

  // Also printed.
  void Conclude(const std::string& text) {
    Add(text);
    std::cout << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_RECORD_H_
