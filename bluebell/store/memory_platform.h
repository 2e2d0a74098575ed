// An in-memory platform for tests, in which faults can be switched on.
//
//   auto memory = std::make_shared<memory_platform>(io);
//   memory->SetFaults({.lose_answers = true});

#ifndef BLUEBELL_STORE_MEMORY_PLATFORM_H_
#define BLUEBELL_STORE_MEMORY_PLATFORM_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/store/platform_client.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

struct platform_faults {
  // All calls fail without effect.
  bool outage = false;
  // Writes take effect, but their responses are lost.
  bool lose_answers = false;
  // The delay of each call.
  milliseconds latency{0};

  friend bool operator==(const platform_faults&,
                         const platform_faults&) = default;
};

class memory_platform : public std::enable_shared_from_this<memory_platform> {
 public:
  explicit memory_platform(boost::asio::io_context& io);

  void SetFaults(const platform_faults& faults) { faults_ = faults; }
  void SetHosts(std::vector<host_entry> hosts) { hosts_ = std::move(hosts); }

  // The functions of platform_client.h call these and describe them.
  void Read(const std::string& key, read_handler done);
  void Watch(const std::string& key,
             store_version after,
             milliseconds wait,
             read_handler done);
  void Write(const std::string& key,
             const std::string& value,
             store_version expected,
             write_handler done);
  void ListHosts(hosts_handler done);

 private:
  // A watch that waits for a change of `key`.
  struct watcher {
    std::string key;
    // Completes the watch.
    std::function<void()> wake;
  };

  // Runs `action` on the io_context after a delay.
  template <typename Action>
  void RunAfter(milliseconds wait, Action action);
  write_result Apply(const std::string& key,
                     const std::string& value,
                     store_version expected);
  result<store_value> Get(const std::string& key, step call_step) const;

  boost::asio::io_context& io_;
  platform_faults faults_;
  std::map<std::string, store_value> values_;
  std::vector<host_entry> hosts_;
  std::vector<watcher> watchers_;
};

}  // namespace bluebell

#endif  // BLUEBELL_STORE_MEMORY_PLATFORM_H_
