// A value type that wraps another one as a distinct type, so that, for example,
// an epoch can't be passed where a version is expected.
//
//   using epoch = strong_value<struct epoch_tag, std::uint64_t>;
//   epoch next = epoch(current.value() + 1);

#ifndef BLUEBELL_CORE_STRONG_VALUE_H_
#define BLUEBELL_CORE_STRONG_VALUE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace bluebell {

template <typename Tag, typename Value>
class strong_value {
 public:
  using value_type = Value;

  strong_value() = default;
  explicit strong_value(Value value) : value_(std::move(value)) {}

  const Value& value() const { return value_; }

  friend bool operator==(const strong_value&, const strong_value&) = default;
  friend auto operator<=>(const strong_value&, const strong_value&) = default;

  friend std::ostream& operator<<(std::ostream& out, const strong_value& v) {
    return out << v.value_;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  Value value_{};
};

}  // namespace bluebell

template <typename Tag, typename Value>
struct std::hash<bluebell::strong_value<Tag, Value>> {
  std::size_t operator()(
      const bluebell::strong_value<Tag, Value>& v) const noexcept {
    return std::hash<Value>()(v.value());
  }
};

#endif  // BLUEBELL_CORE_STRONG_VALUE_H_
