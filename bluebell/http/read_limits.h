// Limits on reading HTTP messages, for all connections.

#ifndef BLUEBELL_HTTP_READ_LIMITS_H_
#define BLUEBELL_HTTP_READ_LIMITS_H_

#include <cstddef>

namespace bluebell {

// The most bytes of input that a connection to a server keeps unparsed. A
// faulty server may send, for example, a chunk header without an end.
inline constexpr std::size_t kMaxUnparsedBytes = 128U << 10U;

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_READ_LIMITS_H_
