#include "bluebell/control/table_keeper.h"

#include <algorithm>
#include <utility>

#include "bluebell/placement/table_json.h"

namespace bluebell {

table_keeper::table_keeper(const service_spec& spec, placement_table initial)
    : spec_(spec),
      replica_(std::move(initial)),
      sync_(TableKey(spec.name, replica_.table().shard())) {}

bool table_keeper::can_write() const {
  return stored_ == table().version() && !sync_.writing();
}

std::optional<instant> table_keeper::SliceSince(key_hash first) const {
  const auto found = slice_since_.find(first);
  if (found == slice_since_.end()) {
    return std::nullopt;
  }
  return found->second;
}

adoption table_keeper::Take(const placement_table& table,
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
  slice_since_ = std::move(since);
  return taken;
}

instant table_keeper::StateSince(const placement_table& before,
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
  return std::max(SliceSince(left.range.first).value_or(now),
                  SliceSince(right.range.first).value_or(now));
}

table_keeper::update table_keeper::HandleRead(const store_read_done& event,
                                              instant now) {
  const instant sent_at = sync_.FinishRead(event.value.has_value());
  if (!event.value) {
    return {};
  }
  const store_value& stored = event.value.value();
  if (stored.version == store_version()) {
    stored_ = table_version();
    update outcome;
    outcome.own_write = sync_.Settle(stored.version, change_id());
    return outcome;
  }
  if (!sync_.writing() && stored_ == table().version() &&
      stored.value == text_) {
    // The common case: the value is unchanged and need not be parsed. The read
    // proves that the version is current.
    sync_.Settle(stored.version, table().change());
    replica_.RecordProof(table().version(), sent_at);
    return {};
  }
  const result<placement_table> parsed = ParseTable(stored.value);
  if (!parsed) {
    update outcome;
    outcome.problem = parsed.error().ToString();
    return outcome;
  }
  update outcome;
  stored_ = parsed.value().version();
  outcome.own_write = sync_.Settle(stored.version, parsed.value().change());
  outcome.result = Take(parsed.value(), stored.value, now);
  if (outcome.own_write != write_fate::kNoWrite &&
      outcome.own_write != write_fate::kOpen) {
    written_.reset();
  }
  replica_.RecordProof(parsed.value().version(), sent_at);
  return outcome;
}

table_keeper::update table_keeper::HandleWrite(const store_write_done& event,
                                               instant now) {
  update outcome;
  outcome.own_write = sync_.FinishWrite(event.outcome);
  if (outcome.own_write == write_fate::kApplied && written_) {
    stored_ = written_->version();
    outcome.result = Take(*written_, std::move(written_text_), now);
    replica_.RecordProof(written_->version(), sync_.write_sent_at());
    written_.reset();
  }
  return outcome;
}

table_keeper::update table_keeper::HandlePeerTable(std::string_view text,
                                                   instant now) {
  const result<placement_table> parsed = ParseTable(text);
  if (!parsed) {
    update outcome;
    outcome.problem = parsed.error().ToString();
    return outcome;
  }
  if (parsed.value().service() != spec_.name) {
    return {};
  }
  update outcome;
  outcome.result = Take(parsed.value(), std::string(text), now);
  return outcome;
}

void table_keeper::HandlePeerStatus(const daemon_instance& peer,
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

result<write_store> table_keeper::StartWrite(std::span<const table_edit> edits,
                                             const change_id& change,
                                             instant now) {
  result<placement_table> next = table().Apply(edits, change);
  if (!next) {
    return next.error();
  }
  written_ = std::move(next.value());
  written_text_ = TableToJson(*written_);
  return sync_.StartWrite(written_text_, change, now);
}

}  // namespace bluebell
