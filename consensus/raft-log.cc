#include "consensus/raft-log.h"

#include <utility>

namespace kestrelreel {

raft_log::raft_log(std::shared_ptr<const proto::log_snapshot> snapshot) {
  reset(std::move(snapshot));
}

uint64_t raft_log::term_at(uint64_t index) const {
  if (index == base_index_) return base_term_;
  return at(index).term();
}

const proto::log_entry& raft_log::at(uint64_t index) const {
  return entries_.at(index - base_index_ - 1);
}

void raft_log::append(proto::log_entry entry) {
  entries_.push_back(std::move(entry));
}

void raft_log::truncate_from(uint64_t index) {
  while (last_index() >= index && !entries_.empty()) entries_.pop_back();
}

void raft_log::compact(std::shared_ptr<const proto::log_snapshot> snapshot) {
  const uint64_t index = snapshot->index();
  while (base_index_ < index && !entries_.empty()) {
    entries_.pop_front();
    ++base_index_;
  }
  base_index_ = index;
  base_term_ = snapshot->term();
  snapshot_ = std::move(snapshot);
}

void raft_log::reset(std::shared_ptr<const proto::log_snapshot> snapshot) {
  entries_.clear();
  base_index_ = snapshot ? snapshot->index() : 0;
  base_term_ = snapshot ? snapshot->term() : 0;
  snapshot_ = std::move(snapshot);
}

bool raft_log::is_up_to_date(uint64_t index, uint64_t term) const {
  if (term != last_term()) return term > last_term();
  return index >= last_index();
}

std::vector<proto::log_entry> raft_log::slice(uint64_t index,
                                              size_t max_bytes) const {
  std::vector<proto::log_entry> result;
  size_t n = 0;
  for (uint64_t i = index; i <= last_index() && n < max_bytes; ++i) {
    result.push_back(at(i));
    n += result.back().ByteSizeLong();
  }
  return result;
}

}  // namespace kestrelreel
