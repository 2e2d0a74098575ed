#include "bluebell/store/memory_platform.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bluebell {

namespace {

constexpr const char* kPeer = "memory";

error Outage(step call_step) {
  return {errc::kTimeout, call_step, kPeer, "outage"};
}

}  // namespace

memory_platform::memory_platform(boost::asio::io_context& io) : io_(io) {}

template <typename Action>
void memory_platform::RunAfter(milliseconds wait, Action action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, wait);
  timer->async_wait(
      [timer, self = shared_from_this(), action = std::move(action)](
          const boost::system::error_code& /*cancelled*/) { action(); });
}

result<store_value> memory_platform::Get(const std::string& key,
                                         step call_step) const {
  if (faults_.outage) {
    return Outage(call_step);
  }
  const auto found = values_.find(key);
  return found == values_.end() ? store_value{} : found->second;
}

void memory_platform::Read(const std::string& key, read_handler done) {
  RunAfter(faults_.latency, [this, key, done = std::move(done)] {
    done(Get(key, step::kReadStore));
  });
}

void memory_platform::Watch(const std::string& key,
                            store_version after,
                            milliseconds wait,
                            read_handler done) {
  const result<store_value> present = Get(key, step::kWatchStore);
  if (!present || present.value().version > after) {
    RunAfter(faults_.latency,
             [present, done = std::move(done)] { done(present); });
    return;
  }
  auto completed = std::make_shared<bool>(false);
  auto complete = [this, key, completed, done = std::move(done)] {
    if (!std::exchange(*completed, true)) {
      done(Get(key, step::kWatchStore));
    }
  };
  watchers_.push_back({key, complete});
  RunAfter(faults_.latency + wait, complete);
}

write_result memory_platform::Apply(const std::string& key,
                                    const std::string& value,
                                    store_version expected) {
  store_value& stored = values_[key];
  if (stored.version != expected) {
    return write_conflict{stored.version};
  }
  stored = {value, store_version(stored.version.value() + 1)};
  auto watchers = std::exchange(watchers_, {});
  for (watcher& entry : watchers) {
    if (entry.key == key) {
      RunAfter(milliseconds(0), std::move(entry.wake));
    } else {
      watchers_.push_back(std::move(entry));
    }
  }
  return write_applied{stored.version};
}

void memory_platform::Write(const std::string& key,
                            const std::string& value,
                            store_version expected,
                            write_handler done) {
  RunAfter(faults_.latency,
           [this, key, value, expected, done = std::move(done)] {
             if (faults_.outage) {
               done(write_in_doubt{Outage(step::kWriteStore)});
               return;
             }
             const write_result outcome = Apply(key, value, expected);
             if (faults_.lose_answers) {
               done(write_in_doubt{error(errc::kTimeout, step::kWriteStore,
                                         kPeer, "response lost")});
               return;
             }
             done(outcome);
           });
}

void memory_platform::ListHosts(hosts_handler done) {
  RunAfter(faults_.latency, [this, done = std::move(done)] {
    if (faults_.outage) {
      done(Outage(step::kReadHosts));
    } else {
      done(hosts_);
    }
  });
}

}  // namespace bluebell
