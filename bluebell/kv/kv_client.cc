#include "bluebell/kv/kv_client.h"

#include <iterator>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "bluebell/http/http_client.h"
#include "bluebell/kv/async_call.h"
#include "platform/store_calls.h"

namespace bluebell {

namespace {

// The store responds within a few milliseconds, or a few hundred when slow.
constexpr milliseconds kCallTimeout{1'000};
// Added to the requested wait of a watch for its response to arrive.
constexpr milliseconds kWatchTimeoutMargin{1'000};
// The shortest wait of a watch: it returns at once, with or without changes.
constexpr milliseconds kNoWait{1};
// Shorter than the time after which the store closes an idle connection.
constexpr milliseconds kConnectionIdleTimeout{4'000};

}  // namespace

result<std::unique_ptr<kv_client>> kv_client::Make(
    boost::asio::io_context& io,
    const address& store_address) {
  http_client_options options;
  options.idle_timeout = kConnectionIdleTimeout;
  auto client = http_client::Make(io, store_address, options);
  if (!client) {
    return client.error();
  }
  options.reuse_connections = false;
  auto check_client = http_client::Make(io, store_address, options);
  if (!check_client) {
    return check_client.error();
  }
  return std::unique_ptr<kv_client>(new kv_client(
      std::move(client.value()), std::move(check_client.value())));
}

kv_client::kv_client(std::unique_ptr<http_client> client,
                     std::unique_ptr<http_client> check_client)
    : client_(std::move(client)), check_client_(std::move(check_client)) {}

kv_client::~kv_client() = default;

kv_client::awaitable_result<http_response> kv_client::Call(http_request request,
                                                           milliseconds timeout,
                                                           step call_step) {
  return AsyncCall(*client_, std::move(request), timeout, call_step);
}

kv_client::awaitable_result<kv_listing> kv_client::List(std::string prefix) {
  kv_listing listing;
  std::string after;
  bool first = true;
  while (true) {
    const result<http_response> response = co_await Call(
        platform::EncodeList(prefix, after), kCallTimeout, step::kReadStore);
    if (!response) {
      co_return response.error();
    }
    result<kv_page> page = platform::DecodePage(response.value());
    if (!page) {
      co_return page.error();
    }
    kv_page& read = page.value();
    if (std::exchange(first, false)) {
      listing.revision = read.revision;
    }
    const bool has_more = read.has_more && !read.items.empty();
    if (has_more) {
      after = read.items.back().key;
    }
    std::move(read.items.begin(), read.items.end(),
              std::back_inserter(listing.items));
    if (!has_more) {
      co_return listing;
    }
  }
}

kv_client::awaitable_result<kv_changes> kv_client::Watch(
    std::string prefix,
    store_version after,
    milliseconds max_wait) {
  const result<http_response> response =
      co_await Call(platform::EncodeWatch(prefix, after, max_wait),
                    max_wait + kWatchTimeoutMargin, step::kWatchStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeChanges(response.value());
}

kv_client::awaitable_result<kv_changes> kv_client::ReadChanges(
    std::string prefix,
    store_version after) {
  const result<http_response> response = co_await AsyncCall(
      *check_client_, platform::EncodeWatch(prefix, after, kNoWait),
      kCallTimeout, step::kReadStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeChanges(response.value());
}

kv_client::awaitable_result<kv_write_result> kv_client::Write(kv_write write) {
  const result<http_response> response = co_await Call(
      platform::EncodeWrite(write), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeWriteResult(response.value());
}

kv_client::awaitable_result<kv_granted_lease> kv_client::StartLease(
    milliseconds term) {
  const result<http_response> response = co_await Call(
      platform::EncodeLeaseStart(term), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeLeaseStart(response.value());
}

kv_client::awaitable_result<bool> kv_client::RenewLease(kv_lease lease) {
  const result<http_response> response = co_await Call(
      platform::EncodeLeaseRenewal(lease), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeLeaseRenewal(response.value());
}

kv_client::awaitable_result<bool> kv_client::EndLease(kv_lease lease) {
  const result<http_response> response = co_await Call(
      platform::EncodeLeaseEnd(lease), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeLeaseEnd(response.value());
}

}  // namespace bluebell
