#include "testing/platform_standin.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <charconv>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bluebell/store/host_json.h"
#include "bluebell/store/http_platform.h"
#include "testing/http_server.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr std::size_t kMaxValueBytes = 1U << 20U;

// A target such as "/watch/KEY?after=3".
struct parsed_target {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;

  std::uint64_t NumberAt(const std::string& field) const {
    const auto found = query.find(field);
    std::uint64_t number = 0;
    if (found != query.end()) {
      const std::string& text = found->second;
      std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
  }
};

parsed_target ParseTarget(std::string_view text) {
  parsed_target target;
  const std::size_t mark = std::min(text.find('?'), text.size());
  const std::string_view path = text.substr(0, mark);
  const std::size_t slash = std::min(path.find('/', 1), path.size());
  target.kind = path.substr(0, slash);
  target.name = slash < path.size() ? path.substr(slash + 1) : "";
  std::string_view rest = text.substr(std::min(mark + 1, text.size()));
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view field = rest.substr(0, end);
    const std::size_t equals = std::min(field.find('='), field.size());
    target.query[std::string(field.substr(0, equals))] =
        field.substr(std::min(equals + 1, field.size()));
    rest = rest.substr(std::min(end + 1, rest.size()));
  }
  return target;
}

struct stored_value {
  std::string value;
  std::uint64_t version = 0;
};

}  // namespace

class platform_standin::impl
    : public std::enable_shared_from_this<platform_standin::impl> {
 public:
  explicit impl(asio::io_context& io) : io_(io) {}

  result<void> Start(const address& listen) {
    auto server = http_server::Start(
        io_, {listen, 20'000, milliseconds(0)},
        [weak = weak_from_this()](const http_request& request,
                                  const http_responder& respond) {
          if (const auto self = weak.lock()) {
            self->Handle(request, respond);
          }
        });
    if (!server) {
      return server.error();
    }
    server_ = server.value();
    return boost::outcome_v2::success();
  }

  void Stop() {
    server_->Stop();
    watchers_.clear();
    for (const auto& timer : timers_) {
      timer->cancel();
    }
  }

 private:
  struct watcher {
    std::string key;
    std::uint64_t number;
    http_responder respond;
  };

  void Handle(const http_request& request, const http_responder& respond) {
    const parsed_target target =
        ParseTarget({request.target().data(), request.target().size()});
    if (target.kind == "/faults") {
      SetFaults(request.body());
      respond(JsonResponse(200, "{}"));
      return;
    }
    if (target.kind == "/stats") {
      respond(JsonResponse(200, json::serialize(json::value_from(calls_))));
      return;
    }
    if (target.kind == "/hosts" && request.method() == bhttp::verb::put) {
      SetHosts(request.body(), respond);
      return;
    }
    ++calls_[KindOf(request, target)];
    if (outage_) {
      // Held without an answer, as a server that is down behind a switch.
      return;
    }
    After(latency_, [self = shared_from_this(), request, target, respond] {
      self->Serve(request, target, respond);
    });
  }

  static std::string KindOf(const http_request& request,
                            const parsed_target& target) {
    const auto method = request.method_string();
    return std::string(method.data(), method.size()) + ' ' + target.kind;
  }

  void Serve(const http_request& request,
             const parsed_target& target,
             const http_responder& respond) {
    const bool is_put = request.method() == bhttp::verb::put;
    if (target.kind == "/kv" && is_put) {
      Put(request.body(), target, respond);
    } else if (target.kind == "/kv") {
      respond(ValueResponse(target.name));
    } else if (target.kind == "/watch") {
      Watch(target, respond);
    } else if (target.kind == "/hosts") {
      respond(JsonResponse(200, hosts_));
    } else if (target.kind == "/lease") {
      Lease(target, respond);
    } else {
      respond(JsonResponse(404, R"({"error":"unknown path"})"));
    }
  }

  void SetFaults(const std::string& body) {
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    const json::object* fields = failure ? nullptr : parsed.if_object();
    if (fields == nullptr) {
      return;
    }
    if (const json::value* outage = fields->if_contains("outage")) {
      outage_ = outage->as_bool();
    }
    if (const json::value* lose = fields->if_contains("lose_answers")) {
      lose_answers_ = lose->as_bool();
    }
    if (const json::value* latency = fields->if_contains("latency_ms")) {
      latency_ = milliseconds(latency->to_number<std::int64_t>());
    }
  }

  void SetHosts(const std::string& body, const http_responder& respond) {
    const auto hosts = ParseHosts(body);
    if (!hosts) {
      respond(JsonResponse(400, json::serialize(json::object{
                                    {"error", hosts.error().ToString()}})));
      return;
    }
    hosts_ = HostsToJson(hosts.value());
    respond(JsonResponse(200, "{}"));
  }

  void Put(const std::string& value,
           const parsed_target& target,
           const http_responder& respond) {
    if (value.size() > kMaxValueBytes) {
      respond(JsonResponse(413, R"({"error":"value over 1 MB"})"));
      return;
    }
    const std::uint64_t lease = target.NumberAt("lease");
    if (lease != 0 && !leases_.contains(lease)) {
      respond(JsonResponse(410, R"({"error":"lease has expired"})"));
      return;
    }
    stored_value& stored = values_[target.name];
    if (stored.version != target.NumberAt("if_version")) {
      respond(VersionResponse(409, stored.version));
      return;
    }
    stored = {value, ++last_version_};
    if (lease != 0) {
      leases_[lease].keys.insert(target.name);
    }
    Wake(target.name);
    if (!lose_answers_) {
      respond(VersionResponse(200, stored.version));
    }
  }

  void Watch(const parsed_target& target, const http_responder& respond) {
    if (values_[target.name].version > target.NumberAt("after")) {
      respond(ValueResponse(target.name));
      return;
    }
    const std::uint64_t number = ++last_watcher_;
    watchers_.push_back({target.name, number, respond});
    After(milliseconds(target.NumberAt("timeout_ms")),
          [self = shared_from_this(), number] {
            self->Answer(
                [&](const watcher& entry) { return entry.number == number; });
          });
  }

  void Wake(const std::string& key) {
    Answer([&](const watcher& entry) { return entry.key == key; });
  }

  template <typename Predicate>
  void Answer(const Predicate& chosen) {
    std::vector<watcher> rest;
    for (watcher& entry : std::exchange(watchers_, {})) {
      if (!chosen(entry)) {
        rest.push_back(std::move(entry));
      } else if (!outage_) {
        entry.respond(ValueResponse(entry.key));
      }
    }
    watchers_ = std::move(rest);
  }

  // POST /lease?ttl_ms=T and POST /lease/<id>/keepalive.
  void Lease(const parsed_target& target, const http_responder& respond) {
    std::uint64_t id = 0;
    if (target.name.empty()) {
      id = ++last_lease_;
      leases_[id].ttl = milliseconds(target.NumberAt("ttl_ms"));
    } else {
      std::from_chars(target.name.data(),
                      target.name.data() + target.name.size(), id);
    }
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      respond(JsonResponse(410, R"({"error":"lease has expired"})"));
      return;
    }
    const std::uint64_t renewal = ++found->second.renewals;
    After(found->second.ttl, [self = shared_from_this(), id, renewal] {
      self->Expire(id, renewal);
    });
    respond(JsonResponse(200, json::serialize(json::object{{"lease", id}})));
  }

  void Expire(std::uint64_t id, std::uint64_t renewal) {
    const auto found = leases_.find(id);
    if (found == leases_.end() || found->second.renewals != renewal) {
      return;
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    leases_.erase(found);
    for (const std::string& key : keys) {
      values_.erase(key);
      Wake(key);
    }
  }

  http_response ValueResponse(const std::string& key) {
    const stored_value& stored = values_[key];
    if (stored.version == 0) {
      return JsonResponse(404, "{}");
    }
    http_response response = JsonResponse(200, stored.value);
    SetVersion(response, stored.version);
    return response;
  }

  static http_response VersionResponse(unsigned status, std::uint64_t version) {
    http_response response = JsonResponse(
        status, json::serialize(json::object{{"version", version}}));
    SetVersion(response, version);
    return response;
  }

  static void SetVersion(http_response& response, std::uint64_t version) {
    response.set(boost::beast::string_view(kPlatformVersionHeader.data(),
                                           kPlatformVersionHeader.size()),
                 std::to_string(version));
  }

  template <typename Action>
  void After(milliseconds wait, Action action) {
    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timers_.insert(timer);
    timer->async_wait(
        [self = shared_from_this(), timer, action = std::move(action)](
            const boost::system::error_code& cancelled) {
          self->timers_.erase(timer);
          if (!cancelled) {
            action();
          }
        });
  }

  struct lease_entry {
    milliseconds ttl{0};
    std::uint64_t renewals = 0;
    std::set<std::string> keys;
  };

  asio::io_context& io_;
  std::shared_ptr<http_server> server_;
  std::set<std::shared_ptr<asio::steady_timer>> timers_;
  std::map<std::string, stored_value> values_;
  std::map<std::uint64_t, lease_entry> leases_;
  std::vector<watcher> watchers_;
  std::string hosts_ = "[]";
  std::map<std::string, std::uint64_t> calls_;
  milliseconds latency_{0};
  bool outage_ = false;
  bool lose_answers_ = false;
  // Versions rise over all keys, so that a key that comes back after its lease
  // expired never repeats a version.
  std::uint64_t last_version_ = 0;
  std::uint64_t last_watcher_ = 0;
  std::uint64_t last_lease_ = 0;
};

result<std::unique_ptr<platform_standin>> platform_standin::Start(
    asio::io_context& io,
    const address& listen) {
  auto state = std::make_shared<impl>(io);
  const result<void> started = state->Start(listen);
  if (!started) {
    return started.error();
  }
  return std::unique_ptr<platform_standin>(
      new platform_standin(std::move(state)));
}

platform_standin::platform_standin(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

platform_standin::~platform_standin() {
  impl_->Stop();
}

}  // namespace bluebell
