// The failure domain of a requester and that of the endpoint it uses.

#ifndef BLUEBELL_PERMITS_DOMAIN_PAIR_H_
#define BLUEBELL_PERMITS_DOMAIN_PAIR_H_

#include <compare>

#include "bluebell/core/ids.h"

namespace bluebell {

struct domain_pair {
  domain_name from;
  domain_name to;

  bool IsWithinDomain() const { return from == to; }

  friend bool operator==(const domain_pair&, const domain_pair&) = default;
  friend auto operator<=>(const domain_pair&, const domain_pair&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_DOMAIN_PAIR_H_
