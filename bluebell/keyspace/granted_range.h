// A range of keys that key_coordinator grants and renews by one call.

#ifndef BLUEBELL_KEYSPACE_GRANTED_RANGE_H_
#define BLUEBELL_KEYSPACE_GRANTED_RANGE_H_

#include "bluebell/core/ids.h"
#include "bluebell/keyspace/grant_record.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

struct granted_range {
  key_range range;
  epoch fence;
  endpoint_instance owner;
  grant_record grants;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_GRANTED_RANGE_H_
