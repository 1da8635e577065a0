#include "consensus/replica.h"

#include <utility>

namespace kestrelreel {

replica::replica(raft_settings settings, random_source& random,
                 std::unique_ptr<log_store> store, serial_executor& queue,
                 replica_callbacks& host, compaction_settings compaction)
    : store_(std::move(store)),
      slow_write_ticks_(settings.slow_write_ticks),
      raft_(std::move(settings), random, store_->take_state()),
      queue_(queue),
      host_(host),
      compaction_(compaction),
      compacted_size_(store_->size()) {
  pump();
}

void replica::tick() {
  if (failed_) return;
  if (refused_) write(std::exchange(refused_, nullptr));
  write_ticks_ = writes_out_ > 0 ? write_ticks_ + 1 : 0;
  const bool slow = slow_write_ticks_ > 0 && write_ticks_ >= slow_write_ticks_;
  if (slow) raft_.transfer_leadership();
  raft_.tick();
  pump();
}

void replica::receive(const proto::raft_message& m) {
  if (failed_) return;
  raft_.step(m);
  pump();
}

absl::Status replica::propose(std::string payload) {
  if (failed_) return absl::UnavailableError("the disk failed");
  absl::Status status = raft_.propose(std::move(payload)).status();
  pump();
  return status;
}

void replica::transfer_leadership() {
  raft_.transfer_leadership();
  pump();
}

void replica::pump() {
  raft_actions actions = raft_.take();
  if (actions.install) host_.install(*actions.install);
  for (const proto::log_entry& it : actions.committed) host_.apply(it);
  for (const proto::raft_message& it : actions.messages) host_.send(it);
  if (actions.persist) {
    return write(std::make_shared<persist_batch>(std::move(*actions.persist)));
  }
  compact_if_due();
}

void replica::write(const std::shared_ptr<persist_batch>& batch) {
  ++writes_out_;
  auto work = [store = store_.get(), batch] { return store->write(*batch); };
  auto done = [this, batch,
               alive = std::weak_ptr(alive_)](const absl::Status& status) {
    if (!alive.expired()) written(batch, status);
  };
  queue_.run(std::move(work), std::move(done));
}

void replica::written(const std::shared_ptr<persist_batch>& batch,
                      const absl::Status& status) {
  --writes_out_;
  if (absl::IsResourceExhausted(status)) {
    refused_ = batch;
    raft_.transfer_leadership();
    host_.disk_full(status);
    return pump();
  }
  if (!status.ok()) {
    failed_ = true;
    return host_.disk_failed(status);
  }
  write_ticks_ = 0;
  raft_.persisted();
  pump();
}

void replica::compact_if_due() {
  if (writes_out_ > 0 || refused_) return;
  const uint64_t covered = raft_.applied_index() - raft_.log().snapshot_index();
  const bool many = covered >= compaction_.entries;
  const bool large = store_->size() >= compacted_size_ + compaction_.bytes;
  if (covered == 0 || (!many && !large)) return;
  ++writes_out_;
  auto snapshot = raft_.make_snapshot(host_.save_state());
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
    --writes_out_;
    compacted_size_ = store_->size();
    // The old file still holds all of it; the next compaction tries again.
    if (absl::IsResourceExhausted(status)) {
      host_.disk_full(status);
      return pump();
    }
    if (!status.ok()) {
      failed_ = true;
      return host_.disk_failed(status);
    }
    pump();
  };
  queue_.run(std::move(work), std::move(done));
}

}  // namespace kestrelreel
