#include "bluebell/kv/kv_client.h"

#include <algorithm>
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
// A listing begins anew if the era changes between its pages, which happens
// once for each time that the store comes back.
constexpr int kMaxListings = 3;

error HistoryLost() {
  return {errc::kNotFound, step::kWatchStore, "store",
          "the watched revision is of an earlier era"};
}

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

void kv_client::AddEraHandler(std::function<void(store_era era)> on_rise) {
  era_handlers_.push_back(std::move(on_rise));
}

void kv_client::Observe(const http_response& response) {
  // A response without the header, for example an error, says nothing.
  const std::optional<store_era> stated = platform::StatedEra(response);
  if (!stated) {
    return;
  }
  if (!era_) {
    era_ = stated;
    first_era_ = stated;
  } else if (*era_ < *stated) {
    era_ = stated;
    for (const auto& on_rise : era_handlers_) {
      on_rise(*stated);
    }
  }
}

kv_client::awaitable_result<http_response> kv_client::Call(http_request request,
                                                           milliseconds timeout,
                                                           step call_step) {
  result<http_response> response =
      co_await AsyncCall(*client_, std::move(request), timeout, call_step);
  if (response) {
    Observe(response.value());
  }
  co_return response;
}

kv_client::awaitable_result<kv_listing> kv_client::List(std::string prefix) {
  for (int i = 0; i < kMaxListings; ++i) {
    result<std::optional<kv_listing>> listing = co_await ListOnce(prefix);
    if (!listing) {
      co_return listing.error();
    }
    if (listing.value()) {
      co_return std::move(*listing.value());
    }
  }
  co_return error(errc::kConflict, step::kReadStore, "store",
                  "the era has changed while the keys were listed");
}

kv_client::awaitable_result<std::optional<kv_listing>> kv_client::ListOnce(
    const std::string& prefix) {
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
    if (EraOf(read.revision) != era()) {
      co_return std::optional<kv_listing>();
    }
    if (std::exchange(first, false)) {
      listing.revision = read.revision;
    } else if (EraOf(listing.revision) != EraOf(read.revision)) {
      co_return std::optional<kv_listing>();
    }
    const bool has_more = read.has_more && !read.items.empty();
    if (has_more) {
      after = read.items.back().key;
    }
    std::move(read.items.begin(), read.items.end(),
              std::back_inserter(listing.items));
    if (!has_more) {
      co_return std::optional(std::move(listing));
    }
  }
}

kv_client::awaitable_result<kv_changes> kv_client::Watch(
    std::string prefix,
    store_version after,
    milliseconds max_wait) {
  if (EraOf(after) < era()) {
    co_return HistoryLost();
  }
  const result<http_response> response =
      co_await Call(platform::EncodeWatch(prefix, after, max_wait),
                    max_wait + kWatchTimeoutMargin, step::kWatchStore);
  co_return ChangesIn(response, after);
}

kv_client::awaitable_result<kv_changes> kv_client::ReadChanges(
    std::string prefix,
    store_version after) {
  if (EraOf(after) < era()) {
    co_return HistoryLost();
  }
  const result<http_response> response = co_await AsyncCall(
      *check_client_, platform::EncodeWatch(prefix, after, kNoWait),
      kCallTimeout, step::kReadStore);
  if (response) {
    Observe(response.value());
  }
  co_return ChangesIn(response, after);
}

result<kv_changes> kv_client::ChangesIn(const result<http_response>& response,
                                        const store_version& after) {
  if (!response) {
    return response.error();
  }
  // The store has compared `after` with the revisions of a later era.
  if (EraOf(after) < platform::DecodeEra(response.value())) {
    return HistoryLost();
  }
  return platform::DecodeChanges(response.value());
}

kv_client::awaitable_result<kv_write_result> kv_client::Write(kv_write write) {
  const store_era sent_in = era();
  const bool names_other_era =
      std::any_of(write.conditions.begin(), write.conditions.end(),
                  [&](const kv_condition& condition) {
                    return RevisionIn(condition.revision) != 0 &&
                           EraOf(condition.revision) != sent_in;
                  });
  if (names_other_era) {
    co_return kv_write_result(kv_conflict());
  }
  const bool has_lost_lease =
      std::any_of(write.puts.begin(), write.puts.end(), [&](const kv_put& put) {
        return put.lease.id() != 0 && put.lease.era() != sent_in;
      });
  if (has_lost_lease) {
    co_return kv_write_result(kv_lease_ended());
  }
  const bool is_first_call = !era_.has_value();
  const result<http_response> response = co_await Call(
      platform::EncodeWrite(write), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  result<kv_write_result> written =
      platform::DecodeWriteResult(response.value());
  if (written && !is_first_call &&
      platform::DecodeEra(response.value()) != sent_in) {
    co_return error(errc::kConnectionLost, step::kWriteStore, "store",
                    "the era has changed during the write");
  }
  co_return written;
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
  if (lease.era() != era()) {
    co_return false;
  }
  const result<http_response> response = co_await Call(
      platform::EncodeLeaseRenewal(lease), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  const result<bool> renewed = platform::DecodeLeaseRenewal(response.value());
  // The store may have renewed a lease of another daemon with the same id.
  if (renewed && lease.era() != platform::DecodeEra(response.value())) {
    co_return false;
  }
  co_return renewed;
}

kv_client::awaitable_result<bool> kv_client::EndLease(kv_lease lease) {
  if (lease.era() != era()) {
    co_return true;
  }
  const result<http_response> response = co_await Call(
      platform::EncodeLeaseEnd(lease), kCallTimeout, step::kWriteStore);
  if (!response) {
    co_return response.error();
  }
  co_return platform::DecodeLeaseEnd(response.value());
}

}  // namespace bluebell
