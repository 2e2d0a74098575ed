// An IP address and a port.
//
//   result<address> peer = address::Parse("127.0.0.1:7400");

#ifndef BLUEBELL_CORE_ADDRESS_H_
#define BLUEBELL_CORE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

#include "bluebell/core/result.h"

namespace bluebell {

class address {
 public:
  address() = default;

  // Parses "IP:PORT", with an IPv6 address in brackets. Host names aren't
  // resolved. Fails with errc::kInvalidArgument for any other text.
  static result<address> Parse(std::string_view text);

  // The IP address in canonical form, without brackets.
  const std::string& ip() const { return ip_; }
  std::uint16_t port() const { return port_; }
  // The text that Parse() reads.
  std::string ToString() const;

  friend bool operator==(const address&, const address&) = default;
  friend auto operator<=>(const address&, const address&) = default;
  friend std::ostream& operator<<(std::ostream& out, const address& v);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip_, port_);
  }

 private:
  address(std::string ip, std::uint16_t port);

  std::string ip_;
  std::uint16_t port_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_ADDRESS_H_
