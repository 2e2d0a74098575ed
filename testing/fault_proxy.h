// Forwards TCP connections and UDP datagrams on loopback and puts faults on
// them. One thread runs all routes of a proxy.
//
//   auto route = proxy_port::Start(io, ParseProxyRoute(text).value());
//   route.value()->Apply(order);

#ifndef BLUEBELL_TESTING_FAULT_PROXY_H_
#define BLUEBELL_TESTING_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "bluebell/core/result.h"
#include "testing/proxy_fault.h"

namespace bluebell {

class proxy_port {
 public:
  // The implementation; public for the links only.
  struct state;

  static result<std::shared_ptr<proxy_port>> Start(boost::asio::io_context& io,
                                                   const proxy_route& route);

  const std::string& name() const;

  // Ends all connections and frees the port, for good.
  void Close();

  // Puts the fault of `order` in place of the present one.
  result<bool> Apply(const fault_order& order);

 private:
  explicit proxy_port(std::shared_ptr<state> initial);

  std::shared_ptr<state> state_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_FAULT_PROXY_H_
