#include "testing/gateway/soak_caller.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include "bluebell/core/boot_clock.h"
#include "testing/header_text.h"
#include "testing/load_connection.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr milliseconds kTimeLimit{1'500};
// A caller waits a little longer than it says.
constexpr milliseconds kPatience{400};
constexpr milliseconds kPauseAfterFailure{80};
constexpr double kLongestRetryAfterS = 0.5;
constexpr double kSwitchShare = 0.05;
constexpr int kMillisPerSecond = 1'000;

std::string HexOf(std::uint64_t number) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(number >> static_cast<unsigned>(shift)) & 0xFU];
  }
  return text;
}

}  // namespace

soak_caller::soak_caller(boost::asio::io_context& io,
                         std::vector<address> fronts,
                         process_of process,
                         soak_record& record,
                         std::uint64_t seed)
    : io_(io),
      fronts_(std::move(fronts)),
      process_(std::move(process)),
      record_(record),
      random_(seed),
      timer_(io) {}

soak_caller::~soak_caller() = default;

void soak_caller::Start() {
  ChooseFront();
  SendAfter(milliseconds(random_() % 100));
}

void soak_caller::ChooseFront() {
  front_ = random_() % fronts_.size();
  connection_.reset();
}

void soak_caller::SendAfter(milliseconds pause) {
  timer_.expires_after(pause);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self && !self->stopped_) {
          self->SendNext();
        }
      });
}

http_request soak_caller::MakeRequest(sent_request& row) {
  constexpr std::array<const char*, 4> kPaths{"/look/", "/moved/", "/book/",
                                              "/note/"};
  const std::uint64_t kind = random_() % kPaths.size();
  http_request request;
  request.version(kHttp11);
  row.id = HexOf(random_());
  row.idempotent = kind == 0 || kind == 1;
  row.on_moved_route = kind == 1;
  request.target(kPaths.at(kind) + row.id);
  request.method(row.idempotent ? bhttp::verb::get : bhttp::verb::post);
  request.set(bhttp::field::host, "soak.example");
  request.set("X-Attempt-Id", row.id);
  request.set("X-Deadline-Ms", std::to_string(kTimeLimit.count()));
  if (kind == 0 || kind == 2) {
    request.set("X-Shard-Key", std::to_string(random_() % 65'536));
  }
  if (!row.idempotent) {
    request.body() = "book " + row.id;
  }
  request.prepare_payload();
  return request;
}

void soak_caller::SendNext() {
  const bool switches = std::bernoulli_distribution(kSwitchShare)(random_);
  if (switches || (connection_ && !connection_->IsOpen())) {
    ChooseFront();
  }
  if (!connection_) {
    connection_ = std::make_shared<load_connection>(io_, fronts_[front_]);
    connected_to_ = process_(front_);
  }
  sent_request row;
  row.process = connected_to_;
  http_request request = MakeRequest(row);
  row.sent = BootNow();
  const std::size_t number = record_.requests.size();
  record_.requests.push_back(std::move(row));
  waiting_ = true;
  connection_->Send(
      std::move(request), kTimeLimit + kPatience,
      [self = shared_from_this(), number](const load_exchange& ended) {
        self->OnEnd(number, ended);
      });
}

void soak_caller::OnEnd(std::size_t row, const load_exchange& ended) {
  waiting_ = false;
  sent_request& request = record_.requests[row];
  request.ended = BootNow();
  if (ended.failure) {
    connection_.reset();
    ChooseFront();
    SendAfter(kPauseAfterFailure);
    return;
  }
  request.status = ended.response.result_int();
  request.answered_id = HeaderText(ended.response, "X-Attempt-Id");
  request.signature = HeaderText(ended.response, "X-Server-Signature");
  request.body = ended.response.body();
  const std::string after = HeaderText(ended.response, "Retry-After");
  const double pause =
      after.empty() ? 0 : std::min(std::stod(after), kLongestRetryAfterS);
  constexpr milliseconds kThink{10};
  SendAfter(kThink + milliseconds(static_cast<int>(pause * kMillisPerSecond)));
}

}  // namespace bluebell
