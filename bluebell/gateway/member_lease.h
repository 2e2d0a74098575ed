// Announces this daemon to the others through an entry in the store, under a
// lease that is renewed while the daemon runs. All functions are called on the
// control thread.
//
//   member_lease lease(io, store, watcher, self);
//   lease.Start();

#ifndef BLUEBELL_GATEWAY_MEMBER_LEASE_H_
#define BLUEBELL_GATEWAY_MEMBER_LEASE_H_

#include <cstdint>
#include <random>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/kv/kv_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class kv_client;
class store_watcher;

// The write by which `self` announces itself under `lease`, if its daemon id's
// entry still has the revision `expected`; zero if there is none. A call to the
// store without a response may be executed seconds later. Without the condition
// an ended process could replace the entry of a later one under its daemon id,
// and that one would count as ended.
kv_write AnnouncementWrite(const fleet_member& self,
                           store_version expected,
                           kv_lease lease);

class member_lease {
 public:
  member_lease(boost::asio::io_context& io,
               kv_client& store,
               store_watcher& watcher,
               fleet_member self);
  member_lease(const member_lease&) = delete;
  member_lease& operator=(const member_lease&) = delete;
  ~member_lease() = default;

  // Writes the entry, with retries, and renews its lease.
  void Start();
  // Ends the lease, which removes the entry, and stops the renewals. If the
  // call to the store fails, the lease expires.
  void Leave();

 private:
  boost::asio::awaitable<void> Run();
  // Starts a lease and writes the entry under it, whatever entry the daemon id
  // has. False if either failed.
  boost::asio::awaitable<bool> Announce();
  boost::asio::awaitable<void> Renew();
  // The pause before the next announcement or renewal.
  milliseconds NextPause() const;
  boost::asio::awaitable<void> RemoveEntry();
  // The store came back from an older copy, which has lost the lease and
  // perhaps the entry.
  void OnEraRise();

  boost::asio::io_context& io_;
  kv_client& store_;
  store_watcher& watcher_;
  fleet_member self_;
  kv_lease lease_;
  // The revision of the daemon id's entry, as far as it is known.
  store_version entry_revision_;
  // Increases with each rise of the store's era. An announcement that began
  // under another number hasn't announced this daemon.
  std::uint64_t rises_ = 0;
  // No call starts before this time.
  instant next_call_;
  std::minstd_rand random_;
  boost::asio::steady_timer pause_;
  bool announced_ = false;
  bool leaving_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_MEMBER_LEASE_H_
