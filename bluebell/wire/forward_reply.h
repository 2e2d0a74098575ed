// The outcome of a forwarded request, sent by the dispatcher to the entry
// daemon.

#ifndef BLUEBELL_WIRE_FORWARD_REPLY_H_
#define BLUEBELL_WIRE_FORWARD_REPLY_H_

#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"

namespace bluebell {

struct forward_reply {
  request_id id;
  request_outcome outcome;

  friend bool operator==(const forward_reply&, const forward_reply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, outcome);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_FORWARD_REPLY_H_
