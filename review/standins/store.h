// The platform's key-value store, as the users' PROTOCOL.md describes it:
// items, conditional writes, leases, listings in pages and watches. Loses
// nothing and answers at once.

#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/standins/clock.h"
#include "review/standins/http.h"

namespace review {

class store {
 public:
  store();

  // Writes of the operator and of upstreams.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  std::optional<std::string> Find(const std::string& key);

  std::uint16_t port() const { return server_.port(); }

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
    std::optional<item> written;
  };
  struct lease {
    milliseconds term{0};
    instant ends;
  };

  bool Serve(const http_message& request, connection& link);
  http_message Answer(const http_message& request);
  http_message Key(const std::string& target);
  http_message Range(const std::string& target);
  http_message Watch(const std::string& target);
  http_message Transact(const std::string& body);
  http_message StartLease(const std::string& body);
  // With the lock held.
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t id);
  void Erase(const std::string& key);
  void EndLease(std::uint64_t id);
  void EndLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  http_server server_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_STORE_H_
