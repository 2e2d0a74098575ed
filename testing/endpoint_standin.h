// An endpoint over HTTP for tests: the rules of endpoint_model, slots that take
// time, and faults that tests switch on.
//
//   auto endpoint = endpoint_standin::Start(io, options, log);
//   endpoint.value()->Apply(faults);

#ifndef BLUEBELL_TESTING_ENDPOINT_STANDIN_H_
#define BLUEBELL_TESTING_ENDPOINT_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bluebell/core/result.h"
#include "testing/endpoint_json.h"
#include "testing/endpoint_model.h"
#include "testing/execution_log.h"
#include "testing/http_server.h"
#include "testing/service_time.h"

namespace bluebell {

struct standin_options {
  std::string service;
  endpoint_traits traits;
  http_server_options http;
  service_time time;
  std::size_t answer_bytes = 0;
  // The endpoint's clock reads this much more than the host's.
  std::int64_t clock_offset_ns = 0;

  friend bool operator==(const standin_options&,
                         const standin_options&) = default;
};

class endpoint_standin : public std::enable_shared_from_this<endpoint_standin> {
 public:
  static result<std::shared_ptr<endpoint_standin>> Start(
      boost::asio::io_context& io,
      const standin_options& options,
      std::shared_ptr<execution_log> log);

  result<bool> Apply(const endpoint_faults& faults);

  const std::string& name() const {
    return options_.traits.self.endpoint.value();
  }

 private:
  struct accepted_order {
    endpoint_order order;
    std::string id;
    std::string key;
    rank priority = rank::kNormal;
    http_responder respond;
    std::size_t row = 0;
  };

  endpoint_standin(boost::asio::io_context& io,
                   const standin_options& options,
                   std::shared_ptr<execution_log> log);

  result<bool> Listen();
  std::int64_t Clock() const;
  void OnRequest(const http_request& request, const http_responder& respond);
  // Runs `work` now or, while the endpoint is frozen, when it resumes.
  void WhenAwake(std::function<void()> work);
  void Serve(const http_request& request, const http_responder& respond);
  void ServeOwn(const http_request& request, const http_responder& respond);
  void ServeCancel(const http_request& request, const http_responder& respond);
  void ServeOrder(const http_request& request, const http_responder& respond);
  void Decide(accepted_order order, const order_decision& decision);
  void Run(std::uint64_t ticket, accepted_order order);
  void End(std::uint64_t ticket);
  void Refuse(const accepted_order& order, refusal reason);
  void Respond(const http_responder& respond, http_response reply) const;
  std::string ReportJson(lease_reply report) const;
  void Resume();
  void Kill();
  void Restart();

  boost::asio::io_context& io_;
  standin_options options_;
  std::shared_ptr<execution_log> log_;
  std::shared_ptr<http_server> server_;
  endpoint_model model_;
  std::mt19937_64 random_;
  // By ticket.
  std::map<std::uint64_t, accepted_order> waiting_;
  std::map<std::uint64_t, accepted_order> running_;
  std::vector<std::function<void()>> deferred_;
  bool frozen_ = false;
  bool lies_ = false;
  double slow_factor_ = 1.0;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_ENDPOINT_STANDIN_H_
