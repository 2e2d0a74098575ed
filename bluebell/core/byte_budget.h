// A limit on the memory that several exchanges use together. Each exchange
// holds a byte_reservation and lets it grow with what it reads. Not
// thread-safe.
//
//   auto budget = std::make_shared<byte_budget>(40U << 20U);
//   byte_reservation memory(budget);
//   if (!memory.GrowTo(body.size())) { ... }

#ifndef BLUEBELL_CORE_BYTE_BUDGET_H_
#define BLUEBELL_CORE_BYTE_BUDGET_H_

#include <cstddef>

namespace bluebell {

class byte_budget {
 public:
  explicit byte_budget(std::size_t limit) : limit_(limit) {}
  byte_budget(const byte_budget&) = delete;
  byte_budget& operator=(const byte_budget&) = delete;
  ~byte_budget() = default;

  // False, without any effect, if `bytes` more would exceed the limit, or would
  // leave less than `reserve` of it.
  bool TryTake(std::size_t bytes, std::size_t reserve = 0) {
    const std::size_t left = limit_ - used_;
    if (bytes > left || reserve > left - bytes) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  // Gives back bytes that TryTake() returned.
  void GiveBack(std::size_t bytes) { used_ -= bytes; }

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_BYTE_BUDGET_H_
