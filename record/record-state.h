// The state machine of the replicated log: the desired state, the outcome of
// each change, and the progress of jobs. Equal logs give equal states.
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

/// Progress of a job.
struct job_state {
  /// The only data centre that may start its tasks; empty until one is granted.
  data_centre_id data_centre;
  /// Tasks that completed successfully.
  std::set<uint32_t> done;
};

/// The replicated state. The applied index never goes back; see `apply`.
class record_state {
 public:
  /// Applies the entry that follows the last one; ignores any other entry.
  void apply(const proto::log_entry& entry);
  /// Replaces this state by the snapshot if the snapshot is later.
  void install(const proto::log_snapshot& snapshot);
  /// Serializes the whole state, for `install` on another box.
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
  /// Keys of the items that changed, or whose job's progress changed, since the
  /// last `take_touched`. `all` is true after a snapshot was installed.
  struct touched_items {
    bool all = false;
    std::set<std::string> keys;
  };
  touched_items take_touched() { return std::exchange(touched_, {}); }

  /// The outcome of a change; null when unknown or no longer kept.
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
