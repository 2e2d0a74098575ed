// Errors with a code, the step at which they occurred, and the peer.
//
//   return error(errc::kTimeout, step::kReadStore, "127.0.0.1:7000",
//                "no answer within 200 ms");

#ifndef BLUEBELL_CORE_ERROR_H_
#define BLUEBELL_CORE_ERROR_H_

#include <ostream>
#include <string>
#include <string_view>
#include <system_error>

namespace bluebell {

// The kind of an error. The numbers aren't sent or stored.
enum class errc {
  kInvalidArgument = 1,
  kNotFound,
  kConflict,
  kTimeout,
  kUnavailable,
  kConnectionLost,
  kMalformedMessage,
  kUnsupportedVersion,
  kTooLarge,
  kRefused,
  kNotOwner,
  kInternal,
};

// The operation during which an error occurred.
enum class step {
  kParseAddress,
  kParseSettings,
  kParseConfig,
  kParseTable,
  kParseRequest,
  kDecodeMessage,
  kListen,
  kConnect,
  kReadStore,
  kWriteStore,
  kWatchStore,
  kReadHosts,
  kGrantLease,
  kProbeEndpoint,
  kForwardRequest,
  kSendOrder,
  kReadReply,
  kQueryRequest,
  kFetchState,
  kRoute,
  kChangeConfig,
  kPlanMove,
  kShutDown,
};

const std::error_category& error_category();
std::error_code make_error_code(errc code);
// The name of a step, for example "read_store".
std::string_view ToString(step value);

class error {
 public:
  // `peer` names the address, file or key that the operation used; it may be
  // empty. `detail` is text for logs and may be empty.
  error(std::error_code code, step at, std::string peer, std::string detail);
  error(errc code, step at, std::string peer, std::string detail);

  const std::error_code& code() const { return code_; }
  step at() const { return step_; }
  const std::string& peer() const { return peer_; }
  const std::string& detail() const { return detail_; }

  // For example "read_store 127.0.0.1:7000: timeout (no answer within 200 ms)".
  std::string ToString() const;

  friend bool operator==(const error&, const error&) = default;
  friend std::ostream& operator<<(std::ostream& out, const error& v);

 private:
  std::error_code code_;
  step step_;
  std::string peer_;
  std::string detail_;
};

}  // namespace bluebell

template <>
struct std::is_error_code_enum<bluebell::errc> : std::true_type {};

#endif  // BLUEBELL_CORE_ERROR_H_
