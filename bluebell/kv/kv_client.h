// Asynchronous calls to the platform's key-value store over HTTP. All functions
// are called, and complete, on the thread of the io_context.
//
//   auto store = kv_client::Make(io, store_address).value();
//   result<kv_changes> changes = co_await store->Watch("", revision, max_wait);
//
// A failed write or lease call may have taken effect unless its error is
// errc::kUnavailable.
//
// Every response states the store's era (see store_era.h). Calls that name a
// version or a lease of an earlier era than the latest seen aren't sent, since
// the store may have assigned the number again.

#ifndef BLUEBELL_KV_KV_CLIENT_H_
#define BLUEBELL_KV_KV_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "bluebell/kv/kv_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class http_client;

// The items of all pages of a listing.
struct kv_listing {
  std::vector<kv_item> items;
  // The revision of the first page. Changes after it may be missing from
  // `items`.
  store_version revision;
};

class kv_client {
 public:
  template <typename Value>
  using awaitable_result = boost::asio::awaitable<result<Value>>;

  // Fails if the address holds no IP address.
  static result<std::unique_ptr<kv_client>> Make(boost::asio::io_context& io,
                                                 const address& store_address);
  kv_client(const kv_client&) = delete;
  kv_client& operator=(const kv_client&) = delete;
  ~kv_client();

  // The latest era that a response has stated; zero before the first one.
  store_era era() const { return era_.value_or(store_era()); }
  // The era of the first response that stated one; zero before it.
  store_era first_era() const { return first_era_.value_or(store_era()); }
  // `on_rise` is called when a response shows a later era than those before;
  // not for the first response. Several handlers may be added.
  void AddEraHandler(std::function<void(store_era era)> on_rise);

  // Reads all items whose keys begin with `prefix`, one call for each page. All
  // of them are of one era.
  awaitable_result<kv_listing> List(std::string prefix);
  // Waits up to `max_wait` for changes after the revision `after` to keys that
  // begin with `prefix`. Fails with errc::kNotFound if the store no longer has
  // the changes since that revision, which is certain for one of an earlier
  // era.
  awaitable_result<kv_changes> Watch(std::string prefix,
                                     store_version after,
                                     milliseconds max_wait);
  // Reads the changes that Watch() would return, without waiting for any. Opens
  // a connection for the call, since those that were used before may have
  // become silent.
  awaitable_result<kv_changes> ReadChanges(std::string prefix,
                                           store_version after);
  // A conflict or an ended lease is a result, not an error. Sends nothing and
  // returns a conflict without items if a condition names a revision of another
  // era than the latest; no era is known before the first response. If
  // the response shows another era than the latest one when the call was sent,
  // the write fails with errc::kConnectionLost, since its conditions may have
  // been compared with revisions that were assigned again.
  awaitable_result<kv_write_result> Write(kv_write write);
  // Starts a lease that expires after `term` unless it is renewed.
  awaitable_result<kv_granted_lease> StartLease(milliseconds term);
  // False if the lease has ended, which is certain for one of an earlier era.
  awaitable_result<bool> RenewLease(kv_lease lease);
  // Ends the lease at once; the store deletes the items under it. Always true
  // if it doesn't fail.
  awaitable_result<bool> EndLease(kv_lease lease);

 private:
  kv_client(std::unique_ptr<http_client> client,
            std::unique_ptr<http_client> check_client);

  awaitable_result<http_response> Call(http_request request,
                                       milliseconds timeout,
                                       step call_step);

  // Takes note of the era of a response.
  void Observe(const http_response& response);
  // Reads all pages. No value if they aren't all of the latest era.
  awaitable_result<std::optional<kv_listing>> ListOnce(
      const std::string& prefix);
  // The changes in the response to a watch after `after`.
  static result<kv_changes> ChangesIn(const result<http_response>& response,
                                      const store_version& after);

  std::optional<store_era> era_;
  std::optional<store_era> first_era_;
  std::vector<std::function<void(store_era era)>> era_handlers_;
  std::unique_ptr<http_client> client_;
  // Opens a connection for each call.
  std::unique_ptr<http_client> check_client_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KV_KV_CLIENT_H_
