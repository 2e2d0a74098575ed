#include "bluebell/core/byte_reservation.h"

#include <utility>

#include "bluebell/core/byte_budget.h"

namespace bluebell {

byte_reservation::byte_reservation(std::shared_ptr<byte_budget> budget)
    : budget_(std::move(budget)) {}

byte_reservation::byte_reservation(byte_reservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

byte_reservation& byte_reservation::operator=(
    byte_reservation&& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

byte_reservation::~byte_reservation() {
  if (budget_) {
    budget_->GiveBack(bytes_);
  }
}

bool byte_reservation::GrowTo(std::size_t bytes, std::size_t reserve) {
  if (bytes <= bytes_) {
    return true;
  }
  if (budget_ && !budget_->TryTake(bytes - bytes_, reserve)) {
    return false;
  }
  bytes_ = bytes;
  return true;
}

}  // namespace bluebell
