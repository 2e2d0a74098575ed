#include "review/standins/store.h"

#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace review {

namespace {

namespace json = boost::json;

constexpr std::size_t kPageItems = 500;
constexpr double kMillisPerSecond = 1'000;

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const std::size_t at = i + k;
      group = (group << 8U) |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '='
                                   : kDigits[(group >> (18U - 6U * k)) & 0x3FU];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char digit : text) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      break;
    }
    group = (group << 6U) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 0xFFU);
    }
  }
  return bytes;
}

std::string Unescape(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t from = query == std::string::npos ? query : query + 1;
  while (from != std::string::npos) {
    const std::size_t end = target.find('&', from);
    const std::string field =
        target.substr(from, end == std::string::npos ? end : end - from);
    if (field.starts_with(name + "=")) {
      return Unescape(field.substr(name.size() + 1));
    }
    from = end == std::string::npos ? end : end + 1;
  }
  return {};
}

std::uint64_t NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

http_message JsonResponse(int status, const json::object& body) {
  http_message response = Response(status, json::serialize(body));
  response.headers.push_back({"Content-Type", "application/json"});
  return response;
}

template <typename Item>
json::object ItemJson(const std::string& key, const Item& item) {
  return {{"Key", key},
          {"Value", EncodeBase64(item.value)},
          {"Revision", item.revision},
          {"CreatedRev", item.created},
          {"Lease", item.lease}};
}

}  // namespace

store::store()
    : server_([this](const http_message& request, connection& link) {
        return Serve(request, link);
      }) {
  std::thread([this] {
    while (true) {
      Sleep(milliseconds(20));
      const std::lock_guard lock(mutex_);
      EndLeases();
    }
  }).detach();
}

void store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void store::Delete(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Erase(key);
  changed_.notify_all();
}

std::optional<std::string> store::Find(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt
                               : std::optional(found->second.value);
}

bool store::Serve(const http_message& request, connection& link) {
  return link.Write(Encode(Answer(request)));
}

http_message store::Answer(const http_message& request) {
  const std::string target = request.target();
  if (target.starts_with("/kv-watch")) {
    return Watch(target);
  }
  const std::lock_guard lock(mutex_);
  EndLeases();
  if (target.starts_with("/kv-key")) {
    return Key(target);
  }
  if (target.starts_with("/kv-range")) {
    return Range(target);
  }
  if (target == "/kv-txn") {
    return Transact(request.body);
  }
  if (target == "/kv-lease") {
    return StartLease(request.body);
  }
  const std::uint64_t id = NumberOf(target.substr(target.rfind('/') + 1));
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return JsonResponse(404, {});
  }
  if (target.starts_with("/kv-keep/")) {
    found->second.ends = Now() + found->second.term;
    return JsonResponse(
        200, {{"TtlS_time", static_cast<double>(found->second.term.count()) /
                                kMillisPerSecond}});
  }
  EndLease(id);
  return JsonResponse(200, {});
}

http_message store::Key(const std::string& target) {
  const std::string key = Query(target, "Key");
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return JsonResponse(404, {{"CurrentRev", revision_}});
  }
  json::object body = ItemJson(key, found->second);
  body["CurrentRev"] = revision_;
  return JsonResponse(200, body);
}

http_message store::Range(const std::string& target) {
  const std::string prefix = Query(target, "Prefix");
  const std::string after = Query(target, "after");
  json::array rows;
  bool has_more = false;
  for (const auto& [key, found] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (rows.size() == kPageItems) {
      has_more = true;
      break;
    }
    rows.push_back(ItemJson(key, found));
  }
  return JsonResponse(
      200, {{"items", rows}, {"HasMore", has_more}, {"CurrentRev", revision_}});
}

http_message store::Watch(const std::string& target) {
  const std::string prefix = Query(target, "Prefix");
  const std::uint64_t after = NumberOf(Query(target, "after"));
  const instant until = Now() + milliseconds(NumberOf(Query(target, "WaitMs")));
  std::unique_lock lock(mutex_);
  while (true) {
    json::array events;
    for (const change& each : history_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) {
        continue;
      }
      if (each.written) {
        events.push_back(ItemJson(each.key, *each.written));
      } else {
        events.push_back(json::object{
            {"Key", each.key}, {"Revision", each.revision}, {"Deleted", true}});
      }
    }
    if (!events.empty() || Now() >= until) {
      return JsonResponse(200, {{"events", events}, {"CurrentRev", revision_}});
    }
    changed_.wait_until(lock, until);
  }
}

http_message store::Transact(const std::string& body) {
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
      current.push_back(ItemJson(key, found->second));
    }
  }
  if (!holds) {
    return JsonResponse(412, {{"items", current}});
  }
  for (const json::value& row : root.at("SetKeys").as_array()) {
    const auto id = row.at("Lease").to_number<std::uint64_t>();
    if (id != 0 && !leases_.contains(id)) {
      return JsonResponse(404, {});
    }
  }
  ++revision_;
  for (const json::value& row : root.at("SetKeys").as_array()) {
    Write(json::value_to<std::string>(row.at("Key")),
          DecodeBase64(json::value_to<std::string>(row.at("Value"))),
          row.at("Lease").to_number<std::uint64_t>());
  }
  for (const json::value& row : root.at("DeleteKeys").as_array()) {
    Erase(json::value_to<std::string>(row));
  }
  changed_.notify_all();
  return JsonResponse(200, {{"Revision", revision_}});
}

http_message store::StartLease(const std::string& body) {
  const double term = json::parse(body).at("TtlS_time").to_number<double>();
  const milliseconds granted(static_cast<int>(term * kMillisPerSecond));
  leases_[++last_lease_] = {granted, Now() + granted};
  return JsonResponse(200, {{"Lease", last_lease_}, {"TtlS_time", term}});
}

void store::Write(const std::string& key,
                  const std::string& value,
                  std::uint64_t id) {
  item& stored = items_[key];
  stored.value = value;
  stored.revision = revision_;
  stored.created = stored.created == 0 ? revision_ : stored.created;
  stored.lease = id;
  history_.push_back({key, revision_, stored});
}

void store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, revision_, std::nullopt});
  }
}

void store::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, stored] : items_) {
    if (stored.lease == id) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key);
  }
  changed_.notify_all();
}

void store::EndLeases() {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, held] : leases_) {
    if (held.ends <= Now()) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    EndLease(id);
  }
}

}  // namespace review
