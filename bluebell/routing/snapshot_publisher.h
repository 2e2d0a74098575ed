// Passes the newest routing snapshot from the control thread to the traffic
// threads.
//
//   publisher.Store(snapshot);
//   std::shared_ptr<const routing_snapshot> current = publisher.Load();

#ifndef BLUEBELL_ROUTING_SNAPSHOT_PUBLISHER_H_
#define BLUEBELL_ROUTING_SNAPSHOT_PUBLISHER_H_

#include <atomic>
#include <memory>
#include <utility>

#include "bluebell/routing/routing_snapshot.h"

namespace bluebell {

// Both functions may be called from any thread.
class snapshot_publisher {
 public:
  void Store(std::shared_ptr<const routing_snapshot> snapshot) {
    current_.store(std::move(snapshot), std::memory_order_release);
  }

  // Null until a snapshot has been stored.
  std::shared_ptr<const routing_snapshot> Load() const {
    return current_.load(std::memory_order_acquire);
  }

 private:
  std::atomic<std::shared_ptr<const routing_snapshot>> current_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_SNAPSHOT_PUBLISHER_H_
