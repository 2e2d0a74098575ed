// The bytes of a byte_budget that one exchange uses. They are given back when
// the reservation is destroyed. Not thread-safe.

#ifndef BLUEBELL_CORE_BYTE_RESERVATION_H_
#define BLUEBELL_CORE_BYTE_RESERVATION_H_

#include <cstddef>
#include <memory>

namespace bluebell {

class byte_budget;

class byte_reservation {
 public:
  // Reserves nothing, without a limit.
  byte_reservation() = default;
  // Reserves nothing of `budget` yet. Null: there is no limit.
  explicit byte_reservation(std::shared_ptr<byte_budget> budget);
  byte_reservation(byte_reservation&& other) noexcept;
  byte_reservation& operator=(byte_reservation&& other) noexcept;
  byte_reservation(const byte_reservation&) = delete;
  byte_reservation& operator=(const byte_reservation&) = delete;
  ~byte_reservation();

  // Raises the reservation to `bytes`; a smaller number has no effect. False,
  // without any effect, if the budget doesn't allow it or would have less than
  // `reserve` left.
  bool GrowTo(std::size_t bytes, std::size_t reserve = 0);

  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<byte_budget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_BYTE_RESERVATION_H_
