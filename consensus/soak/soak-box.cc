#include "consensus/soak/soak-box.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr uint64_t snapshot_entries = 25;

std::string join(const std::vector<std::string>& state) {
  std::string out;
  for (const std::string& it : state) out += it + '\n';
  return out;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> state;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) state.push_back(line);
  return state;
}

}  // namespace detail

soak_box::soak_box(std::string box, std::vector<std::string> all_boxes,
                   const soak_options& options, random_source& random,
                   soak_observer& observer)
    : box_(std::move(box)),
      all_boxes_(std::move(all_boxes)),
      options_(options),
      random_(random),
      observer_(observer) {}

proto::membership soak_box::founding_members() const {
  proto::membership members;
  for (const std::string& it : all_boxes_) {
    proto::replica& voter = *members.add_voters();
    voter.set_box(it);
    voter.set_identity("founder");
  }
  return members;
}

std::unique_ptr<log_store> soak_box::open_store(bool new_cluster) {
  const box_id self(box_);
  auto store = log_store::open(disk_, self);
  if (store.ok() && options_.fault == injected_fault::vote_not_synced) {
    return reopen_without_vote(**store);
  }
  if (store.ok()) return std::move(*store);
  const bool founds_cluster =
      new_cluster || options_.fault == injected_fault::empty_replica_votes;
  if (founds_cluster) {
    return std::move(
        *log_store::create(disk_, self, "founder", founding_members()));
  }
  const std::string identity = str_cat("id-", random_.next());
  return std::move(*log_store::create(disk_, self, identity, {}));
}

/// Reopens the folder's log as if the last vote had not been synced.
std::unique_ptr<log_store> soak_box::reopen_without_vote(log_store& store) {
  raft_state state = store.take_state();
  auto result = std::move(*log_store::create(disk_, box_id(box_),
                                             store.identity(), state.founding));
  persist_batch batch;
  batch.hard = state.hard;
  batch.hard->clear_voted_for();
  batch.snapshot = state.snapshot;
  batch.entries = state.entries;
  const absl::Status written = result->write(batch);
  (void)written;
  return std::move(*log_store::open(disk_, box_id(box_)));
}

void soak_box::start(bool new_cluster) {
  disk_.heal();
  failed_ = false;
  state_.clear();
  applied_index_ = 0;
  auto store = open_store(new_cluster);
  identity_ = store->identity();
  raft_settings settings;
  settings.self = box_id(box_);
  settings.identity = identity_;
  settings.window_entries = 16;
  // Small limits, so that entries and snapshots need several messages.
  settings.batch_bytes = 40;
  settings.window_bytes = 160;
  // The log must be safe without the delay of the first vote, which hides lost
  // votes and is needed for the lease only (leader-lease-test).
  settings.delay_first_vote = options_.seed % 4 == 0;
  settings.slow_write_ticks = options_.seed % 4 == 1 ? 4 : 0;
  for (const std::string& it : all_boxes_) {
    settings.replica_boxes.emplace_back(it);
  }
  compaction_settings compaction;
  compaction.entries = detail::snapshot_entries;
  replica_ = std::make_unique<replica>(
      std::move(settings), random_, std::move(store), *this, *this, compaction);
}

void soak_box::stop_process() {
  const bool cut_write = !writes_.empty() && random_.below(2) == 0;
  if (cut_write) {
    disk_.fail_after(static_cast<int>(random_.below(3)));
    const absl::Status ignored = writes_.front().work();
    (void)ignored;
  }
  writes_.clear();
  replica_.reset();
}

void soak_box::crash() {
  stop_process();
  disk_.crash(random_);
}

void soak_box::lose_power() {
  stop_process();
  disk_.lose_unsynced();
}

bool soak_box::holds_synced(const proto::log_entry& entry) {
  const auto log = parse_log(disk_.files()["log"].synced);
  if (!log.ok()) return false;
  const raft_state& state = log->state;
  const uint64_t base = state.snapshot ? state.snapshot->index() : 0;
  if (entry.index() <= base) return true;
  const uint64_t at = entry.index() - base - 1;
  return at < state.entries.size() && state.entries[at].term() == entry.term();
}

void soak_box::wipe() {
  disk_.wipe();
  highest_applied_ = 0;
}

void soak_box::run(std::function<absl::Status()> work,
                   std::function<void(absl::Status)> done) {
  writes_.push_back({std::move(work), std::move(done)});
}

void soak_box::run_disk() {
  if (writes_.empty()) return;
  pending_write it = std::move(writes_.front());
  writes_.pop_front();
  const bool fails_sync =
      options_.fault == injected_fault::acknowledge_unsynced;
  if (fails_sync) disk_.fail_after(1);
  absl::Status status = it.work();
  disk_.heal();
  if (fails_sync) status = absl::OkStatus();
  it.done(status);
}

void soak_box::send(const proto::raft_message& m) { observer_.sent(m); }

void soak_box::install(const proto::log_snapshot& snapshot) {
  state_ = detail::split(snapshot.data());
  applied_index_ = snapshot.index();
  highest_applied_ = std::max(highest_applied_, applied_index_);
  observer_.installed(box_, applied_index_, state_);
}

void soak_box::apply(const proto::log_entry& entry) {
  applied_index_ = entry.index();
  highest_applied_ = std::max(highest_applied_, applied_index_);
  if (entry.kind() == proto::entry_command) state_.push_back(entry.payload());
  observer_.applied(box_, entry);
}

std::string soak_box::save_state() {
  ++snapshots_;
  return detail::join(state_);
}

void soak_box::disk_failed(const absl::Status& /*status*/) { failed_ = true; }

}  // namespace kestrelreel
