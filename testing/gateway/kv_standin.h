// The platform's key-value store for runs of the gateway: items, leases,
// watches and conditional writes, with faults that a run switches on. All calls
// on the thread of `io`.
//
//   auto store = kv_standin::Start(io, listen).value();
//   store->Put("op/config", config);
//   store->SetFault(store_down{}, until);

#ifndef TESTING_GATEWAY_KV_STANDIN_H_
#define TESTING_GATEWAY_KV_STANDIN_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "testing/http_server.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

struct store_well {
  friend bool operator==(const store_well&, const store_well&) = default;
};

// Calls get 503 or, if `silent`, no response. Leases go on to expire if
// `leases_expire`.
struct store_down {
  bool silent = false;
  bool leases_expire = false;

  friend bool operator==(const store_down&, const store_down&) = default;
};

struct store_slow {
  milliseconds by{0};

  friend bool operator==(const store_slow&, const store_slow&) = default;
};

// Listings of the keys with `prefix` are carried out `by` later; other calls at
// once.
struct store_slow_listings {
  std::string prefix;
  milliseconds by{0};

  friend bool operator==(const store_slow_listings&,
                         const store_slow_listings&) = default;
};

// Calls are carried out; this share of them gets no response.
struct store_loses_answers {
  double share = 0;

  friend bool operator==(const store_loses_answers&,
                         const store_loses_answers&) = default;
};

using store_fault = std::variant<store_well,
                                 store_down,
                                 store_slow,
                                 store_slow_listings,
                                 store_loses_answers>;

class kv_standin : public std::enable_shared_from_this<kv_standin> {
 public:
  static result<std::shared_ptr<kv_standin>> Start(boost::asio::io_context& io,
                                                   const address& listen,
                                                   std::uint64_t seed);
  kv_standin(const kv_standin&) = delete;
  kv_standin& operator=(const kv_standin&) = delete;
  ~kv_standin() = default;
  void Stop();

  // Writes of the operator and of endpoints. False while the store is down.
  bool Put(const std::string& key, const std::string& value);
  bool Delete(const std::string& key);
  std::optional<std::string> Find(const std::string& key) const;

  void SetFault(const store_fault& fault);
  bool is_well() const { return std::holds_alternative<store_well>(fault_); }
  // The listings that store_slow_listings has delayed so far.
  std::size_t delayed_listings() const { return delayed_listings_; }
  // Watches from before now get 410.
  void ForgetHistory();
  // The store comes back from a copy that is `age` old, 10 s at most, in the
  // next era: later writes are undone, also those of the operator and of
  // endpoints, and revisions and leases go on from those of the copy.
  void RollBack(milliseconds age);
  // The number of rollbacks, which every response states as Store-Era.
  std::uint64_t era() const { return era_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    // Empty if the key was deleted.
    std::optional<item> now;
  };
  struct lease {
    milliseconds term{0};
    instant ends;
  };
  // What a change has replaced.
  struct undo {
    instant at;
    std::uint64_t revision = 0;
    std::string key;
    std::optional<item> item_before;
    std::uint64_t lease_id = 0;
    std::optional<lease> lease_before;
  };
  struct watch {
    std::string prefix;
    std::uint64_t after = 0;
    instant ends;
    http_responder respond;
  };

  kv_standin(boost::asio::io_context& io, std::uint64_t seed);

  void Serve(const http_request& request, http_responder send);
  // Carries the request out, after `delay` if that isn't zero.
  void CarryOut(const http_request& request,
                const http_responder& respond,
                milliseconds delay);
  http_response Answer(const http_request& request);
  http_response Range(const std::string& target) const;
  http_response Transact(const std::string& body);
  http_response StartLease(const std::string& body);
  http_response KeepLease(std::uint64_t id);
  http_response EndLease(std::uint64_t id);
  void Watch(const std::string& target, http_responder respond);
  // The response to a watch, if there is one yet.
  std::optional<http_response> Changes(const watch& waiting) const;
  // Both at the present revision.
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t id);
  void Erase(const std::string& key);
  void EraseOf(std::uint64_t id);
  // Both keep what they replace for RollBack().
  void RememberItem(const std::string& key);
  void RememberLease(std::uint64_t id);
  void Notify();
  void Tick();

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<http_server> server_;
  std::mt19937_64 random_;
  store_fault fault_ = store_well();
  std::size_t delayed_listings_ = 0;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<change> history_;
  std::uint64_t forgotten_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::uint64_t era_ = 0;
  // In the order of the changes.
  std::deque<undo> undo_;
  instant last_tick_;
  std::vector<watch> watches_;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_KV_STANDIN_H_
