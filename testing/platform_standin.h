// Serves the platform protocol over HTTP: values with versions, compare-and-
// swap and watches, leases, the host list; and for tests `POST /faults`
// ({"outage": bool, "latency_ms": N, "lose_answers": bool}; fields left out
// stay as they are) and `GET /stats` (calls by kind).
//
//   auto platform = platform_standin::Start(io, listen);

#ifndef BLUEBELL_TESTING_PLATFORM_STANDIN_H_
#define BLUEBELL_TESTING_PLATFORM_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"

namespace bluebell {

class platform_standin {
 public:
  static result<std::unique_ptr<platform_standin>> Start(
      boost::asio::io_context& io,
      const address& listen);

  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;
  ~platform_standin();

 private:
  class impl;
  explicit platform_standin(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_PLATFORM_STANDIN_H_
