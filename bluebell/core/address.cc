#include "bluebell/core/address.h"

#include <charconv>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace bluebell {

address::address(std::string ip, std::uint16_t port)
    : ip_(std::move(ip)), port_(port) {}

result<address> address::Parse(std::string_view text) {
  const error invalid(errc::kInvalidArgument, step::kParseAddress,
                      std::string(text), "expected IP:PORT");
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid;
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parsed.ec != std::errc() || digits.empty() ||
      parsed.ptr != digits.data() + digits.size()) {
    return invalid;
  }
  boost::system::error_code failure;
  const auto parsed_ip =
      boost::asio::ip::make_address(std::string(ip), failure);
  if (failure) {
    return invalid;
  }
  return address(parsed_ip.to_string(), port);
}

std::string address::ToString() const {
  const bool is_v6 = ip_.find(':') != std::string::npos;
  const std::string host = is_v6 ? '[' + ip_ + ']' : ip_;
  return host + ':' + std::to_string(port_);
}

std::ostream& operator<<(std::ostream& out, const address& v) {
  return out << v.ToString();
}

}  // namespace bluebell
