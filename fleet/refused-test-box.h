// One control box of a seeded simulation: the real replica, controller and
// lease on an in-memory disk, wired as in the box's service.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "consensus/leader-lease.h"
#include "consensus/replica.h"
#include "consensus/soak/fake-disk.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::refused {

constexpr milliseconds tick_interval{100};
constexpr milliseconds decision_interval{15};
constexpr milliseconds lease_time{650};
/// Log entries after which a snapshot is taken.
constexpr uint64_t snapshot_entries = 40;
constexpr uint64_t max_tasks = 25;

/// A replica that can crash or pause, and whose disk can be slow or full.
class control_box final : public replica_callbacks,
                          public serial_executor,
                          public fleet_log {
 public:
  using send_function = std::function<void(const proto::raft_message&)>;

  control_box(std::string name, std::vector<std::string> box_names,
              clock_source& clock, random_source& random, send_function send)
      : name_(std::move(name)),
        box_names_(std::move(box_names)),
        clock_(clock),
        random_(random),
        send_(std::move(send)) {}

  void start() {
    controller_settings settings = test_world::make_settings();
    settings.max_live_tasks = max_tasks;
    lease_ = std::make_unique<leader_lease>(lease_time);
    controller_ =
        std::make_unique<fleet_controller>(settings, clock_, *this, metrics_);
    const box_id self(name_);
    auto store = log_store::open(disk_, self);
    if (absl::IsNotFound(store.status())) {
      store = log_store::create(disk_, self, "founder", founders());
    }
    raft_settings raft;
    raft.self = self;
    raft.identity = (*store)->identity();
    raft.election_ticks = 8;
    raft.slow_write_ticks = 4;
    compaction_settings compaction;
    compaction.entries = snapshot_entries;
    ticked_at_ = clock_.now();
    replica_ = std::make_unique<replica>(raft, random_, std::move(*store),
                                         *this, *this, compaction);
  }

  /// Crashes the box. Waiting requests are never answered.
  void crash() {
    replica_.reset();
    controller_.reset();
    writes_.clear();
    disk_.crash(random_);
  }

  bool up() const { return replica_ != nullptr; }
  bool is_running() const { return up() && clock_.now() >= paused_until; }
  const std::string& name() const { return name_; }
  const fleet_controller& controller() const { return *controller_; }
  const raft& state() const { return replica_->state(); }
  bool leads() const { return up() && controller_->leading(); }

  void receive(const proto::raft_message& m) {
    replica_->receive(m);
    check_role();
  }

  void request(const fleet::fleet_request& request,
               const fleet_controller::respond_function& respond) {
    controller_->request(request, respond);
  }

  /// Transfers leadership, as before a planned stop or with a slow disk.
  void transfer_leadership() {
    replica_->transfer_leadership();
    check_role();
  }

  /// Runs the timers and disk writes that are due.
  void run_timers_and_disk() {
    run_disk();
    if (clock_.now() - ticked_at_ >= tick_interval) tick();
    if (clock_.now() - decided_at_ < decision_interval) return;
    if (!controller_->has_pending_decisions()) return;
    decided_at_ = clock_.now();
    controller_->decide();
  }

  bool may_decide() override {
    return replica_ && lease_->valid(replica_->state(), clock_.now());
  }
  term_number term() const override {
    return term_number(replica_ ? replica_->state().term() : 0);
  }
  absl::Status propose(const fleet::fleet_command& command) override {
    return replica_->propose(command.SerializeAsString());
  }

  void run(std::function<absl::Status()> work,
           std::function<void(absl::Status)> done) override {
    const auto n = static_cast<int64_t>(
        random_.below(random_.below(slow_one_in) == 0 ? 700 : 9));
    writes_.push_back(
        {clock_.now() + milliseconds(n), std::move(work), std::move(done)});
  }
  void send(const proto::raft_message& m) override { send_(m); }
  void install(const proto::log_snapshot& snapshot) override {
    CHECK_TRUE(controller_->installed(snapshot.data()).ok());
  }
  void apply(const proto::log_entry& entry) override {
    if (entry.kind() != proto::entry_command) return;
    fleet::fleet_command command;
    CHECK_TRUE(command.ParseFromString(entry.payload()));
    controller_->applied(command);
  }
  std::string save_state() override { return controller_->book().save(); }
  void disk_failed(const absl::Status& status) override {
    FAIL(std::string(status.message()).c_str());
  }

  time_point paused_until{};
  time_point full_until{};
  time_point no_receive_until{};
  time_point no_send_until{};
  /// One of this many writes is slow.
  uint64_t slow_one_in = 1'000'000;

 private:
  struct pending_write {
    time_point completes_at;
    std::function<absl::Status()> work;
    std::function<void(absl::Status)> done;
  };

  proto::membership founders() const {
    proto::membership members;
    for (const std::string& it : box_names_) {
      proto::replica& voter = *members.add_voters();
      voter.set_box(it);
      voter.set_identity("founder");
    }
    return members;
  }

  void run_disk() {
    while (!writes_.empty() && writes_.front().completes_at <= clock_.now()) {
      const pending_write it = std::move(writes_.front());
      writes_.pop_front();
      const bool full = clock_.now() < full_until;
      it.done(full ? absl::ResourceExhaustedError("full") : it.work());
    }
  }

  void tick() {
    ticked_at_ = clock_.now();
    lease_->before_tick(clock_.now());
    replica_->tick();
    lease_->after_tick(replica_->state());
    check_role();
    controller_->tick();
  }

  void check_role() {
    controller_->set_leading(replica_->state().is_ready_leader());
  }

  std::string name_;
  std::vector<std::string> box_names_;
  clock_source& clock_;
  random_source& random_;
  send_function send_;
  metrics_registry metrics_;
  fake_disk disk_;
  std::deque<pending_write> writes_;
  std::unique_ptr<leader_lease> lease_;
  std::unique_ptr<fleet_controller> controller_;
  std::unique_ptr<replica> replica_;
  time_point ticked_at_{};
  time_point decided_at_{};
};

}  // namespace kestrelreel::refused
