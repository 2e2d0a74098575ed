// A caller of the gateway in a run: sends one request after the other over a
// connection that it keeps as long as it can.
//
//   auto caller = std::make_shared<soak_caller>(io, fronts, record, seed);
//   caller->Start();

#ifndef TESTING_GATEWAY_SOAK_CALLER_H_
#define TESTING_GATEWAY_SOAK_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "testing/gateway/soak_record.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class load_connection;
struct load_exchange;

class soak_caller : public std::enable_shared_from_this<soak_caller> {
 public:
  // Which process serves callers at a front at the moment; zero: none.
  using process_of = std::function<std::uint64_t(std::size_t front)>;

  soak_caller(boost::asio::io_context& io,
              std::vector<address> fronts,
              process_of process,
              soak_record& record,
              std::uint64_t seed);
  soak_caller(const soak_caller&) = delete;
  soak_caller& operator=(const soak_caller&) = delete;
  ~soak_caller();

  void Start();
  void Stop() { stopped_ = true; }
  bool waiting() const { return waiting_; }

 private:
  void SendNext();
  void SendAfter(milliseconds pause);
  http_request MakeRequest(sent_request& row);
  void OnEnd(std::size_t row, const load_exchange& ended);
  // Takes another front if the present one can't be reached.
  void ChooseFront();

  boost::asio::io_context& io_;
  std::vector<address> fronts_;
  process_of process_;
  soak_record& record_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<load_connection> connection_;
  std::size_t front_ = 0;
  // The process that the connection was opened to.
  std::uint64_t connected_to_ = 0;
  bool stopped_ = false;
  bool waiting_ = false;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_SOAK_CALLER_H_
