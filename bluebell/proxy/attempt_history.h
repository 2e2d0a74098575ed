// What a kept connection to an endpoint has carried. Decides which responses
// belong to the attempt that is outstanding, and whether the connection may
// carry another one. An endpoint may send a copy of an earlier response late,
// where the next response is expected, and only the attempt id tells them
// apart. Does no I/O. Not thread-safe.
//
//   if (history.MayCarry(attempt)) {
//     history.Begin(attempt);
//     ...
//     if (history.Match(reply.attempt) != response_match::kOther) {
//       history.End(may_be_repeated);
//     }
//   }

#ifndef BLUEBELL_PROXY_ATTEMPT_HISTORY_H_
#define BLUEBELL_PROXY_ATTEMPT_HISTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell {

// What ties a response to the attempt that is outstanding.
enum class response_match : std::uint8_t {
  // It names the attempt.
  kNamed,
  // It names none, and the connection has carried nothing before.
  kFirst,
  // It names none, and the connection was used before. The bytes may belong to
  // no attempt at all.
  kUnnamed,
  // It names another attempt.
  kOther,
};

std::string_view Describe(response_match match);

class attempt_history {
 public:
  // True if the responses to `attempt`, an id or empty, can be told apart from
  // all responses that the connection has carried.
  bool MayCarry(std::string_view attempt) const;
  // Starts an exchange. Requires MayCarry().
  void Begin(std::string attempt);
  // Returns what ties a response that names the attempt `stated`, or none, to
  // the exchange. One that matches kOther is to be skipped.
  response_match Match(std::string_view stated);
  // Ends the exchange. `may_be_repeated` is true if an attempt with the same id
  // can follow.
  void End(bool may_be_repeated);

  // False if the connection must carry no further attempt.
  bool is_reusable() const { return !ambiguous_; }

 private:
  bool is_new_ = true;
  // The exchange that is outstanding is the connection's first one.
  bool is_first_ = false;
  // True if a late response could not be told from the next one, or if the
  // endpoint has sent a response that nothing had asked for.
  bool ambiguous_ = false;
  std::string current_;
  // The ended attempts whose id may come again.
  std::vector<std::string> repeatable_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ATTEMPT_HISTORY_H_
