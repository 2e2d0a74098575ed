#include "bluebell/http/header_names.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>

namespace bluebell {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr auto kNotForwarded = std::to_array<bhttp::field>({
    bhttp::field::connection,
    bhttp::field::keep_alive,
    bhttp::field::proxy_authenticate,
    bhttp::field::proxy_authorization,
    bhttp::field::proxy_connection,
    bhttp::field::te,
    bhttp::field::trailer,
    bhttp::field::transfer_encoding,
    bhttp::field::upgrade,
    bhttp::field::host,
    bhttp::field::content_length,
    bhttp::field::expect,
});

// True for the headers that this system defines.
bool IsSystemHeader(beast::string_view name) {
  const beast::string_view prefix(kHeaderPrefix.data(), kHeaderPrefix.size());
  return beast::iequals(name.substr(0, prefix.size()), prefix) ||
         beast::iequals(name, beast::string_view(kIdempotencyKeyHeader.data(),
                                                 kIdempotencyKeyHeader.size()));
}

bool IsNamedBy(beast::string_view connection, beast::string_view name) {
  const bhttp::token_list tokens(connection);
  return std::any_of(
      tokens.begin(), tokens.end(),
      [&](beast::string_view token) { return beast::iequals(token, name); });
}

}  // namespace

std::vector<http_header> EndToEndHeaders(const bhttp::fields& all) {
  const beast::string_view connection = all[bhttp::field::connection];
  std::vector<http_header> kept;
  for (const auto& field : all) {
    const bool dropped = std::find(kNotForwarded.begin(), kNotForwarded.end(),
                                   field.name()) != kNotForwarded.end();
    if (dropped || IsSystemHeader(field.name_string()) ||
        IsNamedBy(connection, field.name_string())) {
      continue;
    }
    kept.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return kept;
}

}  // namespace bluebell
