// The statuses that a response may have.

#ifndef BLUEBELL_HTTP_RESPONSE_STATUS_H_
#define BLUEBELL_HTTP_RESPONSE_STATUS_H_

namespace bluebell {

// False for a status outside 100 to 599, which no class of statuses contains.
// Endpoints in trouble have sent 000. A status above 599 isn't relayed either:
// callers disagree on its meaning, and HTTP lets them treat it as a server
// error, which is what they get instead.
constexpr bool IsPossibleStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_RESPONSE_STATUS_H_
