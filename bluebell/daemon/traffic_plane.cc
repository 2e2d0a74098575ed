#include "bluebell/daemon/traffic_plane.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "bluebell/daemon/shard_gather.h"
#include "bluebell/net/tcp_listener.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

constexpr milliseconds kDrainCheckInterval{20};

}  // namespace

traffic_plane::traffic_plane(const daemon_settings& settings,
                             metrics_registry& metrics,
                             const plane_hooks& hooks)
    : hooks_(hooks), gateway_(metrics), loads_(settings.traffic_threads) {
  const traffic_hooks shard_hooks{
      hooks.report_exchange,
      [this](std::size_t shard, const load_report& load) {
        OnLoad(shard, load);
      },
      [this](const std::vector<pressure_update>& updates) {
        SharePressures(updates);
      }};
  for (std::size_t i = 0; i < settings.traffic_threads; ++i) {
    shards_.push_back(std::make_unique<traffic_shard>(settings, i, gateway_,
                                                      metrics, shard_hooks));
  }
}

result<std::unique_ptr<traffic_plane>> traffic_plane::Start(
    const daemon_settings& settings,
    metrics_registry& metrics,
    const plane_hooks& hooks) {
  std::unique_ptr<traffic_plane> plane(
      new traffic_plane(settings, metrics, hooks));
  auto listener =
      tcp_listener::Open(plane->shards_.front()->io(), settings.caller_listen);
  if (!listener) {
    return listener.error();
  }
  plane->listener_ = std::move(listener).value();
  plane->AcceptCallers();
  for (const auto& shard : plane->shards_) {
    shard->Start();
  }
  return plane;
}

// One listener assigns the connections to the shards in turn. This spreads even
// a few connections evenly, unlike the hash of SO_REUSEPORT.
void traffic_plane::AcceptCallers() {
  listener_->Start(
      [this](boost::asio::ip::tcp::socket socket) {
        shards_[next_shard_]->Take(std::move(socket));
      },
      [this]() -> boost::asio::io_context& {
        next_shard_ = (next_shard_ + 1) % shards_.size();
        return shards_[next_shard_]->io();
      });
}

traffic_plane::~traffic_plane() {
  if (listener_) {
    listener_->Close();
  }
  for (const auto& shard : shards_) {
    shard->Stop();
  }
  // Handlers of one thread can own objects that post to another thread. They
  // run here, while all event loops still exist.
  for (const auto& shard : shards_) {
    shard->RunReadyHandlers();
  }
}

void traffic_plane::Publish(
    const std::shared_ptr<const routing_snapshot>& snapshot) {
  for (const auto& shard : shards_) {
    shard->Publish(snapshot);
  }
}

void traffic_plane::OnPressure(const pressure_update& update) {
  for (const auto& shard : shards_) {
    boost::asio::post(shard->io(), [target = shard.get(), update] {
      target->router().OnPressure(update);
    });
  }
}

void traffic_plane::SharePressures(
    const std::vector<pressure_update>& updates) {
  for (const auto& shard : shards_) {
    boost::asio::post(shard->io(), [target = shard.get(), updates] {
      for (const pressure_update& update : updates) {
        target->router().OnPressure(update);
      }
    });
  }
}

void traffic_plane::OnLoad(std::size_t shard, const load_report& load) {
  boost::asio::post(shards_.front()->io(), [this, shard, load] {
    loads_[shard] = load;
    if (shard + 1 == shards_.size()) {
      hooks_.report_load(MergeLoads(loads_));
    }
  });
}

void traffic_plane::Submit(const endpoint_instance& instance,
                           dispatch_submission submission) {
  gateway_.Post(instance, std::move(submission));
}

void traffic_plane::Abandon(const endpoint_instance& instance,
                            const request_id& id,
                            std::uint64_t waiter) {
  gateway_.Abandon(instance, id, waiter);
}

void traffic_plane::Query(
    const request_query& query,
    std::function<void(request_state query_result)> done) {
  const std::size_t index = ThreadOf(query.endpoint, shards_.size());
  traffic_shard* shard = shards_[index].get();
  boost::asio::post(shard->io(), [shard, query, done = std::move(done)] {
    done(shard->dispatchers().Query(query));
  });
}

void traffic_plane::AdoptLedger(const ledger_transfer& transfer,
                                std::function<void(bool adopted)> done) {
  const std::size_t index = ThreadOf(transfer.endpoint, shards_.size());
  traffic_shard* shard = shards_[index].get();
  boost::asio::post(shard->io(), [shard, transfer, done = std::move(done)] {
    done(shard->dispatchers().AdoptLedger(transfer));
  });
}

void traffic_plane::Explain(const request_id& id,
                            std::function<void(std::string json)> done) {
  using records = std::vector<decision_record>;
  GatherFromShards<records>(
      shards_,
      [id](traffic_shard& shard) {
        return shard.router().decisions().Find(id);
      },
      [done = std::move(done)](const std::vector<records>& parts) {
        records all;
        for (const records& part : parts) {
          all.insert(all.end(), part.begin(), part.end());
        }
        done(ToJson(all));
      });
}

void traffic_plane::Drain(
    std::function<void(std::vector<ledger_transfer> ledgers)> done) {
  listener_->Close();
  for (const auto& shard : shards_) {
    shard->Drain();
  }
  CheckDrained(std::move(done));
}

void traffic_plane::CheckDrained(
    std::function<void(std::vector<ledger_transfer> ledgers)> done) {
  struct state {
    bool idle = false;
    std::vector<ledger_transfer> ledgers;
  };
  GatherFromShards<state>(
      shards_,
      [](traffic_shard& shard) {
        const bool idle = shard.IsIdle();
        return state{idle, idle ? shard.dispatchers().ExportAll()
                                : std::vector<ledger_transfer>()};
      },
      [this, done = std::move(done)](const std::vector<state>& parts) {
        std::vector<ledger_transfer> all;
        bool idle = true;
        for (const state& part : parts) {
          idle = idle && part.idle;
          all.insert(all.end(), part.ledgers.begin(), part.ledgers.end());
        }
        if (idle) {
          done(std::move(all));
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            shards_.front()->io(), kDrainCheckInterval);
        timer->async_wait(
            [this, timer, done](boost::system::error_code failed) {
              if (!failed) {
                CheckDrained(done);
              }
            });
      });
}

void traffic_plane::SendLedger(const address& to,
                               const ledger_transfer& ledger) {
  traffic_shard* shard = shards_.front().get();
  boost::asio::post(shard->io(), [shard, to, ledger] {
    shard->forwarder().SendLedger(to, ledger);
  });
}

std::vector<boost::asio::io_context*> traffic_plane::loops() const {
  std::vector<boost::asio::io_context*> loops;
  for (const auto& shard : shards_) {
    loops.push_back(&shard->io());
  }
  return loops;
}

std::uint16_t traffic_plane::caller_port() const {
  return listener_->listen_address().port();
}

}  // namespace bluebell
