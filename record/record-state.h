// The state that the replicated log builds up: the desired state, what became
// of each change, and how far the jobs are. Equal logs give equal states.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/ids.h"
#include "proto/consensus.pb.h"
#include "proto/record.pb.h"
#include "record/spec.h"

namespace kestrelreel {

/// How far a job is.
struct job_state {
  /// The only data centre that may start its tasks; empty before it is given.
  data_centre_id data_centre;
  /// Tasks that ended well.
  std::set<uint32_t> done;
};

/// The record. It only goes forward; see `apply`.
class record_state {
 public:
  /// Applies the entry that follows the last one; others are ignored.
  void apply(const proto::log_entry& entry);
  /// Takes the snapshot's state if it is later than this one.
  void install(const proto::log_snapshot& snapshot);
  /// The whole state, for `install` elsewhere.
  std::string save() const;

  /// Index of the last applied entry.
  uint64_t applied() const { return applied_; }
  /// Term of the last applied entry.
  uint64_t applied_term() const { return applied_term_; }
  /// Version of the desired state; 0 before the first.
  uint64_t version() const { return version_; }
  uint64_t digest() const { return digest_; }
  const std::string& author() const { return author_; }
  const std::string& request_id() const { return request_id_; }
  const spec_items& items() const { return items_; }
  /// Jobs of the desired state by name.
  const std::map<std::string, job_state>& jobs() const { return jobs_; }
  /// Evacuated data centres by name.
  const std::map<std::string, proto::evacuation_state>& evacuations() const {
    return evacuations_;
  }
  bool evacuated(const data_centre_id& it) const {
    return evacuations_.contains(it.str());
  }
  /// Keys of the items that changed since the last call, or whose job's state
  /// did; `all` when a snapshot changed everything.
  struct touched_items {
    bool all = false;
    std::set<std::string> keys;
  };
  touched_items take_touched() { return std::exchange(touched_, {}); }

  /// What became of a change; null when unknown or long past.
  const proto::change_outcome* outcome(const std::string& request_id) const;

 private:
  void apply_change(const proto::state_change& change);
  void apply_delegation(const proto::delegation& delegation);
  void apply_completion(const proto::completion& completion);
  proto::change_result evaluate(const proto::state_change& change) const;
  void accept(const proto::state_change& change);
  void add_evacuation(const proto::state_change& change,
                      const proto::spec_item& item);
  void store_outcome(proto::change_outcome outcome);

  uint64_t applied_ = 0;
  uint64_t applied_term_ = 0;
  uint64_t version_ = 0;
  uint64_t digest_ = 0;
  std::string author_;
  std::string request_id_;
  spec_items items_;
  std::map<std::string, job_state> jobs_;
  std::map<std::string, proto::evacuation_state> evacuations_;
  std::unordered_map<std::string, proto::change_outcome> outcomes_;
  std::deque<std::string> outcome_order_;
  touched_items touched_;
};

}  // namespace kestrelreel
