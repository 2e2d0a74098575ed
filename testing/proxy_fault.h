// The faults that the proxy puts on a route.
//
//   proxy_fault fault = delay_bytes{milliseconds(50)};

#ifndef BLUEBELL_TESTING_PROXY_FAULT_H_
#define BLUEBELL_TESTING_PROXY_FAULT_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct pass_all {
  friend bool operator==(const pass_all&, const pass_all&) = default;
};

// Everything arrives this much later, in order.
struct delay_bytes {
  microseconds by{0};

  friend bool operator==(const delay_bytes&, const delay_bytes&) = default;
};

// Bytes and datagrams of these directions vanish; connections stay open.
struct lose_bytes {
  bool to_target = true;
  bool from_target = true;

  friend bool operator==(const lose_bytes&, const lose_bytes&) = default;
};

// Connections are reset and new ones refused; datagrams vanish.
struct refuse_all {
  friend bool operator==(const refuse_all&, const refuse_all&) = default;
};

// Each connection is reset once the target has sent this many more bytes.
struct truncate_answers {
  std::size_t after_bytes = 0;

  friend bool operator==(const truncate_answers&,
                         const truncate_answers&) = default;
};

// Requests pass; the connection is reset when the target answers.
struct lose_answers {
  friend bool operator==(const lose_answers&, const lose_answers&) = default;
};

using proxy_fault = std::variant<pass_all,
                                 delay_bytes,
                                 lose_bytes,
                                 refuse_all,
                                 truncate_answers,
                                 lose_answers>;

// One listening port, for TCP and UDP, and where its traffic goes.
struct proxy_route {
  std::string name;
  address listen;
  address target;

  friend bool operator==(const proxy_route&, const proxy_route&) = default;
};

// What `POST /faults` asks for.
struct fault_order {
  // Names of routes; one that ends in '*' stands for all that begin so.
  std::vector<std::string> routes;
  proxy_fault fault;
  // The connections that are open now carry nothing any more, while new ones
  // work.
  bool silence_open = false;

  bool Selects(const std::string& route) const;

  friend bool operator==(const fault_order&, const fault_order&) = default;
};

// Reads "NAME,IP:PORT=IP:PORT".
result<proxy_route> ParseProxyRoute(const std::string& text);

// {"routes":[...],"fault":"pass|delay|lose|refuse|truncate|lose_answers",
//  "us":N,"to_target":BOOL,"from_target":BOOL,"bytes":N,"silence_open":BOOL}
result<fault_order> ParseFaultOrder(const std::string& text);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_PROXY_FAULT_H_
