// Asks the other end of a link for a sign of life. The server answers with the
// same message.

#ifndef BLUEBELL_WIRE_LINK_PROBE_H_
#define BLUEBELL_WIRE_LINK_PROBE_H_

namespace bluebell {

struct link_probe {
  friend bool operator==(const link_probe&, const link_probe&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_LINK_PROBE_H_
