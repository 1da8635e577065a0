// A leader whose work costs time on the virtual clock, as on a small share of a
// core. Workers send heartbeats to intake boxes, which forward them to it.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/busy-leader-test-parts.h"

namespace kestrelreel::busy {

/// Simulates a leader with many workers. The log is a queue whose entries are
/// committed after a fixed delay.
class busy_world final : public fleet_log {
 public:
  explicit busy_world(const scenario& it)
      : scenario_(it), leader_(make_settings(), clock_, *this, metrics_) {
    for (int i = 0; i < it.intake_boxes; ++i) {
      boxes_.push_back(std::make_unique<intake_box>(clock_, metrics_));
    }
    for (int i = 0; i < it.workers; ++i) {
      busy_worker& worker = workers_.emplace_back();
      worker.state.id = worker.state.name = "w" + std::to_string(i);
      worker.state.address = worker.state.id + ":1";
      worker.state.born = clock_.now();
      worker.state.born_ms = slow::start_unix_ms;
      worker.state.lease = clock_.now();
      worker.state.next_call =
          clock_.now() + milliseconds(i % it.first_call_spread.count());
      worker.box = i % it.intake_boxes;
    }
    leader_.set_leading(true);
    fleet::fleet_request request;
    *request.mutable_put_config() = test_world::make_config(1, 99);
    ask(request);
  }

  bool may_decide() override { return true; }
  term_number term() const override { return term_number(term_); }
  absl::Status propose(const fleet::fleet_command& command) override {
    entries_.push_back({clock_.now() + scenario_.commit_time, command});
    return absl::OkStatus();
  }

  void pass(milliseconds length) {
    const time_point end = clock_.now() + length;
    while (clock_.now() < end && out_.violation.empty()) one_step();
  }

  /// Submits one task without an end for each worker.
  void submit_endless_tasks() {
    const auto n = static_cast<uint32_t>(scenario_.workers);
    fleet::step_spec step = test_world::make_step(n);
    step.set_anti_affinity(1);
    submit(endless_job, step);
  }

  /// Submits `n` long-running jobs of `tasks_per_job` tasks.
  void submit_long_running(int n, uint32_t tasks_per_job) {
    for (int i = 0; i < n; ++i) {
      fleet::step_spec step = test_world::make_step(tasks_per_job);
      step.set_long_running(true);
      step.set_target_ms(100);
      step.set_image("serving");
      submit(++long_running_jobs_, step);
    }
  }

  /// Sets the delays of the leader's answers to the first `n` boxes and of the
  /// calls of these boxes to the leader.
  void delay_boxes(int n, milliseconds answer_delay, milliseconds call_delay) {
    for (size_t i = 0; i < static_cast<size_t>(n); ++i) {
      boxes_[i]->answer_delay = answer_delay;
      boxes_[i]->call_delay = call_delay;
    }
  }

  /// Cuts the first box off from the leader, or connects it again.
  void cut_first_box(bool cut_off) { boxes_[0]->cut_off = cut_off; }

  void set_jobs_per_s(double n) { scenario_.jobs_per_s = n; }

  /// Another box becomes leader: the job book is kept, the state of the
  /// workers is not.
  void change_leader() {
    ++term_;
    charged([this] {
      leader_.set_leading(false);
      leader_.set_leading(true);
    });
    for (auto& box : boxes_) {
      box->sent.clear();
      box->replies.clear();
      box->intake.leader_changed();
    }
  }

  /// Loses the first `n` workers for good, with their runs.
  void lose_workers(int n) {
    for (int i = 0; i < n; ++i) workers_[static_cast<size_t>(i)].lost = true;
  }
  /// Interrupts the first `n` workers that run long-running tasks.
  void interrupt_long_running(int n, interruption how) {
    for (busy_worker* worker : workers_with_long_running(workers_, n)) {
      worker->lost = how != interruption::fail;
      if (how == interruption::leave) ask(make_leave(worker->state));
      if (how == interruption::fail) end_all(*worker, fleet::run_failed);
    }
  }

  const outcome& out() {
    waits_.finish(clock_.now(), out_);
    end_waits_.finish(clock_.now(), out_);
    return out_;
  }

 private:
  void one_step() {
    clock_.advance(step_time);
    submit_due_jobs();
    exchange_leader_delays();
    for (auto& box : boxes_) forward(*box);
    budget_us_ = std::min(budget_us_ + us_per_step, us_per_step);
    // Work that exceeds the budget delays the following steps.
    while (budget_us_ > 0 && run_next_source()) {
    }
    for (size_t i = 0; i < workers_.size(); ++i) advance_worker(i);
    for (reply& it : std::exchange(replies_, {})) handle(it);
  }

  /// Submits the short jobs that are due, spread evenly over time.
  void submit_due_jobs() {
    constexpr double ms_per_s = 1'000;
    due_jobs_ += scenario_.jobs_per_s * step_time.count() / ms_per_s;
    for (; due_jobs_ >= 1; --due_jobs_) {
      fleet::step_spec step = test_world::make_step(scenario_.tasks_per_job);
      step.set_estimate_ms(static_cast<uint64_t>(short_task_time.count()));
      submit(first_short_job + ++short_jobs_, step);
    }
  }

  void ask(const fleet::fleet_request& request) {
    leader_.request(request, [](const fleet::fleet_response&) {});
  }

  void submit(uint64_t job, const fleet::step_spec& step) {
    submissions_.push_back(test_world::make_submit(job, {step}));
  }

  /// The boxes tell each other their delays to the leader.
  void exchange_leader_delays() {
    if (clock_.now() % tick_interval != milliseconds(0)) return;
    for (auto& box : boxes_) {
      std::optional<milliseconds> shortest;
      for (auto& other : boxes_) {
        const auto rtt = other->intake.leader_rtt();
        if (&other == &box || !rtt) continue;
        shortest = shortest ? std::min(*shortest, *rtt) : *rtt;
      }
      box->intake.set_best_peer_rtt(shortest);
    }
  }

  void forward(intake_box& box) {
    if (box.cut_off) {
      box.sent.clear();
      box.replies.clear();
    }
    while (!box.replies.empty() &&
           box.replies.front().arrives + box.answer_delay <= clock_.now()) {
      fleet::beat_answers one;
      *one.add_answers() = std::move(box.replies.front().answer);
      box.replies.pop_front();
      box.intake.handle_answers(one);
    }
    if (clock_.now() % tick_interval == milliseconds(0)) box.intake.expire();
    if (clock_.now() % forward_interval != milliseconds(0)) return;
    if (box.intake.has_pending_calls()) {
      box.sent.push_back(
          {clock_.now(), box.intake.collect("leader" + std::to_string(term_))});
    }
  }

  /// Does the next piece of work, round robin over the sources; returns false
  /// if there is none.
  bool run_next_source() {
    const int sources = 4 + scenario_.intake_boxes;
    for (int i = 0; i < sources; ++i) {
      last_source_ = (last_source_ + 1) % sources;
      const double cost = run_source(last_source_);
      if (cost == 0) continue;
      budget_us_ -= cost;
      return true;
    }
    return false;
  }

  /// Returns the cost in microseconds, 0 if the source had no work.
  double run_source(int source) {
    const time_point now = clock_.now();
    const step_costs& cost = scenario_.cost;
    if (source == 0) {
      if (now - ticked_at_ < tick_interval) return 0;
      ticked_at_ = now;
      return charged([this] { leader_.tick(); });
    }
    if (source == 1) {
      const bool due = now - decided_at_ >= leader_.decision_interval();
      if (!leader_.has_pending_decisions() || !due) return 0;
      decided_at_ = now;
      return charged([this] { leader_.decide(); });
    }
    if (source == 2) {
      if (entries_.empty() || entries_.front().due_at > now) return 0;
      return charged([this] { apply(); }, cost.entry - cost.loop_turn);
    }
    if (source == 3) {
      if (submissions_.empty()) return 0;
      const double all = charged([this] { ask(submissions_.front()); },
                                 cost.entry - cost.loop_turn);
      submissions_.pop_front();
      return all;
    }
    return read_batch(*boxes_[static_cast<size_t>(source - 4)]);
  }

  double read_batch(intake_box& box) {
    const bool due = !box.sent.empty() &&
                     box.sent.front().at + box.call_delay <= clock_.now();
    if (!due) return 0;
    const fleet::beat_batch batch = std::move(box.sent.front().batch);
    box.sent.pop_front();
    // The leader ignores the differences that it refuses.
    const auto refused =
        std::make_shared<std::set<std::pair<std::string, uint64_t>>>();
    const auto answer = [this, &box, refused](fleet::beat_answer it) {
      if (it.response().has_orders()) ++out_.answers;
      if (it.response().wants_whole()) {
        refused->emplace(it.worker(), it.sequence());
      }
      box.replies.push_back({clock_.now(), std::move(it)});
    };
    const double spent = charged(
        [&] { leader_.take_heartbeats(batch, answer); },
        scenario_.cost.read * (batch.beats_size() + batch.waiting_size()));
    for (const fleet::worker_beat& it : batch.beats()) {
      if (!refused->contains({incarnation_of(it).str(), it.sequence()}))
        record_read(it);
    }
    return spent;
  }

  void record_read(const fleet::worker_beat& beat) {
    busy_worker& worker = workers_[std::stoul(beat.worker().substr(1))];
    if (worker.lost || beat.sequence() <= worker.read) return;
    if (worker.read > 0) {
      out_.longest_read_gap =
          std::max(out_.longest_read_gap, clock_.now() - worker.read_at);
    }
    worker.read = beat.sequence();
    worker.read_at = clock_.now();
  }

  /// Runs `work` and returns its cost in microseconds: from the leader's
  /// counters of checks and answers plus `more`, or from the measured processor
  /// time.
  template <typename Work>
  double charged(Work work, double more = 0) {
    uint64_t& placement_checks =
        metrics_.counter("kestrelreel_placement_looks_total");
    uint64_t& capacity_checks =
        metrics_.counter("kestrelreel_room_looks_total");
    const uint64_t placement_checks_before = placement_checks;
    const uint64_t capacity_checks_before = capacity_checks;
    const uint64_t answers_before = out_.answers;
    const double started_us = thread_cpu_us();
    work();
    const double spent_us = thread_cpu_us() - started_us;
    out_.leader_us += spent_us;
    if (scenario_.processor_share > 0)
      return spent_us / scenario_.processor_share;
    const step_costs& cost = scenario_.cost;
    return more + cost.loop_turn +
           cost.placement_check *
               static_cast<double>(placement_checks - placement_checks_before) +
           cost.capacity_check *
               static_cast<double>(capacity_checks - capacity_checks_before) +
           cost.answer * static_cast<double>(out_.answers - answers_before);
  }

  void apply() {
    const fleet::fleet_command command = std::move(entries_.front().command);
    entries_.pop_front();
    leader_.applied(command);
    for (const auto& it : command.batch().commands()) {
      end_waits_.recorded(it.report(), clock_.now(), out_);
      for (const fleet::run_start& start : it.starts().starts()) {
        waits_.start_committed({to_key(start.task()), run_number(start.run())},
                               clock_.now());
      }
    }
  }

  void advance_worker(size_t i) {
    busy_worker& worker = workers_[i];
    const time_point now = clock_.now();
    if (worker.lost) return worker.lapsed ? void() : drop_runs(worker);
    for (auto run = worker.state.runs.begin();
         run != worker.state.runs.end();) {
      const auto next = std::next(run);
      if (now >= run->second) end_run(worker, run->first, fleet::run_done);
      run = next;
    }
    if (now >= worker.state.lease) expire_lease(worker);
    if (worker.state.pending != 0 && now - worker.state.sent >= answer_limit)
      try_next_box(worker);
    if (worker.state.pending == 0 && now >= worker.state.next_call)
      send_heartbeat(i);
  }

  void drop_runs(busy_worker& worker) {
    worker.lapsed = true;
    end_waits_.lost(worker.state.id);
    for (const auto& [run, ends] : worker.state.runs)
      record_interruption(run.task);
    worker.state.runs.clear();
  }

  void expire_lease(busy_worker& worker) {
    out_.lapsed += static_cast<int>(worker.state.runs.size());
    end_all(worker, fleet::run_lapsed);
    ends_.expire_lease(worker.state.id);
  }

  void end_all(busy_worker& worker, fleet::run_outcome outcome) {
    const auto runs = worker.state.runs;
    for (const auto& [run, ends] : runs) end_run(worker, run, outcome);
  }

  void try_next_box(busy_worker& worker) {
    worker.state.pending = 0;
    worker.box = (worker.box + 1) % scenario_.intake_boxes;
    worker.state.next_call = clock_.now();
  }

  void end_run(busy_worker& worker, run_key run, fleet::run_outcome outcome) {
    worker.state.runs.erase(run);
    fleet::run_end& end = worker.state.ended.emplace_back();
    end.set_number(++worker.state.end_number);
    *end.mutable_task() = to_ref(run.task);
    end.set_run(static_cast<uint32_t>(run.run.value()));
    end.set_outcome(outcome);
    worker.state.next_call =
        std::min(worker.state.next_call, clock_.now() + call_delay_after_end);
    record_interruption(run.task);
    if (outcome != fleet::run_done) return;
    ++out_.done;
    done_.insert(run.task);
    ends_.add(run.task, {worker.state.id, end.number(), clock_.now()});
  }

  void send_heartbeat(size_t i) {
    simulated_worker& it = workers_[i].state;
    it.pending = ++it.sequence;
    it.sent = clock_.now();
    for (const fleet::run_end& end : it.ended) {
      end_waits_.listed(it.id, {to_key(end.task()), run_number(end.run())},
                        clock_.now());
    }
    boxes_[static_cast<size_t>(workers_[i].box)]->intake.take(
        slow::make_beat(it, clock_.now()),
        [this, i, n = it.sequence](fleet::fleet_response response) {
          replies_.push_back({i, n, std::move(response)});
        });
  }

  void handle(reply& answer) {
    busy_worker& worker = workers_[answer.worker];
    simulated_worker& it = worker.state;
    if (worker.lost || it.pending != answer.sequence) return;
    if (answer.response.status() != fleet::fleet_ok)
      return try_next_box(worker);
    const fleet::worker_orders& orders = answer.response.orders();
    it.pending = 0;
    const milliseconds pause(static_cast<int64_t>(orders.next_beat_ms()));
    it.next_call = clock_.now() + std::max(pause, call_delay_after_end);
    if (orders.hold_ms() == 0) return;
    const int first = static_cast<int>(answer.worker) % scenario_.intake_boxes;
    const bool up = !boxes_[static_cast<size_t>(first)]->cut_off;
    if (scenario_.returns_to_first_box && up) worker.box = first;
    it.lease = std::max(
        it.lease,
        it.sent + milliseconds(static_cast<int64_t>(orders.hold_ms())));
    std::erase_if(it.ended, [&](const auto& e) {
      return e.number() <= orders.last_end();
    });
    fail(ends_.acknowledge(it.id, orders.last_end()));
    for (const auto& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      it.highest[run.task] = std::max(it.highest[run.task], run.run);
      if (it.runs.contains(run)) end_run(worker, run, fleet::run_stopped);
    }
    for (const auto& start : orders.starts()) start_run(worker, start);
  }

  void start_run(busy_worker& worker, const fleet::start_order& start) {
    simulated_worker& it = worker.state;
    const run_key run{to_key(start.task()), run_number(start.run())};
    if (run.run <= it.highest[run.task]) return;
    it.highest[run.task] = run.run;
    if (!running_.insert(run.task).second) {
      fail(to_text(run.task) + " runs twice");
    }
    fail(ends_.start(run.task));
    if (done_.contains(run.task)) ++out_.restarts_after_success;
    if (it.runs.size() >= slow::worker_cpus)
      fail(it.id + " is over its capacity");
    const time_point now = clock_.now();
    waits_.started(run, now, out_);
    it.runs[run] =
        is_endless(run.task) ? time_point::max() : now + short_task_time;
  }

  void record_interruption(const task_key& task) {
    running_.erase(task);
    if (is_long_running(task)) waits_.interrupted(task, clock_.now());
  }
  void fail(const std::string& what) {
    if (out_.violation.empty() && !what.empty()) {
      out_.violation = what + " at " + std::to_string(clock_.now().count());
    }
  }

  scenario scenario_;
  test_clock clock_;
  metrics_registry metrics_;
  fleet_controller leader_;
  std::vector<std::unique_ptr<intake_box>> boxes_;
  std::deque<busy_worker> workers_;
  std::deque<entry> entries_;
  std::deque<fleet::fleet_request> submissions_;
  std::vector<reply> replies_;
  task_waits waits_;
  end_waits end_waits_;
  std::set<task_key> running_;
  std::set<task_key> done_;
  end_tracker ends_;
  outcome out_;
  double budget_us_ = 0;
  double due_jobs_ = 0;
  uint64_t short_jobs_ = 0;
  uint64_t long_running_jobs_ = 0;
  uint64_t term_ = 1;
  int last_source_ = 0;
  time_point ticked_at_{};
  time_point decided_at_{};
};

}  // namespace kestrelreel::busy
