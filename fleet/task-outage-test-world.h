// Shared by the tests of how long a long-running task is without a run: a
// worker full of backfill tasks, and workers at which starts come to nothing.
#pragma once

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fleet/fleet-test-world.h"

namespace kestrelreel::outage {

/// How a recorded start ends without its run.
enum class vain_start {
  /// No answer carries it, and the worker is not heard again.
  unsent,
  /// The answer is lost, and so is the worker.
  worker_lost,
  /// The answer is lost, and the worker has left before its next call.
  worker_left,
  /// The answer is lost, and the worker drains from its next call on.
  worker_drains,
  /// The answer is lost, and the worker's capacity is less in its next call.
  capacity_shrunk,
  /// The worker refuses to start the task.
  refused,
  /// The answer is lost, and the worker's next incarnation calls.
  worker_restarted,
};

struct row {
  const char* name;
  vain_start way = vain_start::unsent;
  int vain_starts = 0;
  /// From when the leader knows that the task has no run until a worker appears
  /// that gets the next start in vain.
  milliseconds gap{0};
  /// The last run that began ends with its lease; otherwise its worker leaves.
  bool lapses = false;
  /// Leadership changes while the last start in vain is not known to be one.
  bool leader_changes = false;
  /// Workers of another pool: the leader's reviews grow rarer with them.
  int others = 0;
};

struct outcome {
  /// All from the end of the last run that began; `listed` is none if no run
  /// was listed.
  std::optional<milliseconds> listed;
  milliseconds last_loss{0};
  bool last_loss_was_sent = false;
  int vain_starts = 0;
  int stops = 0;
};

constexpr milliseconds step_time{100};
constexpr milliseconds call_interval{200};
constexpr milliseconds time_limit{40'000};
constexpr uint64_t serving_job = 1;
constexpr uint64_t backfill_job = 2;
constexpr uint64_t task_cpu = 1'000;
constexpr uint64_t task_memory = 400;

/// One long-running task and its workers under a leader.
class world {
 public:
  explicit world(const row& it) : row_(it) {
    settings_ = test_world::make_settings();
    settings_.leases.duration = max_lease_duration;
    lead_anew();
    fleet::fleet_request config;
    *config.mutable_put_config() = test_world::make_config(1);
    ask(config);
    for (int i = 0; i < row_.vain_starts; ++i) {
      fleet::worker_beat& before = add("before-" + name_of(i), 0, 0);
      before.set_address(name_of(i) + ":1");
      call(before.worker());
    }
    for (int i = 0; i < row_.others; ++i) {
      const std::string name = "other-" + std::to_string(i);
      add(name, 1, 1).set_pool("elsewhere");
      call(name);
    }
    // Too small for a backfill task beside the long-running one.
    add("home", task_cpu, task_memory);
    call("home");
    submit(serving_job, make_long_running());
    call("home");
    call("home");
    add("full", 4'000, 1'000);
    call("full");
    submit(backfill_job, make_backfill());
    call("full");
    calling_ = {"home", "full"};
    pass(milliseconds(1'000));
    LONGS_EQUAL_TEXT(2, workers_["full"].running_size(), it.name);
  }

  /// Ends the task's run, lets the starts come to nothing, and returns what
  /// was seen.
  outcome run() {
    end_first_run();
    while (!out_.listed && find_task() != nullptr &&
           clock_.now() < ended_at_ + time_limit) {
      if (is_waiting() && !lost_at_) lost_at_ = clock_.now();
      if (lost_at_ && is_waiting()) bring_next();
      pass(step_time);
      if (find_task() != nullptr) review();
    }
    return out_;
  }

 private:
  static std::string name_of(int i) { return "vain-" + std::to_string(i); }

  static fleet::step_spec make_long_running() {
    fleet::step_spec step = test_world::make_step(1, task_cpu);
    step.set_memory_mb(task_memory);
    step.set_long_running(true);
    return step;
  }

  /// Two tasks that fill a worker's memory.
  static fleet::step_spec make_backfill() {
    fleet::step_spec step = test_world::make_step(2, 500);
    step.set_memory_mb(450);
    step.set_fills(true);
    step.set_saves_progress(true);
    step.set_estimate_ms(60'000);
    return step;
  }

  /// Another box becomes the leader; it has the log and knows no worker.
  void lead_anew() {
    std::string book;
    if (leader_) {
      leader_->set_leading(false);
      log_.proposed.clear();
      book = leader_->book().save();
    }
    ++log_.leader_term;
    leader_ =
        std::make_unique<fleet_controller>(settings_, clock_, log_, metrics_);
    if (!book.empty()) CHECK_TRUE(leader_->installed(book).ok());
    leader_->set_leading(true);
  }

  void commit() {
    constexpr int max_rounds = 20;
    for (int i = 0; i < max_rounds; ++i) {
      while (!log_.proposed.empty()) {
        const fleet::fleet_command command = log_.proposed.front();
        log_.proposed.pop_front();
        leader_->applied(command);
      }
      leader_->decide();
      if (log_.proposed.empty()) return;
    }
  }

  fleet::fleet_response ask(const fleet::fleet_request& request) {
    const auto out = std::make_shared<fleet::fleet_response>();
    leader_->request(request,
                     [out](fleet::fleet_response it) { *out = std::move(it); });
    commit();
    return *out;
  }

  void submit(uint64_t job, const fleet::step_spec& step) {
    ask(test_world::make_submit(job, {step}));
  }

  fleet::worker_beat& add(const std::string& name, uint64_t cpu,
                          uint64_t memory) {
    fleet::worker_beat& it = workers_[name];
    it.set_worker(name);
    it.set_pool("pool");
    it.set_address(name + ":1");
    it.set_cpu_milli(cpu);
    it.set_memory_mb(memory);
    return it;
  }

  /// Sends the worker's call; its orders are carried out if `answered`.
  fleet::worker_orders call(const std::string& name, bool answered = true) {
    fleet::worker_beat& it = workers_[name];
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>(clock_.now().count()));
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    const fleet::worker_orders orders = ask(request).orders();
    if (answered && orders.hold_ms() > 0) carry_out(name, orders);
    return orders;
  }

  void carry_out(const std::string& name, const fleet::worker_orders& orders) {
    fleet::worker_beat& it = workers_[name];
    auto& ended = *it.mutable_ended();
    while (!ended.empty() && ended.begin()->number() <= orders.last_end())
      ended.erase(ended.begin());
    for (const fleet::start_order& start : orders.starts()) {
      fleet::running_row& row = *it.add_running();
      *row.mutable_task() = start.task();
      row.set_run(start.run());
      row.set_saved(start.saved());
    }
    for (const fleet::stop_order& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      if (!stops_.try_emplace(run, clock_.now() + settings_.worker_stop).second)
        continue;
      ++out_.stops;
    }
  }

  void list_end(const std::string& name, const fleet::task_ref& task,
                uint32_t run, fleet::run_outcome outcome) {
    fleet::run_end& end = *workers_[name].add_ended();
    end.set_number(++ends_[name]);
    *end.mutable_task() = task;
    end.set_run(run);
    end.set_outcome(outcome);
    end.set_saved("saved");
  }

  /// Ends the runs whose stop is over; true if there is one.
  bool end_stopped(const std::string& name) {
    auto& rows = *workers_[name].mutable_running();
    bool ended = false;
    for (auto it = rows.begin(); it != rows.end();) {
      const run_key run{to_key(it->task()), run_number(it->run())};
      const auto stop = stops_.find(run);
      if (stop == stops_.end() || stop->second > clock_.now()) {
        ++it;
        continue;
      }
      list_end(name, it->task(), it->run(), fleet::run_stopped);
      it = rows.erase(it);
      ended = true;
    }
    return ended;
  }

  void leave(const std::string& name) {
    fleet::fleet_request request;
    request.set_worker_leaves(name);
    ask(request);
    calling_.erase(name);
  }

  void pass(milliseconds n) {
    for (milliseconds at{0}; at < n; at += step_time) {
      clock_.advance(step_time);
      leader_->tick();
      commit();
      const bool due = clock_.now().count() % call_interval.count() == 0;
      const std::set<std::string> calling = calling_;
      for (const std::string& name : calling) {
        // A worker calls at once after an end.
        if (end_stopped(name) || due) call(name);
      }
    }
  }

  void end_first_run() {
    LONGS_EQUAL_TEXT(1, workers_["home"].running_size(), row_.name);
    if (!row_.lapses) {
      workers_["home"].set_draining(true);
      call("home");
      ended_at_ = clock_.now();
      leave("home");
      pass(step_time);
      return;
    }
    call("home");
    calling_.erase("home");
    ended_at_ = clock_.now() + settings_.leases.duration;
    while (clock_.now() < ended_at_ || !is_waiting()) pass(step_time);
  }

  /// The task's entry; null once its job has failed.
  const task_entry* find_task() const {
    return leader_->book().find(task_key{job_number(serving_job), 0, 0, 0});
  }
  const task_entry& task() const { return *find_task(); }
  bool is_waiting() const { return task().phase == task_phase::waiting; }

  bool is_in_vain() const {
    return !is_waiting() && task().worker.str().starts_with("vain-");
  }

  /// Lets the next worker appear so that it gets the start after the gap.
  void bring_next() {
    if (brought_ || out_.vain_starts >= row_.vain_starts) return;
    // A worker that follows another one at its place gets no interrupted task
    // in its first 0.9 s: the start comes between two calls.
    const bool unsent = row_.way == vain_start::unsent;
    const milliseconds ahead(unsent ? 900 : 0);
    if (clock_.now() - *lost_at_ + ahead < row_.gap) return;
    brought_ = true;
    const std::string name = name_of(out_.vain_starts);
    fleet::worker_beat& it = add(name, task_cpu, task_memory);
    if (!unsent) it.set_address("new-" + name + ":1");
    if (row_.way == vain_start::worker_restarted) it.set_born(1);
    call(name, false);
  }

  /// What the worker of a start in vain does in the call after it.
  void follow_up(const std::string& name) {
    fleet::worker_beat& it = workers_[name];
    switch (row_.way) {
      case vain_start::unsent:
      case vain_start::worker_lost:
        return;
      case vain_start::worker_left:
        return leave(name);
      case vain_start::worker_drains:
        it.set_draining(true);
        it.set_remaining_ms(60'000);
        break;
      case vain_start::capacity_shrunk:
        it.set_memory_mb(1);
        break;
      case vain_start::refused:
        list_end(name, to_ref({job_number(serving_job), 0, 0, 0}),
                 static_cast<uint32_t>(task().run.value()), fleet::run_refused);
        it.set_memory_mb(1);
        break;
      case vain_start::worker_restarted:
        it.set_born(2);
        it.set_memory_mb(1);
        it.set_sequence(0);
        break;
    }
    call(name);
    calling_.insert(name);
  }

  /// Follows the task's state in the book and in the workers' calls.
  void review() {
    if (is_in_vain() && !placed_at_) {
      placed_at_ = clock_.now();
      follow_up(name_of(out_.vain_starts));
    }
    const bool waits = is_waiting();
    const bool in_vain = is_in_vain();
    if (in_vain && row_.leader_changes && !changed_ &&
        out_.vain_starts + 1 == row_.vain_starts &&
        clock_.now() - *placed_at_ >= milliseconds(300)) {
      changed_ = true;
      lead_anew();
    }
    if (waits && placed_at_) {
      placed_at_.reset();
      brought_ = false;
      ++out_.vain_starts;
      lost_at_ = clock_.now();
      out_.last_loss = clock_.now() - ended_at_;
      out_.last_loss_was_sent = row_.way != vain_start::unsent || changed_;
    }
    if (!waits && !in_vain && lists_run(task().worker))
      out_.listed = clock_.now() - ended_at_;
  }

  /// True if the leader was told of the task's run.
  bool lists_run(const worker_id& worker) const {
    const run_key run{{job_number(serving_job), 0, 0, 0}, task().run};
    const auto& views = leader_->workers().views();
    const auto it = views.find(worker);
    return it != views.end() && it->second.rows.contains(run);
  }

  row row_;
  controller_settings settings_;
  test_clock clock_;
  test_log log_;
  metrics_registry metrics_;
  std::unique_ptr<fleet_controller> leader_;
  std::map<std::string, fleet::worker_beat> workers_;
  std::map<std::string, uint64_t> ends_;
  std::set<std::string> calling_;
  std::map<run_key, time_point> stops_;
  time_point ended_at_{};
  std::optional<time_point> lost_at_;
  std::optional<time_point> placed_at_;
  bool brought_ = false;
  bool changed_ = false;
  outcome out_;
};

}  // namespace kestrelreel::outage
