// What a test server does with a response instead of sending it as it is.
//
//   response_fault fault = truncate_response{20, connection_end::kClose};

#ifndef BLUEBELL_TESTING_RESPONSE_FAULT_H_
#define BLUEBELL_TESTING_RESPONSE_FAULT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

enum class connection_end : std::uint8_t {
  // An orderly end of the stream.
  kClose,
  kReset,
  // The connection stays open, and nothing more is sent or read on it.
  kSilence,
};

struct send_unchanged {
  friend bool operator==(const send_unchanged&,
                         const send_unchanged&) = default;
};

// A copy of the connection's previous response precedes this one.
struct repeat_previous {
  friend bool operator==(const repeat_previous&,
                         const repeat_previous&) = default;
};

// Only the first bytes are sent.
struct truncate_response {
  std::size_t bytes = 0;
  connection_end end = connection_end::kClose;

  friend bool operator==(const truncate_response&,
                         const truncate_response&) = default;
};

// The response has no stated length and ends with the connection.
struct send_unframed {
  friend bool operator==(const send_unframed&, const send_unframed&) = default;
};

// Other bytes are sent in place of the response, then the connection closes.
struct replace_response {
  std::string bytes;

  friend bool operator==(const replace_response&,
                         const replace_response&) = default;
};

// Further bytes follow the complete response after a delay, unless the
// connection has ended by then. They are sent between responses, never within
// one.
struct append_bytes {
  std::string bytes;
  milliseconds delay{0};

  friend bool operator==(const append_bytes&, const append_bytes&) = default;
};

// A copy of the response follows it after a delay.
struct append_copy {
  milliseconds delay{0};

  friend bool operator==(const append_copy&, const append_copy&) = default;
};

// The response says that the connection ends, and it does.
struct announce_close {
  friend bool operator==(const announce_close&,
                         const announce_close&) = default;
};

// The connection closes without notice once it has been idle for the delay.
struct close_when_idle {
  milliseconds delay{0};

  friend bool operator==(const close_when_idle&,
                         const close_when_idle&) = default;
};

using response_fault = std::variant<send_unchanged,
                                    repeat_previous,
                                    truncate_response,
                                    send_unframed,
                                    replace_response,
                                    append_bytes,
                                    append_copy,
                                    announce_close,
                                    close_when_idle>;

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_RESPONSE_FAULT_H_
