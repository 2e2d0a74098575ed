// The daemons' own values in the platform's store, and how they are written.
//
//   members/<daemon>   a daemon's announcement, under its lease
//   coordinator        the daemon that assigns keys, under its lease
//   coordinator-history
//                      the same without a lease and, after it, earlier ones
//                      that may still give orders, so that a successor knows
//                      whom it follows
//
// Key tables change often, and only daemons that assign keys or give out slots
// need them, so they stand apart, under bluebell-keys/<service>.

#ifndef BLUEBELL_FLEET_STORE_KEYS_H_
#define BLUEBELL_FLEET_STORE_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/fleet/fleet_member.h"

namespace bluebell {

inline constexpr std::string_view kOwnPrefix = "bluebell/";
inline constexpr std::string_view kMemberPrefix = "bluebell/members/";
inline constexpr std::string_view kTablePrefix = "bluebell-keys/";
inline constexpr std::string_view kCoordinatorKey = "bluebell/coordinator";
// Begins with kCoordinatorKey, so that one listing reads both.
inline constexpr std::string_view kCoordinatorHistoryKey =
    "bluebell/coordinator-history";

std::string MemberKey(const daemon_id& id);
std::string TableKey(const service_name& service);

std::string EncodeMember(const fleet_member& member);
result<fleet_member> DecodeMember(std::string_view key, std::string_view value);

std::string EncodeDaemon(const daemon_instance& daemon);
result<daemon_instance> DecodeDaemon(std::string_view key,
                                     std::string_view value);

std::string EncodeDaemons(const std::vector<daemon_instance>& daemons);
result<std::vector<daemon_instance>> DecodeDaemons(std::string_view key,
                                                   std::string_view value);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_STORE_KEYS_H_
