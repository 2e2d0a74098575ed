// Calls a function on all traffic threads and collects the results.
//
//   GatherFromShards<int>(shards, ask, [](std::vector<int> all) { ... });

#ifndef BLUEBELL_DAEMON_SHARD_GATHER_H_
#define BLUEBELL_DAEMON_SHARD_GATHER_H_

#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "bluebell/daemon/traffic_shard.h"

namespace bluebell {

// `ask` runs on each shard's thread. `done` runs on the first shard's thread
// with the results in the order of `shards`.
template <typename Part>
void GatherFromShards(const std::vector<std::unique_ptr<traffic_shard>>& shards,
                      std::function<Part(traffic_shard& shard)> ask,
                      std::function<void(const std::vector<Part>& all)> done) {
  struct gathered {
    std::vector<Part> parts;
    std::size_t pending_count = 0;
    std::function<void(const std::vector<Part>& all)> done;
  };
  auto all = std::make_shared<gathered>();
  all->parts.resize(shards.size());
  all->pending_count = shards.size();
  all->done = std::move(done);
  traffic_shard* first = shards.front().get();
  for (std::size_t i = 0; i < shards.size(); ++i) {
    traffic_shard* shard = shards[i].get();
    boost::asio::post(shard->io(), [=] {
      // All results are stored on the first shard's thread, so that no lock is
      // needed.
      boost::asio::post(first->io(), [=, part = ask(*shard)]() mutable {
        all->parts[i] = std::move(part);
        if (--all->pending_count == 0) {
          all->done(all->parts);
        }
      });
    });
  }
}

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_SHARD_GATHER_H_
