// Keeps the responses to the pipelined requests of one connection in the order
// of the requests, and decides which requests may be served at the same time
// and after which response the connection closes. Does no I/O. Not thread-safe.
//
// Only idempotent requests are served beside others. A request that follows a
// response that closes the connection must reach no endpoint, because the
// caller sends it again. A request that isn't idempotent therefore waits until
// all responses before it are written.
//
//   request_pipeline pipeline;
//   if (pipeline.CanStart(idempotent, stopping)) {
//     const std::uint64_t number = pipeline.Start(request.keep_alive());
//     ...
//     pipeline.Finish(number, std::move(response));
//   }
//   while (auto next = pipeline.TakeNext(stopping)) { ... }

#ifndef BLUEBELL_PROXY_REQUEST_PIPELINE_H_
#define BLUEBELL_PROXY_REQUEST_PIPELINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "bluebell/proxy/served_response.h"

namespace bluebell {

class request_pipeline {
 public:
  // The most requests that are served at the same time.
  static constexpr std::size_t kMaxRequests = 16;

  // A response that is to be written next.
  struct next_response {
    served_response served;
    // False: the connection closes after this response.
    bool keep_open = false;
  };

  // True if the next request may be served now. `stopping` is true while the
  // daemon shuts down: then only a request without another one before it
  // starts, so that the response before it can close the connection.
  bool CanStart(bool idempotent, bool stopping) const;
  // Adds a request that is served from now on and returns its number. Requires
  // CanStart(). After a request with `keep_open` false none can start.
  std::uint64_t Start(bool keep_open);
  // Sets the response to the request `number`.
  void Finish(std::uint64_t number, served_response served);

  // Returns the next response in order, if it is there. Only one response is
  // written at a time: call OnWritten() before the next call. While the daemon
  // stops, the last response closes the connection.
  std::optional<next_response> TakeNext(bool stopping);
  void OnWritten() { writing_ = false; }

  // True if no request is served and no response is being written.
  bool empty() const { return requests_.empty() && !writing_; }
  // True if no further request can start, because a response closes the
  // connection.
  bool closing() const { return closing_; }

 private:
  struct pipelined_request {
    std::uint64_t number = 0;
    bool keep_open = false;
    std::optional<served_response> served;
  };

  std::deque<pipelined_request> requests_;
  std::uint64_t next_number_ = 1;
  bool writing_ = false;
  bool closing_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_REQUEST_PIPELINE_H_
