// A value in the platform's store, with its version.

#ifndef BLUEBELL_STORE_STORE_VALUE_H_
#define BLUEBELL_STORE_STORE_VALUE_H_

#include <string>

#include "bluebell/core/ids.h"

namespace bluebell {

struct store_value {
  std::string value;
  // Zero: the key has no value.
  store_version version;

  friend bool operator==(const store_value&, const store_value&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_STORE_STORE_VALUE_H_
