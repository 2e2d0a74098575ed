#include "bluebell/dispatch/request_ledger.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// Recorded instead of an outcome that was dropped, or for a request that
// another dispatcher was running when it transferred its ledger.
const request_outcome kOutcomeUnknown =
    unknown{unknown_reason::kRepeatOfForgottenRequest, ""};

const request_outcome kWithdrawn =
    not_run{not_run_reason::kWithdrawn, "", milliseconds(0)};

bool IsWithdrawn(const request_outcome& outcome) {
  const auto* refusal = std::get_if<not_run>(&outcome);
  return refusal != nullptr && refusal->reason == not_run_reason::kWithdrawn;
}

std::size_t BytesOf(const request_outcome& outcome) {
  return std::visit(overloaded{[](const answer& v) {
                                 std::size_t bytes = v.body.size();
                                 for (const http_header& line : v.headers) {
                                   bytes +=
                                       line.name.size() + line.value.size();
                                 }
                                 return bytes;
                               },
                               [](const auto& v) { return v.detail.size(); }},
                    outcome);
}

}  // namespace

class request_ledger::state {
 public:
  state(const ledger_limits& limits, wall_instant complete_from)
      : limits_(limits), requested_complete_from_(complete_from) {}

  ledger_verdict Admit(const request_id& id,
                       bool idempotent,
                       wall_instant now) {
    if (id.issued_at() > now + limits_.max_clock_error) {
      return issued_in_future{};
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
      if (!idempotent && id.issued_at() < complete_from()) {
        return may_have_run{};
      }
      Insert(id, idempotent);
      return first_arrival{};
    }
    return AdmitRepeat(found, idempotent);
  }

  void End(const request_id& id, const request_outcome& outcome) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
      return;
    }
    const bool frees_id =
        KindOf(outcome) == outcome_kind::kNotRun && !IsWithdrawn(outcome);
    // Without a record, a request issued before `complete_from` would count as
    // possibly run, although it is known not to have run.
    const bool needs_record =
        !found->second.idempotent && id.issued_at() < complete_from();
    if (frees_id && !needs_record) {
      Erase(found);
      return;
    }
    SetOutcome(found, outcome);
    DropAnswers();
  }

  std::optional<ledger_record> Find(const request_id& id) const {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
      return std::nullopt;
    }
    return ledger_record{id, found->second.outcome};
  }

  ledger_record Withdraw(const request_id& id) {
    auto found = entries_.find(id);
    if (found == entries_.end()) {
      if (id.issued_at() < complete_from()) {
        return {id, kOutcomeUnknown};
      }
      found = Insert(id, false);
      SetOutcome(found, kWithdrawn);
    } else if (found->second.outcome &&
               KindOf(*found->second.outcome) == outcome_kind::kNotRun) {
      SetOutcome(found, kWithdrawn);
    }
    return {id, found->second.outcome};
  }

  std::vector<ledger_record> Export() const {
    std::vector<ledger_record> records;
    records.reserve(entries_.size());
    for (const auto& [id, recorded] : entries_) {
      records.push_back({id, recorded.outcome});
    }
    return records;
  }

  void Adopt(const std::vector<ledger_record>& records,
             wall_instant complete_from) {
    requested_complete_from_ =
        std::min(requested_complete_from_, complete_from);
    for (const ledger_record& record : records) {
      auto found = entries_.find(record.id);
      if (found != entries_.end() && !found->second.outcome) {
        continue;
      }
      if (found == entries_.end()) {
        found = Insert(record.id, false);
      } else if (!record.outcome) {
        continue;
      }
      SetOutcome(found, record.outcome.value_or(kOutcomeUnknown));
    }
    DropAnswers();
  }

  wall_instant complete_from() const {
    return std::max(requested_complete_from_, dropped_before_);
  }
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    bool idempotent = false;
    // Empty while the request is queued or running here.
    std::optional<request_outcome> outcome;
    std::size_t bytes = 0;
    // The key in `ids_by_end_number_` if `bytes` isn't zero.
    std::uint64_t end_number = 0;
  };
  using entry_map = std::map<request_id, entry>;

  ledger_verdict AdmitRepeat(entry_map::iterator found, bool idempotent) {
    entry& recorded = found->second;
    if (!recorded.outcome) {
      return already_running{};
    }
    const outcome_kind kind = KindOf(*recorded.outcome);
    const bool did_not_run =
        kind == outcome_kind::kNotRun && !IsWithdrawn(*recorded.outcome);
    const bool may_run_again = idempotent && kind == outcome_kind::kUnknown;
    if (did_not_run || may_run_again) {
      Reopen(found, idempotent);
      return first_arrival{};
    }
    if (*recorded.outcome == kOutcomeUnknown) {
      return may_have_run{};
    }
    return already_ended{*recorded.outcome};
  }

  // Adds an entry without an outcome. Drops another entry if the limit is
  // reached.
  entry_map::iterator Insert(const request_id& id, bool idempotent) {
    while (!entries_.empty() && entries_.size() >= limits_.max_entries) {
      DropOldest();
    }
    return entries_.insert_or_assign(id, entry{idempotent, std::nullopt}).first;
  }

  // Drops the oldest ended entry, or the oldest of all if none has ended: a
  // running request still gets its outcome. After that, ids issued up to the
  // time of the dropped one can't be told from new ones.
  void DropOldest() {
    const request_id oldest =
        ended_ids_.empty() ? entries_.begin()->first : *ended_ids_.begin();
    dropped_before_ =
        std::max(dropped_before_, oldest.issued_at() + milliseconds(1));
    Erase(entries_.find(oldest));
  }

  void Erase(entry_map::iterator entry_position) {
    ClearOutcome(entry_position);
    entries_.erase(entry_position);
  }

  void Reopen(entry_map::iterator entry_position, bool idempotent) {
    ClearOutcome(entry_position);
    entry_position->second.idempotent = idempotent;
  }

  void ClearOutcome(entry_map::iterator entry_position) {
    entry& recorded = entry_position->second;
    if (recorded.bytes > 0) {
      ids_by_end_number_.erase(recorded.end_number);
    }
    total_bytes_ -= recorded.bytes;
    recorded.bytes = 0;
    recorded.outcome.reset();
    ended_ids_.erase(entry_position->first);
  }

  void SetOutcome(entry_map::iterator entry_position,
                  const request_outcome& outcome) {
    ClearOutcome(entry_position);
    entry& recorded = entry_position->second;
    recorded.outcome = outcome;
    recorded.bytes = BytesOf(outcome);
    total_bytes_ += recorded.bytes;
    ended_ids_.insert(entry_position->first);
    if (recorded.bytes > 0) {
      recorded.end_number = next_end_number_++;
      ids_by_end_number_.emplace(recorded.end_number, entry_position->first);
    }
  }

  // Drops the outcomes of the requests that ended first until the rest is
  // within the limit.
  void DropAnswers() {
    while (total_bytes_ > limits_.max_answer_bytes &&
           !ids_by_end_number_.empty()) {
      SetOutcome(entries_.find(ids_by_end_number_.begin()->second),
                 kOutcomeUnknown);
    }
  }

  ledger_limits limits_;
  wall_instant requested_complete_from_;
  // Ids issued before this time may have been dropped.
  wall_instant dropped_before_;
  entry_map entries_;
  std::set<request_id> ended_ids_;
  // The ids whose outcomes take bytes, in the order in which the requests
  // ended.
  std::map<std::uint64_t, request_id> ids_by_end_number_;
  std::uint64_t next_end_number_ = 0;
  std::size_t total_bytes_ = 0;
};

request_ledger::request_ledger(const ledger_limits& limits,
                               wall_instant complete_from)
    : state_(std::make_unique<state>(limits, complete_from)) {}
request_ledger::request_ledger(request_ledger&& other) noexcept = default;
request_ledger& request_ledger::operator=(request_ledger&& other) noexcept =
    default;
request_ledger::~request_ledger() = default;

ledger_verdict request_ledger::Admit(const request_id& id,
                                     bool idempotent,
                                     wall_instant now) {
  return state_->Admit(id, idempotent, now);
}

void request_ledger::End(const request_id& id, const request_outcome& outcome) {
  state_->End(id, outcome);
}

std::optional<ledger_record> request_ledger::Find(const request_id& id) const {
  return state_->Find(id);
}

ledger_record request_ledger::Withdraw(const request_id& id) {
  return state_->Withdraw(id);
}

std::vector<ledger_record> request_ledger::Export() const {
  return state_->Export();
}

void request_ledger::Adopt(const std::vector<ledger_record>& records,
                           wall_instant complete_from) {
  state_->Adopt(records, complete_from);
}

wall_instant request_ledger::complete_from() const {
  return state_->complete_from();
}

std::size_t request_ledger::size() const {
  return state_->size();
}

}  // namespace bluebell
