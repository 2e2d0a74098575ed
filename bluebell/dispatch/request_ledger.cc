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

// Stands in for the outcome of a request that ended here but whose outcome was
// dropped, or that another dispatcher was running when it handed over.
const request_outcome kForgotten =
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
      : limits_(limits), began_(complete_from) {}

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
    // Without its record, an id from before `complete_from` would count as
    // possibly run although it is known not to have run.
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
        return {id, kForgotten};
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
    for (const auto& [id, kept] : entries_) {
      records.push_back({id, kept.outcome});
    }
    return records;
  }

  void Adopt(const std::vector<ledger_record>& records,
             wall_instant complete_from) {
    began_ = std::min(began_, complete_from);
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
      SetOutcome(found, record.outcome.value_or(kForgotten));
    }
    DropAnswers();
  }

  wall_instant complete_from() const { return std::max(began_, dropped_); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    bool idempotent = false;
    // Empty while the request is queued or running here.
    std::optional<request_outcome> outcome;
    std::size_t bytes = 0;
    // Its place in `by_end_` if it takes bytes.
    std::uint64_t ended_as = 0;
  };
  using entry_map = std::map<request_id, entry>;

  ledger_verdict AdmitRepeat(entry_map::iterator found, bool idempotent) {
    entry& kept = found->second;
    if (!kept.outcome) {
      return already_running{};
    }
    const outcome_kind kind = KindOf(*kept.outcome);
    const bool did_not_run =
        kind == outcome_kind::kNotRun && !IsWithdrawn(*kept.outcome);
    const bool may_run_again = idempotent && kind == outcome_kind::kUnknown;
    if (did_not_run || may_run_again) {
      Reopen(found, idempotent);
      return first_arrival{};
    }
    if (*kept.outcome == kForgotten) {
      return may_have_run{};
    }
    return already_ended{*kept.outcome};
  }

  // Adds a running entry. Drops another one if there is no room.
  entry_map::iterator Insert(const request_id& id, bool idempotent) {
    while (!entries_.empty() && entries_.size() >= limits_.max_entries) {
      DropOldest();
    }
    return entries_.insert_or_assign(id, entry{idempotent, std::nullopt}).first;
  }

  // Ended entries go first: a running one still receives its outcome. With the
  // entry gone, nothing tells ids of its age from new ones.
  void DropOldest() {
    const request_id oldest =
        ended_.empty() ? entries_.begin()->first : *ended_.begin();
    dropped_ = std::max(dropped_, oldest.issued_at() + milliseconds(1));
    Erase(entries_.find(oldest));
  }

  void Erase(entry_map::iterator where) {
    ClearOutcome(where);
    entries_.erase(where);
  }

  void Reopen(entry_map::iterator where, bool idempotent) {
    ClearOutcome(where);
    where->second.idempotent = idempotent;
  }

  void ClearOutcome(entry_map::iterator where) {
    entry& kept = where->second;
    if (kept.bytes > 0) {
      by_end_.erase(kept.ended_as);
    }
    bytes_ -= kept.bytes;
    kept.bytes = 0;
    kept.outcome.reset();
    ended_.erase(where->first);
  }

  void SetOutcome(entry_map::iterator where, const request_outcome& outcome) {
    ClearOutcome(where);
    entry& kept = where->second;
    kept.outcome = outcome;
    kept.bytes = BytesOf(outcome);
    bytes_ += kept.bytes;
    ended_.insert(where->first);
    if (kept.bytes > 0) {
      kept.ended_as = ends_++;
      by_end_.emplace(kept.ended_as, where->first);
    }
  }

  // Drops the outcomes that ended first until the rest fits.
  void DropAnswers() {
    while (bytes_ > limits_.max_answer_bytes && !by_end_.empty()) {
      SetOutcome(entries_.find(by_end_.begin()->second), kForgotten);
    }
  }

  ledger_limits limits_;
  wall_instant began_;
  // Ids issued before this may have been dropped.
  wall_instant dropped_;
  entry_map entries_;
  std::set<request_id> ended_;
  // The entries whose outcomes take bytes, in the order in which they ended.
  std::map<std::uint64_t, request_id> by_end_;
  std::uint64_t ends_ = 0;
  std::size_t bytes_ = 0;
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
