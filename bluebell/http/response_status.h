// The statuses that a response may have.

#ifndef BLUEBELL_HTTP_RESPONSE_STATUS_H_
#define BLUEBELL_HTTP_RESPONSE_STATUS_H_

namespace bluebell {

// False for a status outside 100 to 599, which no class of statuses contains.
// Endpoints in trouble have sent 000. A status above 599 is refused too:
// callers would read it differently, and HTTP lets a client take it for a
// server error only, which a response that isn't relayed is as well.
constexpr bool IsPossibleStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_RESPONSE_STATUS_H_
