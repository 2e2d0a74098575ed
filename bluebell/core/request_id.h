// The id of a request: a UUID of version 7, which contains its issue time.
//
//   result<request_id> id =
//       request_id::Parse("01931e0c-3c1a-7c1e-8f00-0123456789ab");
//   wall_instant issued = id.value().issued_at();

#ifndef BLUEBELL_CORE_REQUEST_ID_H_
#define BLUEBELL_CORE_REQUEST_ID_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell {

class request_id {
 public:
  request_id() = default;

  // Fails with errc::kInvalidArgument unless `text` is a UUID in its usual text
  // form with version 7 and the variant of RFC 9562.
  static result<request_id> Parse(std::string_view text);

  // Makes an id from its issue time, which is truncated to milliseconds, and 74
  // bits of `random`. The other bits are ignored.
  static request_id Make(wall_instant issued_at,
                         std::array<std::uint64_t, 2> random);

  // The issue time in whole milliseconds.
  wall_instant issued_at() const;
  // The usual text form, in lower case.
  std::string ToString() const;
  // The first and the last 64 bits of the UUID.
  std::uint64_t high() const { return high_; }
  std::uint64_t low() const { return low_; }

  friend bool operator==(const request_id&, const request_id&) = default;
  friend auto operator<=>(const request_id&, const request_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const request_id& v);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high_, low_);
  }

 private:
  request_id(std::uint64_t high, std::uint64_t low);

  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

}  // namespace bluebell

template <>
struct std::hash<bluebell::request_id> {
  std::size_t operator()(const bluebell::request_id& v) const noexcept;
};

#endif  // BLUEBELL_CORE_REQUEST_ID_H_
