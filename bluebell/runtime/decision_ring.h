// The latest routing decisions of one traffic thread, so that operators can
// find out why a request was routed to an endpoint. The ring buffer has a fixed
// capacity and overwrites the oldest decisions.
//
//   ring.Add({request, now, service, rank, "dispatch", instance, epoch, why});
//   std::vector<decision_record> steps = ring.Find(request);

#ifndef BLUEBELL_RUNTIME_DECISION_RING_H_
#define BLUEBELL_RUNTIME_DECISION_RING_H_

#include <cstddef>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct decision_record {
  request_id request;
  wall_instant when;
  service_name service;
  rank priority = rank::kNormal;
  // "dispatch", "forward", "wait", "reject" or "end".
  std::string step;
  // The endpoint instance; empty for steps without an endpoint.
  endpoint_instance endpoint;
  epoch at;
  std::string why;

  friend bool operator==(const decision_record&,
                         const decision_record&) = default;
};

class decision_ring {
 public:
  // `capacity` is the number of decisions, at least 1.
  explicit decision_ring(std::size_t capacity);

  void Add(decision_record added);

  // The decisions on one request, oldest first.
  std::vector<decision_record> Find(const request_id& id) const;

 private:
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::vector<decision_record> records_;
};

// A JSON array with one object for each decision.
std::string ToJson(const std::vector<decision_record>& records);

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_DECISION_RING_H_
