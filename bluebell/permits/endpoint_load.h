// The load that an endpoint reports with a response.

#ifndef BLUEBELL_PERMITS_ENDPOINT_LOAD_H_
#define BLUEBELL_PERMITS_ENDPOINT_LOAD_H_

#include <cstdint>

namespace bluebell {

struct endpoint_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(running, waiting, slots);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_LOAD_H_
