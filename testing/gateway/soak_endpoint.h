// An endpoint of the users' platform for runs of the gateway: slots, a queue,
// keys that it holds by grants, and an entry in the store. Its processes end
// and start anew within the run. All calls on the thread of `io`.
//
//   soak_endpoint endpoint(io, options, holders, record, seed);
//   endpoint.Start();
//   store.Put(endpoint.EntryKey(), endpoint.Entry());

#ifndef TESTING_GATEWAY_SOAK_ENDPOINT_H_
#define TESTING_GATEWAY_SOAK_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "bluebell/keyspace/key_range.h"
#include "testing/gateway/endpoint_fault.h"
#include "testing/gateway/key_holders.h"
#include "testing/gateway/soak_record.h"
#include "testing/http_server.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

// When an endpoint confirms a release.
enum class release_rule : std::uint8_t {
  // After the work on its keys, also if the hold has run out.
  kWaitsForWork,
  // At once if it holds none of the keys, though work may go on.
  kWaitsWhileHeld,
};

// What an endpoint does with work whose caller has closed the connection.
enum class close_rule : std::uint8_t {
  // It goes on to its end.
  kFinishesWork,
  // It counts as ended for releases, and goes on for a while.
  kEndsWorkLate,
};

struct soak_endpoint_options {
  std::string id;
  std::string service;
  std::string domain;
  address listen;
  // Where the entry says that it listens.
  address shown;
  bool keyed = false;
  std::uint32_t slots = 2;
  release_rule releases = release_rule::kWaitsForWork;
  close_rule closes = close_rule::kFinishesWork;
  // How much longer a second is by the endpoint's clock; at most 1.02.
  double clock = 1;

  friend bool operator==(const soak_endpoint_options&,
                         const soak_endpoint_options&) = default;
};

class soak_endpoint : public std::enable_shared_from_this<soak_endpoint> {
 public:
  soak_endpoint(boost::asio::io_context& io,
                soak_endpoint_options options,
                key_holders& holders,
                soak_record& record,
                std::uint64_t seed);
  soak_endpoint(const soak_endpoint&) = delete;
  soak_endpoint& operator=(const soak_endpoint&) = delete;
  ~soak_endpoint() = default;

  // Starts a process, which holds nothing and has a later start than the one
  // before.
  result<bool> Start();
  // Ends the process at once.
  void Kill();
  // The process announces that it leaves and goes on to serve.
  void Drain() { draining_ = true; }
  // Takes the announcement back: the endpoint stays in service.
  void CancelDrain() {
    draining_ = false;
    announced_.reset();
  }
  // The process stops writing its entry, which the store removes, and goes on
  // to serve without saying that it leaves.
  void LeaveWithoutReport() { writes_entry_ = false; }
  // When the store took the announcement, or removed the entry.
  void SetAnnounced(std::optional<instant> when) { announced_ = when; }

  // Orders about keys stay unanswered and are carried out late until then.
  void TakeOrdersLate(instant until) { late_until_ = until; }
  // A part of the responses, also those to orders, is sent once more until
  // then, where the next response on the connection is expected.
  void RepeatResponses(instant until) { repeats_until_ = until; }
  // The process is faulty until then. A later fault replaces this one.
  void SetFault(endpoint_fault fault, instant until) {
    fault_ = std::move(fault);
    faulty_until_ = until;
  }
  // Changes places with another one. Neither may run.
  void ExchangeAddress(soak_endpoint& other) {
    std::swap(options_.listen, other.options_.listen);
    std::swap(options_.shown, other.options_.shown);
  }
  // `on_order` is called at the arrival of each order about keys.
  void SetOrderHandler(std::function<void()> on_order) {
    on_order_ = std::move(on_order);
  }
  // Grants that arrive until then were held up on their way.
  void ExcuseGrants(instant until) { excused_until_ = until; }

  bool running() const { return server_ != nullptr; }
  bool draining() const { return draining_; }
  // It drains, or its entry was removed without a report.
  bool leaving() const { return draining_ || !writes_entry_; }
  bool writes_entry() const { return writes_entry_; }
  const soak_endpoint_options& options() const { return options_; }
  std::string EntryKey() const;
  // The entry as the endpoint writes it now; each has the next number.
  std::string Entry();

 private:
  struct work {
    http_request request;
    http_responder respond;
    std::optional<shard_key> key;
    // When the caller stops waiting.
    instant limit;
  };
  struct running_work {
    work task;
    std::size_t row = 0;
    // The endpoint ends the work at its limit.
    bool ends_at_limit = false;
    // The endpoint ends the work late and counts it as ended.
    bool caller_closed = false;
  };
  struct waiting_release {
    key_range range;
    http_responder respond;
  };

  std::string ProcessName() const;
  void Serve(const http_request& request, const http_responder& respond);
  void TakeOrder(const http_request& request, const http_responder& respond);
  void CarryOut(const http_request& request,
                const http_responder& respond,
                grant_timing timing,
                instant arrived);
  void TakeWork(work taken);
  void StartWork(const work& started);
  void FinishWork(std::uint64_t number);
  void OnCallerClosed(const http_request& request);
  void StartWaiting(instant now);
  void Confirm(const http_responder& respond);
  void AnswerReleases();
  void After(milliseconds delay, std::function<void()> what);
  http_response NotRun(unsigned status) const;
  http_response NotRunNamed(unsigned status, const http_request& request) const;
  // Null if no fault of this kind is in force.
  template <typename Fault>
  const Fault* FaultInForce() const;
  // Decides at random, by the fault's share, whether a fault of this kind
  // applies to one request or response. Null if not, or if none is in force.
  template <typename Fault>
  const Fault* FaultNow();
  response_fault ChooseResponseFault();

  boost::asio::io_context& io_;
  soak_endpoint_options options_;
  key_holders& holders_;
  soak_record& record_;
  std::mt19937_64 random_;
  std::shared_ptr<http_server> server_;
  std::uint64_t life_ = 0;
  std::uint64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  bool writes_entry_ = true;
  std::optional<instant> announced_;
  instant late_until_;
  instant repeats_until_;
  endpoint_fault fault_;
  instant faulty_until_;
  instant excused_until_;
  std::uint64_t works_ = 0;
  std::map<std::uint64_t, running_work> running_;
  std::deque<work> waiting_;
  std::vector<waiting_release> releases_;
  std::function<void()> on_order_ = [] {};
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_SOAK_ENDPOINT_H_
