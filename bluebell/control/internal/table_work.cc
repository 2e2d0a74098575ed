#include <algorithm>
#include <sstream>
#include <utility>

#include "bluebell/control/internal/control_impl.h"
#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// A daemon reads a table from the store if the proof of its version is older
// than the read interval plus this time for each daemon that ranks before it.
constexpr milliseconds kTableReaderDelayStep{150};
constexpr milliseconds kConfigReadInterval{500};
constexpr seconds kConfigReaderDelayStep{1};
constexpr seconds kHostsReadInterval{2};

// Returns the log fields of an edit.
struct edit_log_fields {
  std::vector<std::pair<std::string, std::string>> operator()(
      const begin_move& edit) const {
    return {{"edit", "begin_move"},
            {"slice", Text(edit.range)},
            {"cause", std::string(ToString(edit.cause))},
            {"to", edit.to ? edit.to->value() : ""}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const assign_slice& edit) const {
    return {{"edit", "assign"},
            {"slice", Text(edit.range)},
            {"owner", Text(edit.owner)},
            {"domain", edit.domain.value()}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const split_slice& edit) const {
    return {{"edit", "split"}, {"slice", Text(edit.range)}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const merge_slices& edit) const {
    return {{"edit", "merge"}, {"slice", Text(edit.left)}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const set_roster& edit) const {
    std::string members;
    for (const daemon_instance& member : edit.members) {
      members += (members.empty() ? "" : " ") + Text(member);
    }
    return {{"edit", "set_roster"},
            {"domain", edit.domain.value()},
            {"members", members}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const clear_former_rosters& edit) const {
    return {{"edit", "clear_former_rosters"}, {"domain", edit.domain.value()}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const declare_lost& edit) const {
    return {{"edit", "declare_lost"}, {"domain", edit.domain.value()}};
  }

  template <typename Value>
  static std::string Text(const Value& value) {
    std::ostringstream text;
    text << value;
    return text.str();
  }
};

}  // namespace

void control_state::impl::operator()(const store_read_done& event) {
  if (event.key == config_.sync().key()) {
    const config_version before = config_.config().version();
    config_.HandleRead(event);
    announce_ = announce_ || config_.config().version() != before;
    WriteConfig();
    return;
  }
  for (auto& [service, keeper] : keepers_) {
    if (keeper.sync().key() == event.key) {
      NoticeUpdate(service, keeper.HandleRead(event, now_));
      WorkOnTable(service, keeper);
    }
  }
}

void control_state::impl::operator()(const store_write_done& event) {
  if (event.key == config_.sync().key()) {
    const config_version before = config_.config().version();
    config_.HandleWrite(event);
    if (config_.sync().in_doubt()) {
      ReadConfig();
    }
    announce_ = announce_ || config_.config().version() != before;
    WriteConfig();
    return;
  }
  for (auto& [service, keeper] : keepers_) {
    if (keeper.sync().key() == event.key) {
      NoticeUpdate(service, keeper.HandleWrite(event, now_));
      WorkOnTable(service, keeper);
    }
  }
}

void control_state::impl::NoticeUpdate(const service_name& service,
                                       const table_keeper::update& change) {
  if (!change.problem.empty()) {
    Log("unreadable placement table",
        {{"service", service.value()}, {"problem", change.problem}});
  }
  if (change.own_write == write_fate::kApplied) {
    LogEdits(service);
    FinishDeclarations(service);
    tasks_.at(service).proposer.NoticeWritten(tasks_.at(service).written,
                                              service);
  }
  if (change.own_write == write_fate::kApplied ||
      change.own_write == write_fate::kOvertaken) {
    tasks_.at(service).written.clear();
    tasks_.at(service).wanted_since.reset();
  }
  if (change.result == adoption::kForked) {
    Violation(
        "one table version, one content",
        "service " + service.value() + " version " +
            std::to_string(keepers_.at(service).table().version().value()));
  }
  if (change.result == adoption::kAdopted) {
    announce_ = true;
    IndexSlices(service);
    SendLeases();
    Publish();
  }
}

void control_state::impl::LogEdits(const service_name& service) {
  for (const table_edit& edit : tasks_.at(service).written) {
    std::vector<std::pair<std::string, std::string>> fields =
        std::visit(edit_log_fields(), edit);
    fields.insert(
        fields.begin(),
        {{"service", service.value()},
         {"version",
          std::to_string(keepers_.at(service).table().version().value())}});
    Log("placement changed", std::move(fields));
  }
}

void control_state::impl::FinishDeclarations(const service_name& service) {
  for (const table_edit& edit : tasks_.at(service).written) {
    const auto* lost = std::get_if<declare_lost>(&edit);
    if (!lost) {
      continue;
    }
    for (declaration& declared : declarations_) {
      if (declared.command.domain == lost->domain) {
        declared.open.erase(service);
      }
    }
  }
  std::erase_if(declarations_, [&](const declaration& declared) {
    if (declared.open.empty()) {
      actions_.emplace_back(
          answer_operator{declared.token, {200, R"({"declared":true})"}});
    }
    return declared.open.empty();
  });
}

void control_state::impl::ReadStore() {
  for (auto& [service, keeper] : keepers_) {
    ReadTable(keeper);
  }
  const value_sync& config = config_.sync();
  const int rank =
      RankFor("read/" + config.key(), view_.LiveIn(view_.domain(), now_));
  const duration wait = kConfigReadInterval + rank * kConfigReaderDelayStep;
  if (!config.last_read_at() || now_ - *config.last_read_at() >= wait) {
    ReadConfig();
  }
  ReadHosts();
}

void control_state::impl::ReadTable(table_keeper& keeper) {
  const value_sync& sync = keeper.sync();
  if (sync.reading()) {
    return;
  }
  const timing_settings& timing = settings_.timing;
  const int rank =
      RankFor("read/" + sync.key(), view_.LiveIn(view_.domain(), now_));
  const duration max_proof_age =
      timing.table_read_interval + rank * kTableReaderDelayStep;
  const auto proven = keeper.replica().proven_at();
  const bool proof_too_old = !proven || now_ - *proven >= max_proof_age;
  const bool interval_elapsed =
      !sync.last_read_at() ||
      now_ - *sync.last_read_at() >= timing.table_read_interval;
  if (proof_too_old && interval_elapsed) {
    actions_.emplace_back(keeper.sync().StartRead(now_));
  }
}

void control_state::impl::ReadConfig() {
  if (!config_.sync().reading()) {
    actions_.emplace_back(config_.sync().StartRead(now_));
  }
}

void control_state::impl::WriteConfig() {
  if (auto write = config_.NextWrite(NextChange(), now_, wall_now_)) {
    actions_.emplace_back(std::move(*write));
  }
}

void control_state::impl::ReadHosts() {
  const bool due =
      !hosts_read_at_ || now_ - *hosts_read_at_ >= kHostsReadInterval;
  if (due && !reading_hosts_) {
    reading_hosts_ = true;
    hosts_read_at_ = now_;
    actions_.emplace_back(read_hosts{});
  }
}

void control_state::impl::WorkOnTable(const service_name& service,
                                      table_keeper& keeper) {
  table_task& proposal = tasks_.at(service);
  value_sync& sync = keeper.sync();
  if (sync.in_doubt()) {
    if (sync.last_answer_at() > sync.write_sent_at()) {
      actions_.emplace_back(sync.Resend(now_));
    } else if (!sync.reading()) {
      actions_.emplace_back(sync.StartRead(now_));
    }
    return;
  }
  if (sync.writing() || keeper.replica().stale()) {
    return;
  }
  const std::vector<table_edit> edits = WantedEdits(service, keeper);
  if (edits.empty()) {
    proposal.wanted_since.reset();
    return;
  }
  proposal.wanted_since = proposal.wanted_since.value_or(now_);
  const int rank = RankFor("propose/" + sync.key(), view_.Live(now_));
  if (now_ - *proposal.wanted_since >= rank * settings_.timing.proposer_step) {
    WriteTable(service, keeper, edits);
  }
}

void control_state::impl::WriteTable(const service_name& service,
                                     table_keeper& keeper,
                                     const std::vector<table_edit>& edits) {
  if (!keeper.can_write()) {
    if (!keeper.sync().reading()) {
      actions_.emplace_back(keeper.sync().StartRead(now_));
    }
    return;
  }
  result<write_store> write = keeper.StartWrite(edits, NextChange(), now_);
  if (!write) {
    Violation("proposed edits fit the table", write.error().ToString());
    return;
  }
  tasks_.at(service).written = edits;
  actions_.emplace_back(std::move(write.value()));
}

std::vector<table_edit> control_state::impl::WantedEdits(
    const service_name& service,
    table_keeper& keeper) {
  std::vector<table_edit> edits;
  for (const declaration& declared : declarations_) {
    if (declared.open.contains(service)) {
      edits.emplace_back(declare_lost{declared.command.domain});
    }
  }
  if (!edits.empty() || leaving_) {
    return edits;
  }
  std::vector<endpoint_info> endpoints;
  for (const endpoint_info& endpoint : endpoints_) {
    if (endpoint.service == service) {
      endpoints.push_back(endpoint);
    }
  }
  const std::set<domain_name> silent = AgreedSilentDomains();
  const policy_values values = config_.config().ValuesFor(
      {service, domain_name(), endpoint_id(), caller_name()});
  const auto& hosts = registry_.hosts();
  const auto listed_endpoints = std::count_if(
      hosts.begin(), hosts.end(),
      [&](const host_entry& host) { return host.service == service; });
  const placement_inputs inputs{
      keeper,
      view_,
      endpoints,
      silent,
      settings_.timing,
      values,
      static_cast<std::size_t>(listed_endpoints),
      [&](const slice& moved) {
        const auto* state = std::get_if<moving>(&moved.state);
        return state != nullptr && keeper.spec().checks_epoch &&
               leases_.IsRevoked(state->from,
                                 {moved.range, epoch(state->at.value() - 1)});
      },
      now_};
  return tasks_.at(service).proposer.Propose(inputs);
}

std::set<domain_name> control_state::impl::AgreedSilentDomains() const {
  std::map<domain_name, std::size_t> votes;
  for (const domain_name& domain : view_.SilentDomains(now_)) {
    ++votes[domain];
  }
  for (const auto& [id, known] : view_.members()) {
    if (view_.IsLive(id, now_)) {
      for (const domain_name& domain : known.silent_domains) {
        ++votes[domain];
      }
    }
  }
  const std::size_t live = view_.Live(now_).size();
  std::set<domain_name> agreed;
  for (const domain_name& domain : view_.SilentDomains(now_)) {
    if (votes[domain] >= MajorityOf(live)) {
      agreed.insert(domain);
    }
  }
  return agreed;
}

int control_state::impl::RankFor(
    const std::string& role,
    const std::vector<daemon_instance>& candidates) const {
  const std::vector<daemon_instance> ranked = RankForRole(role, candidates);
  const auto found = std::find(ranked.begin(), ranked.end(), self_);
  return static_cast<int>(found - ranked.begin());
}

change_id control_state::impl::NextChange() {
  ++changes_made_;
  std::ostringstream name;
  name << self_ << '/' << changes_made_;
  return change_id(name.str());
}

load_report control_state::impl::RegionLoad() const {
  load_report region = own_load_;
  for (const auto& [id, load] : peer_loads_) {
    if (!view_.IsLive(id, now_)) {
      continue;
    }
    region.period = std::max(region.period, load.period);
    region.slices.insert(region.slices.end(), load.slices.begin(),
                         load.slices.end());
    region.hot_keys.insert(region.hot_keys.end(), load.hot_keys.begin(),
                           load.hot_keys.end());
  }
  return region;
}

}  // namespace bluebell
