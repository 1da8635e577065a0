// A compaction renames the new file over the old one, and then the sync of the
// folder fails with "no space". If that were reported as "disk full", the store
// would go on writing to the old, unlinked file: its batches would be synced
// and acknowledged, but lost at the next start. "Disk full" may therefore be
// reported only while the old file still has its name.
#include <CppUTest/TestHarness.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <deque>
#include <filesystem>
#include <memory>
#include <string>

#include "base/text.h"
#include "consensus/log-store.h"
#include "consensus/replica.h"

using namespace kestrelreel;

namespace {

enum class full_target { nothing, file, folder };
// The target for which `fsync` below fails with ENOSPC.
full_target fsync_full_at = full_target::nothing;

}  // namespace

/// Replaces the system's fsync, so that a real folder gets ENOSPC at the chosen
/// point.
extern "C" int fsync(int fd) {
  struct stat info {};
  const bool folder = ::fstat(fd, &info) == 0 && S_ISDIR(info.st_mode);
  if (fsync_full_at == (folder ? full_target::folder : full_target::file)) {
    errno = ENOSPC;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_fsync, fd));
}

namespace {

const box_id self("b0");

/// A folder in the file system, removed after the test.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "log-faults-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(path_); }
  std::unique_ptr<folder_disk> open() const {
    return std::move(*folder_disk::open_folder(path_));
  }

 private:
  std::string path_;
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

enum class write_path { compaction, batch_with_snapshot };

absl::Status write_by(log_store& store, write_path path) {
  if (path == write_path::compaction) {
    return store.compact(*snapshot_at(4), batch_of(5, 6).entries);
  }
  persist_batch batch = batch_of(5, 6);
  batch.snapshot = snapshot_at(4);
  return store.write(batch);
}

/// Index of the last entry that a restart would find.
uint64_t last_entry(disk& folder) {
  const auto store = log_store::open(folder, self);
  CHECK_TEXT(store.ok(), store.status().ToString().c_str());
  const raft_state state = (*store)->take_state();
  const uint64_t base = state.snapshot ? state.snapshot->index() : 0;
  return base + state.entries.size();
}

/// Queues work until `drain` is called.
class manual_executor final : public serial_executor {
 public:
  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override {
    waiting_.push_back(
        [work = std::move(work), done = std::move(done)] { done(work()); });
  }
  void drain() {
    while (!waiting_.empty()) {
      const auto it = std::move(waiting_.front());
      waiting_.pop_front();
      it();
    }
  }

 private:
  std::deque<std::function<void()>> waiting_;
};

class recording_callbacks final : public replica_callbacks {
 public:
  void send(const proto::raft_message&) override {}
  void install(const proto::log_snapshot&) override {}
  void apply(const proto::log_entry& entry) override {
    applied = entry.index();
  }
  std::string save_state() override { return ""; }
  void disk_full(const absl::Status&) override { ++full_reports; }
  void disk_failed(const absl::Status&) override { ++failed; }
  uint64_t applied = 0;
  int full_reports = 0;
  int failed = 0;
};

proto::membership single_voter() {
  proto::membership members;
  proto::replica& it = *members.add_voters();
  it.set_box(self.str());
  it.set_identity("founder");
  return members;
}

/// The only replica of a record; compacts after two entries.
struct single_replica {
  explicit single_replica(disk& folder) {
    raft_settings settings;
    settings.self = self;
    settings.identity = "founder";
    auto store = log_store::create(folder, self, "founder", single_voter());
    compaction_settings compaction;
    compaction.entries = 2;
    instance = std::make_unique<replica>(settings, random, std::move(*store),
                                         executor, callbacks, compaction);
  }
  void tick(unsigned times) {
    for (unsigned i = 0; i < times && callbacks.failed == 0; ++i) {
      instance->tick();
      executor.drain();
    }
  }

  seeded_random random{7};
  manual_executor executor;
  recording_callbacks callbacks;
  std::unique_ptr<replica> instance;
};

}  // namespace

TEST_GROUP(log_store_faults){void teardown()
                                 override{fsync_full_at = full_target::nothing;
}
}
;

TEST(log_store_faults,
     disk_full_is_reported_only_while_the_old_file_has_its_name) {
  struct row {
    write_path path;
    full_target target;
    bool reports_full;
  };
  const row rows[] = {
      {write_path::compaction, full_target::file, true},
      {write_path::compaction, full_target::folder, false},
      {write_path::batch_with_snapshot, full_target::file, true},
      {write_path::batch_with_snapshot, full_target::folder, false}};
  for (const row& it : rows) {
    const temporary_folder temporary;
    auto folder = temporary.open();
    auto store = *log_store::create(*folder, self, "id", {});
    CHECK_TRUE(store->write(batch_of(1, 6)).ok());
    fsync_full_at = it.target;
    const absl::Status status = write_by(*store, it.path);
    fsync_full_at = full_target::nothing;
    CHECK_FALSE(status.ok());
    const bool reports_full = absl::IsResourceExhausted(status);
    // After "disk full", the caller goes on using this store.
    const bool wrote_again = reports_full && store->write(batch_of(7, 8)).ok();
    store.reset();
    folder.reset();
    const uint64_t found = last_entry(*temporary.open());
    CHECK_EQUAL(wrote_again ? 8 : 6, found);
    CHECK_EQUAL(it.reports_full, reports_full);
  }
}

TEST(log_store_faults, nothing_acknowledged_after_a_failed_compaction_is_lost) {
  for (const full_target at : {full_target::file, full_target::folder}) {
    const temporary_folder temporary;
    auto folder = temporary.open();
    auto run = std::make_unique<single_replica>(*folder);
    run->tick(40);
    CHECK_TRUE(run->instance->propose("a").ok());
    fsync_full_at = at;
    for (int i = 0; i < 4; ++i) {
      (void)run->instance->propose(str_cat("b", i)).ok();
      run->tick(1);
    }
    fsync_full_at = full_target::nothing;
    const recording_callbacks reported = run->callbacks;
    run.reset();
    folder.reset();
    const uint64_t found = last_entry(*temporary.open());
    CHECK_TEXT(
        found >= reported.applied,
        str_cat("acknowledged ", reported.applied, ", found ", found).c_str());
    CHECK_EQUAL(at == full_target::file, reported.full_reports > 0);
    CHECK_EQUAL(at == full_target::folder ? 1 : 0, reported.failed);
  }
}

// A process killed between an append and its sync, or between a rename and the
// sync of the folder, leaves bytes that the next start reads from the page
// cache. If those counted as durable, a power loss could drop a vote or an
// acknowledged entry. A start therefore syncs the file and the folder, and
// fails when a sync fails.
TEST(log_store_faults, a_start_fails_when_the_log_cannot_be_synced) {
  for (const full_target at : {full_target::file, full_target::folder}) {
    const temporary_folder temporary;
    auto folder = temporary.open();
    auto store = *log_store::create(*folder, self, "id", {});
    CHECK_TRUE(store->write(batch_of(1, 6)).ok());
    store.reset();
    fsync_full_at = at;
    const bool started = log_store::open(*folder, self).ok();
    fsync_full_at = full_target::nothing;
    CHECK_FALSE(started);
    const uint64_t found = last_entry(*folder);
    CHECK_EQUAL(6, found);
  }
}
