// The log file under torn writes, flipped bytes and folders of other boxes.
#include "consensus/log-store.h"

#include <CppUTest/TestHarness.h>

#include "base/text.h"
#include "consensus/soak/fake-disk.h"

using namespace kestrelreel;

namespace {

const box_id self("b0");

persist_batch batch_of(uint64_t first, uint64_t last) {
  persist_batch batch;
  batch.hard.emplace();
  batch.hard->set_term(first);
  for (uint64_t i = first; i <= last; ++i) {
    proto::log_entry entry;
    entry.set_index(i);
    entry.set_term(1);
    entry.set_payload(str_cat("entry ", i));
    batch.entries.push_back(entry);
  }
  return batch;
}

/// Creates a log with entries 1 to 6 in three batches, and returns the bytes of
/// the file.
std::string three_batches(fake_disk& folder) {
  auto store = *log_store::create(folder, self, "id", {});
  for (uint64_t i = 1; i <= 5; i += 2) {
    CHECK_TRUE(store->write(batch_of(i, i + 1)).ok());
  }
  return folder.files()["log"].synced;
}

}  // namespace

TEST_GROUP(log_store){};

TEST(log_store, reads_back_what_was_written) {
  fake_disk folder;
  three_batches(folder);
  auto store = log_store::open(folder, self);
  CHECK_TRUE(store.ok());
  const raft_state state = (*store)->take_state();
  CHECK_EQUAL(6, state.entries.size());
  CHECK_EQUAL(5, state.hard.term());
  STRCMP_EQUAL("id", (*store)->identity().c_str());
}

TEST(log_store, an_entry_replaces_all_from_its_index_on) {
  fake_disk folder;
  auto store = *log_store::create(folder, self, "id", {});
  CHECK_TRUE(store->write(batch_of(1, 6)).ok());
  CHECK_TRUE(store->write(batch_of(3, 4)).ok());
  const raft_state state = (*log_store::open(folder, self))->take_state();
  CHECK_EQUAL(4, state.entries.size());
}

TEST(log_store, a_torn_tail_is_dropped_at_every_length) {
  fake_disk folder;
  const std::string whole = three_batches(folder);
  fake_disk empty;
  auto first = *log_store::create(empty, self, "id", {});
  const size_t header_bytes = empty.files()["log"].synced.size();
  for (size_t n = header_bytes; n <= whole.size(); ++n) {
    const auto log = parse_log(whole.substr(0, n));
    CHECK_TRUE(log.ok());
    CHECK_EQUAL(0, log->state.entries.size() % 2);
    CHECK_TRUE(log->valid_bytes <= n);
  }
}

TEST(log_store, a_flipped_byte_is_always_detected) {
  fake_disk folder;
  const std::string whole = three_batches(folder);
  const size_t last = parse_log(whole)->valid_bytes;
  CHECK_EQUAL(whole.size(), last);
  unsigned refused = 0;
  for (size_t i = 0; i < whole.size(); ++i) {
    std::string bytes = whole;
    bytes[i] = static_cast<char>(bytes[i] ^ 0x20);
    const auto log = parse_log(bytes);
    if (!log.ok()) {
      ++refused;
      continue;
    }
    // A corrupt last batch looks like one that a crash cut short, and is
    // dropped.
    CHECK_EQUAL(4, log->state.entries.size());
  }
  CHECK_TRUE(refused > whole.size() / 2);
}

TEST(log_store, refuses_folders_of_other_boxes) {
  fake_disk folder;
  three_batches(folder);
  const auto other = log_store::open(folder, box_id("b1"));
  CHECK_TRUE(absl::IsFailedPrecondition(other.status()));
  fake_disk none;
  CHECK_TRUE(absl::IsNotFound(log_store::open(none, self).status()));
}

TEST(log_store, compaction_keeps_vote_snapshot_and_tail) {
  fake_disk folder;
  auto store = *log_store::create(folder, self, "id", {});
  CHECK_TRUE(store->write(batch_of(1, 6)).ok());
  proto::log_snapshot snapshot;
  snapshot.set_index(4);
  snapshot.set_term(1);
  CHECK_TRUE(store->compact(snapshot, batch_of(5, 6).entries).ok());
  CHECK_TRUE(store->write(batch_of(7, 8)).ok());
  const raft_state state = (*log_store::open(folder, self))->take_state();
  CHECK_EQUAL(4, state.snapshot->index());
  CHECK_EQUAL(4, state.entries.size());
  CHECK_EQUAL(7, state.hard.term());
}

TEST(log_store, a_failed_sync_is_reported) {
  for (int operations = 0; operations < 2; ++operations) {
    fake_disk folder;
    auto store = *log_store::create(folder, self, "id", {});
    folder.fail_after(operations);
    CHECK_FALSE(store->write(batch_of(1, 2)).ok());
  }
}
