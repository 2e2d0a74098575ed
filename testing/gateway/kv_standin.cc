#include "testing/gateway/kv_standin.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "platform/base64.h"
#include "testing/run_after.h"

namespace bluebell {

namespace {

namespace json = boost::json;

constexpr milliseconds kTick{20};
constexpr milliseconds kMaxCopyAge{10'000};
constexpr double kMillisPerSecond = 1'000;
constexpr std::string_view kRangePath = "/kv-range";
constexpr std::string_view kWatchPath = "/kv-watch";
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kUnavailable = 503;

std::string Unescape(std::string_view text) {
  constexpr int kHexadecimal = 16;
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, kHexadecimal));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string QueryField(std::string_view target, std::string_view name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos && at + 1 < target.size()) {
    const std::size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string_view field = target.substr(at + 1, end - at - 1);
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == name) {
      return Unescape(field.substr(equals + 1));
    }
    at = end == target.size() ? std::string_view::npos : end;
  }
  return {};
}

std::uint64_t NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

bool ListsPrefix(const http_request& request, std::string_view prefix) {
  const std::string target(request.target());
  return target.starts_with(kRangePath) &&
         QueryField(target, "Prefix") == prefix;
}

http_response Reply(const json::object& body) {
  return JsonResponse(kOk, json::serialize(body));
}

}  // namespace

kv_standin::kv_standin(boost::asio::io_context& io, std::uint64_t seed)
    : io_(io), timer_(io), random_(seed), last_tick_(BootNow()) {}

result<std::shared_ptr<kv_standin>> kv_standin::Start(
    boost::asio::io_context& io,
    const address& listen,
    std::uint64_t seed) {
  const std::shared_ptr<kv_standin> store(new kv_standin(io, seed));
  http_server_options options;
  options.listen = listen;
  auto server = http_server::Start(
      io, options,
      [weak = std::weak_ptr<kv_standin>(store)](const http_request& request,
                                                http_responder respond) {
        if (const auto self = weak.lock()) {
          self->Serve(request, std::move(respond));
        }
      });
  if (!server) {
    return server.error();
  }
  store->server_ = std::move(server).value();
  store->Tick();
  return store;
}

void kv_standin::Stop() {
  timer_.cancel();
  watches_.clear();
  server_->Stop();
}

void kv_standin::SetFault(const store_fault& fault) {
  fault_ = fault;
}

void kv_standin::ForgetHistory() {
  history_.clear();
  forgotten_ = revision_;
}

void kv_standin::RememberItem(const std::string& key) {
  const auto found = items_.find(key);
  undo_.push_back(
      {BootNow(), revision_ - 1, key,
       found == items_.end() ? std::nullopt : std::optional(found->second), 0,
       std::nullopt});
}

void kv_standin::RememberLease(std::uint64_t id) {
  const auto found = leases_.find(id);
  undo_.push_back(
      {BootNow(),
       revision_,
       {},
       std::nullopt,
       id,
       found == leases_.end() ? std::nullopt : std::optional(found->second)});
}

void kv_standin::RollBack(milliseconds age) {
  const instant now = BootNow();
  for (; !undo_.empty() && undo_.back().at > now - age; undo_.pop_back()) {
    const undo& last = undo_.back();
    revision_ = last.revision;
    if (last.item_before) {
      items_[last.key] = *last.item_before;
    } else if (!last.key.empty()) {
      items_.erase(last.key);
    }
    if (last.lease_before) {
      // Nobody could renew it while the store was away.
      leases_[last.lease_id] = {last.lease_before->term,
                                now + last.lease_before->term};
    } else if (last.lease_id != 0) {
      leases_.erase(last.lease_id);
      last_lease_ = last.lease_id - 1;
    }
  }
  while (!history_.empty() && history_.back().revision > revision_) {
    history_.pop_back();
  }
  ++era_;
  Notify();
}

bool kv_standin::Put(const std::string& key, const std::string& value) {
  if (std::holds_alternative<store_down>(fault_)) {
    return false;
  }
  ++revision_;
  Write(key, value, 0);
  Notify();
  return true;
}

bool kv_standin::Delete(const std::string& key) {
  if (std::holds_alternative<store_down>(fault_)) {
    return false;
  }
  ++revision_;
  Erase(key);
  Notify();
  return true;
}

std::optional<std::string> kv_standin::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt
                               : std::optional(found->second.value);
}

void kv_standin::Serve(const http_request& request, http_responder send) {
  const http_responder respond =
      [send = std::move(send),
       weak = weak_from_this()](http_response response) {
        if (const auto self = weak.lock()) {
          response.set("Store-Era", std::to_string(self->era_));
        }
        send(std::move(response));
      };
  const milliseconds at_once(0);
  std::visit(
      overloaded{
          [&](const store_well&) { CarryOut(request, respond, at_once); },
          [&](const store_down& down) {
            if (!down.silent) {
              respond(JsonResponse(kUnavailable, "{}"));
            }
          },
          [&](const store_slow& slow) { CarryOut(request, respond, slow.by); },
          [&](const store_slow_listings& slow) {
            const bool delayed = ListsPrefix(request, slow.prefix);
            delayed_listings_ += delayed ? 1 : 0;
            CarryOut(request, respond, delayed ? slow.by : at_once);
          },
          [&](const store_loses_answers& loses) {
            const bool lost = std::bernoulli_distribution(loses.share)(random_);
            CarryOut(
                request,
                lost ? http_responder([](const http_response&) {}) : respond,
                at_once);
          }},
      fault_);
}

void kv_standin::CarryOut(const http_request& request,
                          const http_responder& respond,
                          milliseconds delay) {
  if (delay > milliseconds(0)) {
    RunAfter(io_, delay, [self = shared_from_this(), request, respond] {
      self->CarryOut(request, respond, milliseconds(0));
    });
    return;
  }
  const std::string target(request.target());
  if (target.starts_with(kWatchPath)) {
    Watch(target, respond);
  } else {
    respond(Answer(request));
  }
}

http_response kv_standin::Answer(const http_request& request) {
  const std::string target(request.target());
  const auto id_after = [&](std::string_view path) {
    return NumberOf(target.substr(path.size()));
  };
  constexpr std::string_view kKeep = "/kv-keep/";
  constexpr std::string_view kEnd = "/kv-lease-end/";
  if (target.starts_with(kRangePath)) {
    return Range(target);
  }
  if (target == "/kv-txn") {
    return Transact(request.body());
  }
  if (target == "/kv-lease") {
    return StartLease(request.body());
  }
  if (target.starts_with(kKeep)) {
    return KeepLease(id_after(kKeep));
  }
  if (target.starts_with(kEnd)) {
    return EndLease(id_after(kEnd));
  }
  return JsonResponse(kNotFound, "{}");
}

namespace {

json::object ItemJson(const std::string& key,
                      const std::string& value,
                      std::uint64_t revision,
                      std::uint64_t created,
                      std::uint64_t lease) {
  return {{"Key", key},
          {"Value", platform::EncodeBase64(value)},
          {"Revision", revision},
          {"CreatedRev", created},
          {"Lease", lease}};
}

}  // namespace

http_response kv_standin::Range(const std::string& target) const {
  const std::string prefix = QueryField(target, "Prefix");
  const std::string after = QueryField(target, "after");
  // Small, so that listings have several pages.
  constexpr std::size_t kPage = 20;
  json::array rows;
  bool more = false;
  for (auto each = items_.lower_bound(prefix);
       each != items_.end() && each->first.starts_with(prefix); ++each) {
    if (!after.empty() && each->first <= after) {
      continue;
    }
    if (rows.size() == kPage) {
      more = true;
      break;
    }
    const item& found = each->second;
    rows.push_back(ItemJson(each->first, found.value, found.revision,
                            found.created, found.lease));
  }
  return Reply({{"items", rows}, {"HasMore", more}, {"CurrentRev", revision_}});
}

http_response kv_standin::Transact(const std::string& body) {
  const json::value root = json::parse(body);
  json::array current;
  bool holds = true;
  for (const json::value& row : root.at("ExpectedRevision").as_array()) {
    const auto key = json::value_to<std::string>(row.at("Key"));
    const auto found = items_.find(key);
    const std::uint64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    holds = holds && row.at("Revision").to_number<std::uint64_t>() == revision;
    if (found != items_.end()) {
      const item& stored = found->second;
      current.push_back(ItemJson(key, stored.value, stored.revision,
                                 stored.created, stored.lease));
    }
  }
  if (!holds) {
    return JsonResponse(kPreconditionFailed,
                        json::serialize(json::object{{"items", current}}));
  }
  const json::array& puts = root.at("SetKeys").as_array();
  for (const json::value& row : puts) {
    const auto id = row.at("Lease").to_number<std::uint64_t>();
    if (id != 0 && !leases_.contains(id)) {
      return JsonResponse(kNotFound, "{}");
    }
  }
  ++revision_;
  for (const json::value& row : puts) {
    Write(json::value_to<std::string>(row.at("Key")),
          platform::DecodeBase64(json::value_to<std::string>(row.at("Value")))
              .value(),
          row.at("Lease").to_number<std::uint64_t>());
  }
  Notify();
  return Reply({{"Revision", revision_}});
}

void kv_standin::Write(const std::string& key,
                       const std::string& value,
                       std::uint64_t id) {
  RememberItem(key);
  item& stored = items_[key];
  stored.value = value;
  stored.revision = revision_;
  stored.created = stored.created == 0 ? revision_ : stored.created;
  stored.lease = id;
  history_.push_back({key, revision_, stored});
}

void kv_standin::Erase(const std::string& key) {
  RememberItem(key);
  if (items_.erase(key) > 0) {
    history_.push_back({key, revision_, std::nullopt});
  }
}

void kv_standin::EraseOf(std::uint64_t id) {
  ++revision_;
  std::vector<std::string> keys;
  for (const auto& [key, stored] : items_) {
    if (stored.lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
  Notify();
}

http_response kv_standin::StartLease(const std::string& body) {
  const double term = json::parse(body).at("TtlS_time").to_number<double>();
  const milliseconds granted(static_cast<int>(term * kMillisPerSecond));
  RememberLease(++last_lease_);
  leases_[last_lease_] = {granted, BootNow() + granted};
  return Reply({{"Lease", last_lease_}, {"TtlS_time", term}});
}

http_response kv_standin::KeepLease(std::uint64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return JsonResponse(kNotFound, "{}");
  }
  found->second.ends = BootNow() + found->second.term;
  return Reply({});
}

http_response kv_standin::EndLease(std::uint64_t id) {
  if (!leases_.contains(id)) {
    return JsonResponse(kNotFound, "{}");
  }
  RememberLease(id);
  leases_.erase(id);
  EraseOf(id);
  return Reply({});
}

void kv_standin::Watch(const std::string& target, http_responder respond) {
  watch waiting{
      QueryField(target, "Prefix"), NumberOf(QueryField(target, "after")),
      BootNow() + milliseconds(NumberOf(QueryField(target, "WaitMs"))),
      std::move(respond)};
  if (auto known = Changes(waiting)) {
    waiting.respond(std::move(*known));
  } else {
    watches_.push_back(std::move(waiting));
  }
}

std::optional<http_response> kv_standin::Changes(const watch& waiting) const {
  if (waiting.after < forgotten_ || waiting.after > revision_) {
    return JsonResponse(kGone, "{}");
  }
  json::array events;
  for (const change& each : history_) {
    if (each.revision <= waiting.after ||
        !each.key.starts_with(waiting.prefix)) {
      continue;
    }
    if (each.now) {
      events.push_back(ItemJson(each.key, each.now->value, each.revision,
                                each.now->created, each.now->lease));
    } else {
      events.push_back(json::object{
          {"Key", each.key}, {"Revision", each.revision}, {"Deleted", true}});
    }
  }
  if (events.empty() && BootNow() < waiting.ends) {
    return std::nullopt;
  }
  return Reply({{"events", events}, {"CurrentRev", revision_}});
}

void kv_standin::Notify() {
  if (std::holds_alternative<store_down>(fault_)) {
    return;
  }
  std::vector<watch> waiting = std::exchange(watches_, {});
  for (watch& each : waiting) {
    if (auto known = Changes(each)) {
      each.respond(std::move(*known));
    } else {
      watches_.push_back(std::move(each));
    }
  }
}

void kv_standin::Tick() {
  const instant now = BootNow();
  const auto* down = std::get_if<store_down>(&fault_);
  if (down != nullptr && !down->leases_expire) {
    for (auto& [id, held] : leases_) {
      held.ends += now - last_tick_;
    }
  }
  last_tick_ = now;
  std::vector<std::uint64_t> ended;
  for (const auto& [id, held] : leases_) {
    if (held.ends <= now) {
      ended.push_back(id);
    }
  }
  while (!undo_.empty() && undo_.front().at < now - kMaxCopyAge) {
    undo_.pop_front();
  }
  for (const std::uint64_t id : ended) {
    RememberLease(id);
    leases_.erase(id);
    EraseOf(id);
  }
  Notify();
  timer_.expires_after(kTick);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) {
          self->Tick();
        }
      });
}

}  // namespace bluebell
