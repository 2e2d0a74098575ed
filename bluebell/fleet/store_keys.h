// Keys and JSON encoding of the values that daemons write to the platform's
// store. Below the prefix bluebell/:
//
//   members/<daemon>     a daemon's announcement, under its lease
//   coordinator          the daemon that assigns keys, under its lease
//   coordinator-history  the same daemon without a lease, followed by earlier
//                        coordinators that may still send orders, so that the
//                        next coordinator knows which ones it has to exclude
//
// Key tables have a prefix of their own, bluebell-keys/<service>, because they
// change often and only daemons that assign keys or give out slots read them.
//
//   result<fleet_member> member = DecodeMember(MemberKey(id), value);

#ifndef BLUEBELL_FLEET_STORE_KEYS_H_
#define BLUEBELL_FLEET_STORE_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/fleet/coordinator_record.h"
#include "bluebell/fleet/fleet_member.h"

namespace bluebell {

inline constexpr std::string_view kDaemonStatePrefix = "bluebell/";
inline constexpr std::string_view kMemberPrefix = "bluebell/members/";
inline constexpr std::string_view kTablePrefix = "bluebell-keys/";
inline constexpr std::string_view kCoordinatorKey = "bluebell/coordinator";
// Begins with kCoordinatorKey, so that one listing returns both values.
inline constexpr std::string_view kCoordinatorHistoryKey =
    "bluebell/coordinator-history";

// Keys of a daemon's announcement and of the key table of a service.
std::string MemberKey(const daemon_id& id);
std::string TableKey(const service_name& service);

// The Decode...() functions fail if `value` is malformed, with
// errc::kMalformedMessage or, for a malformed peer address, the error of
// address::Parse(). DecodeMember() takes the daemon's id from `key`; the others
// use `key` in their error only.
std::string EncodeMember(const fleet_member& member);
result<fleet_member> DecodeMember(std::string_view key, std::string_view value);

std::string EncodeDaemon(const daemon_instance& daemon);
result<daemon_instance> DecodeDaemon(std::string_view key,
                                     std::string_view value);

std::string EncodeHistory(const std::vector<coordinator_record>& history);
result<std::vector<coordinator_record>> DecodeHistory(std::string_view key,
                                                      std::string_view value);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_STORE_KEYS_H_
