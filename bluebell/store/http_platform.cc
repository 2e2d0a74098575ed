#include "bluebell/store/http_platform.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include "bluebell/http/http_client.h"
#include "bluebell/store/host_json.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp11 = 11;

http_request Request(bhttp::verb method, const std::string& target) {
  return {method, target, kHttp11};
}

std::optional<store_version> VersionOf(const http_response& response) {
  const auto found = response.find(boost::beast::string_view(
      kPlatformVersionHeader.data(), kPlatformVersionHeader.size()));
  if (found == response.end()) {
    return std::nullopt;
  }
  const auto text = found->value();
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return store_version(version);
}

error StatusError(const http_response& response,
                  step call_step,
                  const std::string& peer) {
  const bool is_server_error = response.result_int() >= 500;
  return {is_server_error ? errc::kUnavailable : errc::kMalformedMessage,
          call_step, peer,
          "HTTP status " + std::to_string(response.result_int())};
}

result<store_value> ValueOf(const result<http_response>& response,
                            step call_step,
                            const std::string& peer) {
  if (!response) {
    return response.error();
  }
  if (response.value().result() == bhttp::status::not_found) {
    return store_value{};
  }
  if (response.value().result() != bhttp::status::ok) {
    return StatusError(response.value(), call_step, peer);
  }
  const std::optional<store_version> version = VersionOf(response.value());
  if (!version) {
    return error(errc::kMalformedMessage, call_step, peer,
                 "the response has no valid version header");
  }
  return store_value{response.value().body(), *version};
}

// Every response other than success or conflict leaves the write in doubt: a
// proxy or an overloaded store may respond with an error after the write took
// effect.
write_result WriteResultOf(const result<http_response>& response,
                           const std::string& peer) {
  if (!response) {
    return write_in_doubt{response.error()};
  }
  const std::optional<store_version> version = VersionOf(response.value());
  if (response.value().result() == bhttp::status::ok && version) {
    return write_applied{*version};
  }
  if (response.value().result() == bhttp::status::conflict && version) {
    return write_conflict{*version};
  }
  return write_in_doubt{StatusError(response.value(), step::kWriteStore, peer)};
}

}  // namespace

result<std::shared_ptr<http_platform>> http_platform::Make(
    boost::asio::io_context& io,
    const address& platform_address,
    milliseconds timeout) {
  result<std::unique_ptr<http_client>> client =
      http_client::Make(io, platform_address, http_client_options());
  if (!client) {
    return client.error();
  }
  return std::shared_ptr<http_platform>(new http_platform(
      std::move(client).value(), platform_address.ToString(), timeout));
}

http_platform::http_platform(std::unique_ptr<http_client> client,
                             std::string peer,
                             milliseconds timeout)
    : client_(std::move(client)), peer_(std::move(peer)), timeout_(timeout) {}

http_platform::~http_platform() = default;

void http_platform::Read(const std::string& key, read_handler done) {
  client_->Call(Request(bhttp::verb::get, "/kv/" + key), timeout_,
                step::kReadStore,
                [done = std::move(done),
                 peer = peer_](const result<http_response>& response) {
                  done(ValueOf(response, step::kReadStore, peer));
                });
}

void http_platform::Watch(const std::string& key,
                          store_version after,
                          milliseconds wait,
                          read_handler done) {
  const std::string target = "/watch/" + key +
                             "?after=" + std::to_string(after.value()) +
                             "&timeout_ms=" + std::to_string(wait.count());
  client_->Call(Request(bhttp::verb::get, target), timeout_ + wait,
                step::kWatchStore,
                [done = std::move(done),
                 peer = peer_](const result<http_response>& response) {
                  done(ValueOf(response, step::kWatchStore, peer));
                });
}

void http_platform::Write(const std::string& key,
                          const std::string& value,
                          store_version expected,
                          write_handler done) {
  http_request request =
      Request(bhttp::verb::put,
              "/kv/" + key + "?if_version=" + std::to_string(expected.value()));
  request.body() = value;
  client_->Call(std::move(request), timeout_, step::kWriteStore,
                [done = std::move(done),
                 peer = peer_](const result<http_response>& response) {
                  done(WriteResultOf(response, peer));
                });
}

void http_platform::ListHosts(hosts_handler done) {
  client_->Call(Request(bhttp::verb::get, "/hosts"), timeout_, step::kReadHosts,
                [done = std::move(done),
                 peer = peer_](const result<http_response>& response) {
                  if (!response) {
                    done(response.error());
                  } else if (response.value().result() != bhttp::status::ok) {
                    done(StatusError(response.value(), step::kReadHosts, peer));
                  } else {
                    done(ParseHosts(response.value().body()));
                  }
                });
}

}  // namespace bluebell
