#include "bluebell/control/local_table.h"

#include <algorithm>
#include <utility>

#include "bluebell/placement/table_json.h"

namespace bluebell {

local_table::local_table(const service_spec& spec, placement_table initial)
    : spec_(spec),
      replica_(std::move(initial)),
      sync_(TableKey(spec.name, replica_.table().shard())) {}

bool local_table::can_write() const {
  return stored_table_version_ == table().version() && !sync_.writing();
}

std::optional<instant> local_table::SliceStateSince(key_hash first) const {
  const auto found = slice_state_since_.find(first);
  if (found == slice_state_since_.end()) {
    return std::nullopt;
  }
  return found->second;
}

adoption local_table::AdoptTable(const placement_table& table,
                                 std::string text,
                                 instant now) {
  const placement_table before = replica_.table();
  const adoption taken = replica_.Adopt(table, now);
  if (taken != adoption::kAdopted) {
    return taken;
  }
  text_ = std::move(text);
  std::map<key_hash, instant> since;
  for (const slice& current : table.slices()) {
    since[current.range.first] = StateSince(before, current, now);
  }
  slice_state_since_ = std::move(since);
  return taken;
}

instant local_table::StateSince(const placement_table& before,
                                const slice& current,
                                instant now) const {
  // A split or a merge does not change the owner, so both bounds are compared
  // with the slices that contained them before.
  const slice& left = before.FindSlice(current.range.first);
  const slice& right = before.FindSlice(current.range.last);
  const auto owner = OwnerOf(current.state);
  const bool same_owner =
      owner && owner == OwnerOf(left.state) && owner == OwnerOf(right.state);
  if (!same_owner && left.state != current.state) {
    return now;
  }
  return std::max(SliceStateSince(left.range.first).value_or(now),
                  SliceStateSince(right.range.first).value_or(now));
}

local_table::update local_table::HandleRead(const store_read_done& event,
                                            instant now) {
  const instant sent_at = sync_.FinishRead(event.value.has_value());
  if (!event.value) {
    return {};
  }
  const store_value& stored = event.value.value();
  if (stored.version == store_version()) {
    stored_table_version_ = table_version();
    update outcome;
    outcome.own_write = sync_.ResolveWrite(stored.version, change_id());
    return outcome;
  }
  if (!sync_.writing() && stored_table_version_ == table().version() &&
      stored.value == text_) {
    // The common case: the value is unchanged and need not be parsed. The read
    // proves that the version is current.
    sync_.ResolveWrite(stored.version, table().change());
    replica_.RecordProof(table().version(), sent_at);
    return {};
  }
  const result<placement_table> parsed = ParseTable(stored.value);
  if (!parsed) {
    update outcome;
    outcome.parse_error = parsed.error().ToString();
    return outcome;
  }
  update outcome;
  stored_table_version_ = parsed.value().version();
  outcome.own_write =
      sync_.ResolveWrite(stored.version, parsed.value().change());
  outcome.result = AdoptTable(parsed.value(), stored.value, now);
  if (outcome.own_write != write_resolution::kNoWrite &&
      outcome.own_write != write_resolution::kUnresolved) {
    table_being_written_.reset();
  }
  replica_.RecordProof(parsed.value().version(), sent_at);
  return outcome;
}

local_table::update local_table::HandleWrite(const store_write_done& event,
                                             instant now) {
  update outcome;
  outcome.own_write = sync_.FinishWrite(event.outcome);
  if (outcome.own_write == write_resolution::kApplied && table_being_written_) {
    stored_table_version_ = table_being_written_->version();
    outcome.result =
        AdoptTable(*table_being_written_, std::move(text_being_written_), now);
    replica_.RecordProof(table_being_written_->version(),
                         sync_.write_sent_at());
    table_being_written_.reset();
  }
  return outcome;
}

local_table::update local_table::HandlePeerTable(std::string_view text,
                                                 instant now) {
  const result<placement_table> parsed = ParseTable(text);
  if (!parsed) {
    update outcome;
    outcome.parse_error = parsed.error().ToString();
    return outcome;
  }
  if (parsed.value().service() != spec_.name) {
    return {};
  }
  update outcome;
  outcome.result = AdoptTable(parsed.value(), std::string(text), now);
  return outcome;
}

void local_table::HandlePeerStatus(const daemon_instance& peer,
                                   table_version version,
                                   std::optional<duration> proof_age,
                                   instant received_at,
                                   std::optional<instant> pinged_at) {
  peers_.Record(peer, version, received_at, pinged_at);
  replica_.ObserveVersion(version);
  if (proof_age && pinged_at) {
    // The peer wrote the message after this daemon sent the ping that it
    // echoes, so the proof is no older than `proof_age` before `pinged_at`.
    replica_.RecordProof(version, *pinged_at - *proof_age);
  }
}

result<write_store> local_table::StartWrite(std::span<const table_edit> edits,
                                            const change_id& change,
                                            instant now) {
  result<placement_table> next = table().Apply(edits, change);
  if (!next) {
    return next.error();
  }
  table_being_written_ = std::move(next.value());
  text_being_written_ = TableToJson(*table_being_written_);
  return sync_.StartWrite(text_being_written_, change, now);
}

}  // namespace bluebell
