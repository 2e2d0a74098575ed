// An endpoint that answers with given bytes, to test what happens when answers
// are cut off, come from the wrong instance, or don't come.
//
//   scripted_endpoint endpoint([](int n) { return script_step{...}; });

#ifndef BLUEBELL_TESTING_SCRIPTED_ENDPOINT_H_
#define BLUEBELL_TESTING_SCRIPTED_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bluebell/core/address.h"

namespace bluebell {

struct script_step {
  std::string bytes;
  // False: the connection stays open, and silent after the bytes.
  bool close = false;

  friend bool operator==(const script_step&, const script_step&) = default;
};

// A whole answer of the instance "e/1" with the body `body`.
std::string WholeAnswer(const std::string& body,
                        const std::string& headers = "");

class scripted_endpoint {
 public:
  // `script` is asked for each order that arrives, counted from 0, on the
  // endpoint's thread.
  explicit scripted_endpoint(std::function<script_step(int order)> script);
  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;
  ~scripted_endpoint();

  address where() const;
  // The orders received so far, as bytes. Cancellations aren't orders.
  std::vector<std::string> orders() const;
  int cancellations() const;

 private:
  class server;

  boost::asio::io_context io_;
  std::shared_ptr<server> server_;
  std::thread thread_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_SCRIPTED_ENDPOINT_H_
