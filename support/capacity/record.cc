// Slopes of the record: memory and processor time by items and changes, and
// commits with real syncs.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <memory>
#include <vector>

#include "base/text.h"
#include "consensus/replica.h"
#include "kernel/metrics.h"
#include "net/blocking-thread.h"
#include "placement/task.h"
#include "record/record-state.h"
#include "support/capacity/slopes.h"

namespace kestrelreel::capacity {
namespace {

proto::log_entry change_entry(uint64_t number) {
  proto::command command;
  proto::state_change& change = *command.mutable_change();
  change.set_request_id(str_cat("0123456789abcdef0123456789", number));
  change.set_author("operator");
  change.set_replaces(number - 1);
  change.set_version(number);
  change.set_digest(number);
  proto::spec_item& item = *change.add_puts();
  const std::string name = str_cat("night-plan-", number);
  item.set_key("job/" + name);
  proto::job_spec& job = *item.mutable_job();
  job.set_name(name);
  job.set_team("planning");
  job.mutable_size()->set_cpu_milli(8'000);
  job.mutable_size()->set_memory_bytes(24ull << 30);
  job.set_tasks(4);
  job.set_run_time_ms(1'200'000);
  proto::log_entry entry;
  entry.set_index(number);
  entry.set_term(1);
  entry.set_kind(proto::entry_command);
  entry.set_payload(command.SerializeAsString());
  return entry;
}

void measure_state() {
  std::vector<std::pair<double, double>> memory;
  std::vector<std::pair<double, double>> apply;
  std::vector<std::pair<double, double>> saved;
  for (const size_t jobs : {1'000u, 10'000u, 65'000u}) {
    std::vector<proto::log_entry> entries;
    for (size_t i = 1; i <= jobs; ++i) entries.push_back(change_entry(i));
    const double before = heap_bytes();
    record_state state;
    const double us =
        us_per_call(jobs, [&](size_t i) { state.apply(entries[i]); });
    const auto n = static_cast<double>(jobs);
    memory.emplace_back(n, heap_bytes() - before);
    apply.emplace_back(n, us);
    saved.emplace_back(n, static_cast<double>(state.save().size()));
    if (jobs == 65'000u) {
      print_slope("entry", static_cast<double>(entries[0].ByteSizeLong()),
                  "B/change");
      const double all = us_per_call(
          2, [&](size_t) { tasks_of(state, data_centre_id("kumluca")); });
      print_slope("tasks-of-item", all / n, "us/change/item");
    }
  }
  const line_fit m = fit_line(memory);
  print_slope("record-job", m.slope, "B/job", m.error_percent);
  const line_fit s = fit_line(saved);
  print_slope("snapshot-job", s.slope, "B/job", s.error_percent);
  print_slope("apply-change", apply.back().second, "us/change");
}

/// One of three replicas in this process, each with a folder and a disk thread
/// of its own; messages go through the io_context.
class bench_replica final : public replica_callbacks {
 public:
  using peers = std::vector<std::unique_ptr<bench_replica>>;

  bench_replica(boost::asio::io_context& io, peers& all, size_t number,
                size_t count, const std::string& folder)
      : io_(io),
        all_(all),
        name_(str_cat("b", number)),
        thread_(io),
        random_(number + 1) {
    std::filesystem::create_directories(folder);
    disk_ = std::move(*folder_disk::open_folder(folder));
    proto::membership members;
    for (size_t i = 0; i < count; ++i) {
      proto::replica& it = *members.add_voters();
      it.set_box(str_cat("b", i));
      it.set_identity("founder");
    }
    const box_id self(name_);
    auto store =
        std::move(*log_store::create(*disk_, self, "founder", members));
    raft_settings settings;
    settings.self = self;
    settings.identity = "founder";
    replica_ = std::make_unique<replica>(std::move(settings), random_,
                                         std::move(store), thread_, *this);
  }

  replica& it() { return *replica_; }
  uint64_t applied() const { return applied_; }

  void send(const proto::raft_message& m) override {
    boost::asio::post(io_, [this, m] {
      for (auto& it : all_) {
        if (it->name_ == m.to()) it->replica_->receive(m);
      }
    });
  }
  void install(const proto::log_snapshot&) override {}
  void apply(const proto::log_entry& entry) override {
    applied_ += entry.kind() == proto::entry_command ? 1 : 0;
  }
  std::string save_state() override { return ""; }
  void disk_failed(const absl::Status&) override {}

 private:
  boost::asio::io_context& io_;
  peers& all_;
  std::string name_;
  blocking_thread thread_;
  seeded_random random_;
  std::unique_ptr<folder_disk> disk_;
  std::unique_ptr<replica> replica_;
  uint64_t applied_ = 0;
};

struct commit_figures {
  double per_second = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

void poll(boost::asio::io_context& io) {
  io.restart();
  io.run_for(std::chrono::microseconds(50));
}

bench_replica& elect(boost::asio::io_context& io, bench_replica::peers& all) {
  // Long enough for the disks, so that an election ends between two ticks.
  constexpr int polls_per_tick = 400;
  for (;;) {
    for (auto& it : all) it->it().tick();
    for (int i = 0; i < polls_per_tick; ++i) poll(io);
    for (auto& it : all) {
      const raft& state = it->it().state();
      // One that has committed in its term is not about to be deposed.
      const bool leads =
          state.role() == raft_role::leader &&
          state.log().term_at(state.commit_index()) == state.term();
      if (leads) return *it;
    }
  }
}

/// Proposes for a second with that many changes under way at once.
commit_figures propose_for_a_second(boost::asio::io_context& io,
                                    bench_replica& leader, size_t under_way) {
  using steady = std::chrono::steady_clock;
  latency_histogram latency;
  const std::string payload(200, 'x');
  std::deque<steady::time_point> sent;
  const auto begun = steady::now();
  uint64_t seen = leader.applied();
  uint64_t done = 0;
  while (steady::now() - begun < std::chrono::seconds(1)) {
    while (sent.size() < under_way) {
      if (!leader.it().propose(payload).ok()) break;
      sent.push_back(steady::now());
    }
    poll(io);
    for (; seen < leader.applied() && !sent.empty(); ++seen) {
      const std::chrono::duration<double, std::milli> took =
          steady::now() - sent.front();
      latency.add_ms(took.count());
      sent.pop_front();
      ++done;
    }
  }
  const std::chrono::duration<double> took = steady::now() - begun;
  return {static_cast<double>(done) / took.count(), latency.quantile(0.5),
          latency.quantile(0.99)};
}

commit_figures run_commits(size_t replicas, size_t under_way) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      str_cat("kestrelreel-commits-", replicas, "-", under_way);
  std::filesystem::remove_all(folder);
  boost::asio::io_context io(1);
  bench_replica::peers all;
  for (size_t i = 0; i < replicas; ++i) {
    all.push_back(std::make_unique<bench_replica>(
        io, all, i, replicas, (folder / str_cat("b", i)).string()));
  }
  bench_replica& leader = elect(io, all);
  const commit_figures figures = propose_for_a_second(io, leader, under_way);
  all.clear();
  std::filesystem::remove_all(folder);
  return figures;
}

}  // namespace

void measure_record() {
  measure_state();
  for (const size_t replicas : {3u, 5u}) {
    const commit_figures one = run_commits(replicas, 1);
    const commit_figures many = run_commits(replicas, 256);
    const std::string of = str_cat("-of-", replicas);
    print_slope("commits-unbatched" + of, one.per_second, "changes/s");
    print_slope("commits-batched" + of, many.per_second, "changes/s");
    print_slope("commit-p50" + of, one.p50_ms, "ms");
    print_slope("commit-p99" + of, one.p99_ms, "ms");
    print_slope("commit-busy-p99" + of, many.p99_ms, "ms");
  }
}

}  // namespace kestrelreel::capacity
