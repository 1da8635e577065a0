#include "consensus/replica.h"

#include <utility>

namespace kestrelreel {

replica::replica(raft_settings settings, random_source& random,
                 std::unique_ptr<log_store> store, serial_executor& executor,
                 replica_callbacks& callbacks, compaction_settings compaction)
    : store_(std::move(store)),
      slow_write_ticks_(settings.slow_write_ticks),
      raft_(std::move(settings), random, store_->take_state()),
      executor_(executor),
      callbacks_(callbacks),
      compaction_(compaction),
      size_after_compaction_(store_->size()) {
  process_actions();
}

void replica::tick() {
  if (failed_) return;
  if (retry_batch_) write(std::exchange(retry_batch_, nullptr));
  write_ticks_ = writes_in_flight_ > 0 ? write_ticks_ + 1 : 0;
  const bool slow = slow_write_ticks_ > 0 && write_ticks_ >= slow_write_ticks_;
  if (slow) raft_.transfer_leadership();
  raft_.tick();
  process_actions();
}

void replica::receive(const proto::raft_message& m) {
  if (failed_) return;
  raft_.step(m);
  process_actions();
}

absl::Status replica::propose(std::string payload) {
  if (failed_) return absl::UnavailableError("the disk failed");
  absl::Status status = raft_.propose(std::move(payload)).status();
  process_actions();
  return status;
}

void replica::transfer_leadership() {
  raft_.transfer_leadership();
  process_actions();
}

void replica::process_actions() {
  raft_actions actions = raft_.take_actions();
  if (actions.install) callbacks_.install(*actions.install);
  for (const proto::log_entry& it : actions.committed) callbacks_.apply(it);
  for (const proto::raft_message& it : actions.messages) callbacks_.send(it);
  if (actions.persist) {
    return write(std::make_shared<persist_batch>(std::move(*actions.persist)));
  }
  compact_if_due();
}

void replica::write(const std::shared_ptr<persist_batch>& batch) {
  ++writes_in_flight_;
  auto work = [store = store_.get(), batch] { return store->write(*batch); };
  auto done = [this, batch,
               alive = std::weak_ptr(alive_)](const absl::Status& status) {
    if (!alive.expired()) on_written(batch, status);
  };
  executor_.run(std::move(work), std::move(done));
}

void replica::on_written(const std::shared_ptr<persist_batch>& batch,
                         const absl::Status& status) {
  --writes_in_flight_;
  if (absl::IsResourceExhausted(status)) {
    retry_batch_ = batch;
    raft_.transfer_leadership();
    callbacks_.disk_full(status);
    return process_actions();
  }
  if (!status.ok()) {
    failed_ = true;
    return callbacks_.disk_failed(status);
  }
  write_ticks_ = 0;
  raft_.persisted();
  process_actions();
}

void replica::compact_if_due() {
  if (writes_in_flight_ > 0 || retry_batch_) return;
  const uint64_t covered = raft_.applied_index() - raft_.log().snapshot_index();
  const bool many = covered >= compaction_.entries;
  const bool large =
      store_->size() >= size_after_compaction_ + compaction_.bytes;
  if (covered == 0 || (!many && !large)) return;
  ++writes_in_flight_;
  auto snapshot = raft_.make_snapshot(callbacks_.save_state());
  raft_.compact(snapshot);
  auto tail = std::make_shared<std::vector<proto::log_entry>>();
  const raft_log& log = raft_.log();
  for (uint64_t i = log.snapshot_index() + 1; i <= log.last_index(); ++i) {
    tail->push_back(log.at(i));
  }
  auto work = [store = store_.get(), snapshot, tail] {
    return store->compact(*snapshot, *tail);
  };
  auto done = [this,
               alive = std::weak_ptr(alive_)](const absl::Status& status) {
    if (alive.expired()) return;
    --writes_in_flight_;
    size_after_compaction_ = store_->size();
    // The old file still holds every entry; the next compaction retries.
    if (absl::IsResourceExhausted(status)) {
      callbacks_.disk_full(status);
      return process_actions();
    }
    if (!status.ok()) {
      failed_ = true;
      return callbacks_.disk_failed(status);
    }
    process_actions();
  };
  executor_.run(std::move(work), std::move(done));
}

}  // namespace kestrelreel
