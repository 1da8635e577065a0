// A full disk accepts a part of a record, and the truncation of that part fails
// as well, for lack of space or of a file descriptor. If that second error were
// reported as "disk full", the record would be written again behind its own
// torn bytes and acknowledged; the next start would find a valid record behind
// a broken one and refuse the log as corrupt. Likewise, a store whose new file
// can't be opened after a compaction must not go on with the old, unlinked
// file.
#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>

#include "base/text.h"
#include "consensus/log-store.h"

using namespace kestrelreel;

namespace {

const box_id self("b0");

enum class fault {
  none,
  // The disk accepts half of each append.
  append,
  // The disk accepts each append, and the sync fails.
  sync,
  // Files can't be opened.
  open,
  append_and_open,
  sync_and_open,
};

/// A folder in memory whose operations fail with `current_fault`. A replaced
/// file stays usable, without a name, while it is open.
class faulty_disk final : public disk {
 public:
  absl::StatusOr<std::string> read(const std::string& name) override {
    const auto it = files_.find(name);
    if (it == files_.end()) return absl::NotFoundError(name);
    return *it->second;
  }
  absl::StatusOr<std::unique_ptr<append_file>> open(const std::string& name,
                                                    size_t keep) override {
    const bool fails = current_fault == fault::open ||
                       current_fault == fault::append_and_open ||
                       current_fault == fault::sync_and_open;
    if (fails) return absl::ResourceExhaustedError("too many open files");
    if (files_[name]->size() > keep) files_[name]->resize(keep);
    return std::make_unique<file>(*this, files_[name]);
  }
  absl::Status replace(const std::string& name,
                       std::string_view content) override {
    files_[name] = std::make_shared<std::string>(content);
    return absl::OkStatus();
  }

  fault current_fault = fault::none;

 private:
  class file final : public append_file {
   public:
    file(const faulty_disk& owner, std::shared_ptr<std::string> bytes)
        : owner_(owner), bytes_(std::move(bytes)) {}
    absl::Status append(std::string_view bytes) override {
      const bool full = owner_.current_fault == fault::append ||
                        owner_.current_fault == fault::append_and_open;
      *bytes_ += full ? bytes.substr(0, bytes.size() / 2) : bytes;
      return full ? absl::ResourceExhaustedError("full") : absl::OkStatus();
    }
    absl::Status sync() override {
      const bool full = owner_.current_fault == fault::sync ||
                        owner_.current_fault == fault::sync_and_open;
      return full ? absl::ResourceExhaustedError("full") : absl::OkStatus();
    }

   private:
    const faulty_disk& owner_;
    std::shared_ptr<std::string> bytes_;
  };

  std::map<std::string, std::shared_ptr<std::string>> files_;
};

persist_batch batch_of(uint64_t first, uint64_t last) {
  persist_batch batch;
  for (uint64_t i = first; i <= last; ++i) {
    proto::log_entry entry;
    entry.set_index(i);
    entry.set_term(1);
    entry.set_payload(str_cat("entry ", i));
    batch.entries.push_back(entry);
  }
  return batch;
}

std::shared_ptr<proto::log_snapshot> snapshot_at(uint64_t index) {
  auto it = std::make_shared<proto::log_snapshot>();
  it->set_index(index);
  it->set_term(1);
  return it;
}

enum class write_path { batch, batch_with_snapshot, compaction };

absl::Status write_by(log_store& store, write_path path) {
  if (path == write_path::compaction) {
    return store.compact(*snapshot_at(4), batch_of(5, 6).entries);
  }
  if (path == write_path::batch) return store.write(batch_of(7, 8));
  persist_batch batch = batch_of(5, 6);
  batch.snapshot = snapshot_at(4);
  return store.write(batch);
}

}  // namespace

TEST_GROUP(log_store_cut){};

TEST(log_store_cut, disk_full_is_reported_only_while_the_store_stays_usable) {
  struct row {
    write_path path;
    fault injected;
    bool reports_full;
  };
  const row rows[] = {
      {write_path::batch, fault::append, true},
      {write_path::batch, fault::sync, true},
      {write_path::batch, fault::append_and_open, false},
      {write_path::batch, fault::sync_and_open, false},
      {write_path::compaction, fault::open, false},
      {write_path::batch_with_snapshot, fault::open, false},
  };
  for (const row& it : rows) {
    faulty_disk folder;
    auto store = *log_store::create(folder, self, "id", {});
    CHECK_TRUE(store->write(batch_of(1, 6)).ok());
    folder.current_fault = it.injected;
    const absl::Status status = write_by(*store, it.path);
    folder.current_fault = fault::none;
    CHECK_FALSE(status.ok());
    // After "disk full", the caller writes the batch again once space is free.
    const bool reports_full = absl::IsResourceExhausted(status);
    const bool wrote_again = reports_full && store->write(batch_of(7, 8)).ok();
    const auto found = log_store::open(folder, self);
    CHECK_TEXT(found.ok(), found.status().ToString().c_str());
    const raft_state state = (*found)->take_state();
    const uint64_t base = state.snapshot ? state.snapshot->index() : 0;
    const uint64_t last = base + state.entries.size();
    CHECK_TEXT(last >= (wrote_again ? 8 : 6), str_cat("found ", last).c_str());
    CHECK_EQUAL(it.reports_full, reports_full);
    CHECK_EQUAL(it.reports_full, wrote_again);
  }
}
