// Probes whether the other end of a link is alive. The server answers with the
// same message.

#ifndef BLUEBELL_WIRE_LINK_PROBE_H_
#define BLUEBELL_WIRE_LINK_PROBE_H_

namespace bluebell {

struct link_probe {
  friend bool operator==(const link_probe&, const link_probe&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_LINK_PROBE_H_
