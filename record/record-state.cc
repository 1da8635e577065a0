#include "record/record-state.h"

#include <utility>

namespace kestrelreel {
namespace detail {

/// Change outcomes that are kept; the target load is 13,000 changes a day.
constexpr size_t max_outcomes = 20'000;

}  // namespace detail

void record_state::apply(const proto::log_entry& entry) {
  if (entry.index() != applied_ + 1) return;
  applied_ = entry.index();
  applied_term_ = entry.term();
  if (entry.kind() != proto::entry_command) return;
  proto::command command;
  if (!command.ParseFromString(entry.payload())) return;
  if (command.has_change()) apply_change(command.change());
  if (command.has_delegate()) apply_delegation(command.delegate());
  if (command.has_complete()) apply_completion(command.complete());
}

proto::change_result record_state::evaluate(
    const proto::state_change& change) const {
  const bool same = change.digest() == digest_;
  if (change.version() == version_ && same) return proto::change_accepted;
  if (change.version() < version_) return proto::change_stale;
  if (change.version() == version_) return proto::change_conflict;
  if (change.replaces() != version_) return proto::change_conflict;
  return proto::change_accepted;
}

void record_state::apply_change(const proto::state_change& change) {
  if (outcomes_.contains(change.request_id())) return;
  const bool acceptable = evaluate(change) == proto::change_accepted;
  const bool newer = change.version() != version_;
  if (change.incomplete() && acceptable && newer) return;
  proto::change_outcome outcome;
  outcome.set_request_id(change.request_id());
  outcome.set_result(evaluate(change));
  if (outcome.result() == proto::change_accepted) accept(change);
  outcome.set_version(version_);
  outcome.set_winner_author(author_);
  outcome.set_winner_request(request_id_);
  outcome.set_digest(digest_);
  store_outcome(std::move(outcome));
}

void record_state::accept(const proto::state_change& change) {
  if (change.version() == version_) return;
  for (const std::string& key : change.deletes()) {
    items_.erase(key);
    touched_.keys.insert(key);
  }
  for (const proto::spec_item& it : change.puts()) {
    items_[it.key()] = it;
    touched_.keys.insert(it.key());
  }
  version_ = change.version();
  digest_ = change.digest();
  author_ = change.author();
  request_id_ = change.request_id();
  for (const std::string& key : change.deletes()) {
    constexpr std::string_view prefix = "job/";
    if (key.starts_with(prefix)) jobs_.erase(key.substr(prefix.size()));
  }
  std::erase_if(evacuations_, [&](const auto& it) {
    return !items_.contains(evacuation_key(it.first));
  });
  for (const proto::spec_item& it : change.puts()) {
    if (it.has_job()) jobs_.try_emplace(it.job().name());
    if (it.has_evacuation()) add_evacuation(change, it);
  }
}

/// The first change that orders an evacuation sets its version and age.
void record_state::add_evacuation(const proto::state_change& change,
                                  const proto::spec_item& item) {
  const std::string& name = item.evacuation().data_centre();
  const auto [it, inserted] = evacuations_.try_emplace(name);
  if (!inserted) return;
  it->second.set_data_centre(name);
  it->second.set_version(change.version());
  it->second.set_author(change.author());
  it->second.set_ordered_at_ms(change.proposed_at_ms());
}

void record_state::store_outcome(proto::change_outcome outcome) {
  outcome_order_.push_back(outcome.request_id());
  outcomes_[outcome.request_id()] = std::move(outcome);
  if (outcome_order_.size() <= detail::max_outcomes) return;
  outcomes_.erase(outcome_order_.front());
  outcome_order_.pop_front();
}

void record_state::apply_delegation(const proto::delegation& delegation) {
  for (const auto& grant : delegation.grants()) {
    const auto it = jobs_.find(grant.job());
    if (it == jobs_.end() || !it->second.data_centre.empty()) continue;
    it->second.data_centre = data_centre_id(grant.data_centre());
    touched_.keys.insert("job/" + grant.job());
  }
}

void record_state::apply_completion(const proto::completion& completion) {
  for (const auto& done : completion.jobs()) {
    const auto it = jobs_.find(done.job());
    if (it == jobs_.end()) continue;
    if (it->second.data_centre.str() != completion.data_centre()) continue;
    it->second.done.insert(done.tasks().begin(), done.tasks().end());
    touched_.keys.insert("job/" + done.job());
  }
}

const proto::change_outcome* record_state::outcome(
    const std::string& request_id) const {
  const auto it = outcomes_.find(request_id);
  return it == outcomes_.end() ? nullptr : &it->second;
}

std::string record_state::save() const {
  proto::record_snapshot all;
  all.set_version(version_);
  all.set_digest(digest_);
  all.set_author(author_);
  all.set_request_id(request_id_);
  for (const auto& [key, it] : items_) *all.add_items() = it;
  for (const std::string& it : outcome_order_) {
    *all.add_outcomes() = outcomes_.at(it);
  }
  for (const auto& [name, it] : jobs_) {
    proto::job_progress& job = *all.add_jobs();
    job.set_job(name);
    job.set_data_centre(it.data_centre.str());
    job.mutable_done()->Add(it.done.begin(), it.done.end());
  }
  for (const auto& [name, it] : evacuations_) *all.add_evacuations() = it;
  return all.SerializeAsString();
}

void record_state::install(const proto::log_snapshot& snapshot) {
  if (snapshot.index() <= applied_) return;
  proto::record_snapshot all;
  if (!all.ParseFromString(snapshot.data())) return;
  *this = record_state();
  touched_.all = true;
  applied_ = snapshot.index();
  applied_term_ = snapshot.term();
  version_ = all.version();
  digest_ = all.digest();
  author_ = all.author();
  request_id_ = all.request_id();
  items_ = by_key(all.items());
  for (proto::change_outcome& it : *all.mutable_outcomes()) {
    store_outcome(std::move(it));
  }
  for (const proto::evacuation_state& it : all.evacuations()) {
    evacuations_[it.data_centre()] = it;
  }
  for (const proto::job_progress& it : all.jobs()) {
    job_state& job = jobs_[it.job()];
    job.data_centre = data_centre_id(it.data_centre());
    job.done.insert(it.done().begin(), it.done().end());
  }
}

}  // namespace kestrelreel
