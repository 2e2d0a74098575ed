// The load that an endpoint reports with a response. It covers all requests at
// the endpoint, including those that the dispatcher issued no permit for.

#ifndef BLUEBELL_PERMITS_ENDPOINT_LOAD_H_
#define BLUEBELL_PERMITS_ENDPOINT_LOAD_H_

#include <cstdint>

namespace bluebell {

struct endpoint_load {
  // Requests that are running.
  std::uint32_t running = 0;
  // Requests in the endpoint's own queue.
  std::uint32_t waiting = 0;
  // Requests that the endpoint can run at the same time.
  std::uint32_t slots = 0;
  // The time of work on the endpoint's machine at the moment, in percent of the
  // usual.
  std::uint32_t slowdown_percent = 100;

  friend bool operator==(const endpoint_load&, const endpoint_load&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(running, waiting, slots, slowdown_percent);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_LOAD_H_
