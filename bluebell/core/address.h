// An IP number and a port.
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

  // Reads "IP:PORT", with IPv6 numbers in brackets. Names aren't resolved: the
  // hosts talk by IP number.
  static result<address> Parse(std::string_view text);

  const std::string& ip() const { return ip_; }
  std::uint16_t port() const { return port_; }
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
