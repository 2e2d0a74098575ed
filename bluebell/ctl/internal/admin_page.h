// What the pages of the admin address hold, read from their JSON.

#ifndef BLUEBELL_CTL_INTERNAL_ADMIN_PAGE_H_
#define BLUEBELL_CTL_INTERNAL_ADMIN_PAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/result.h"

namespace bluebell::ctl::internal {

struct daemon_row {
  std::string id;
  std::string domain;
  bool live = false;
  bool leaving = false;
  std::uint64_t config_version = 0;
  // Nothing: never heard.
  std::optional<std::int64_t> last_heard_ms;
};

struct endpoint_row {
  std::string id;
  std::string service;
  std::string domain;
  // "serving", "draining" or "lost".
  std::string condition;
  std::string dispatcher;
};

struct service_row {
  std::string name;
  bool keyed = false;
  std::int64_t slices = 0;
  std::int64_t owned = 0;
  std::int64_t moving = 0;
  std::int64_t unassigned = 0;
  std::int64_t table_version = 0;
  std::optional<std::int64_t> proof_age_ms;
};

struct status_page {
  std::string daemon;
  std::string domain;
  std::string region;
  std::uint64_t config_version = 0;
  std::vector<daemon_row> daemons;
  std::vector<endpoint_row> endpoints;
  std::vector<service_row> services;
  bool store_reachable = false;
  std::optional<std::int64_t> store_last_read_ms;
};

struct slice_row {
  std::string first;
  std::string last;
  std::string state;
  std::string owner;
  std::string domain;
  std::int64_t epoch = 0;
  std::string cause;
};

struct placement_row {
  std::string service;
  std::int64_t version = 0;
  std::vector<slice_row> slices;
};

struct explain_page {
  std::string service;
  std::string hash;
  slice_row slice;
  std::string dispatcher;
  std::optional<std::int64_t> since_ms;
  std::vector<std::string> evidence;
};

// One decision on a request.
struct decision_row {
  std::int64_t unix_ms = 0;
  // "dispatch", "forward", "wait", "reject" or "end".
  std::string step;
  std::string service;
  std::string rank;
  // Empty for steps without an endpoint.
  std::string endpoint;
  std::int64_t epoch = 0;
  std::string why;
};

// Fields that a daemon of another release omits are left at their defaults;
// fails only if `text` isn't an object.
result<status_page> ReadStatus(std::string_view text);
result<std::vector<placement_row>> ReadPlacement(std::string_view text);
result<explain_page> ReadExplain(std::string_view text);
// A list of decisions, or an object that holds one as "decisions".
result<std::vector<decision_row>> ReadDecisions(std::string_view text);

// "step peer: error (detail)" of a refusal, or the body as it is.
std::string ReadRefusal(std::string_view text);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_ADMIN_PAGE_H_
