// Simulates slow leaders, workers and links on a virtual clock. A run reports
// the first violated invariant: a task that runs twice, a task that starts
// after its success was acknowledged, or a worker over its capacity.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::slow {

class slow_world {
 public:
  slow_world(uint64_t seed, faults f) : draws_(seed), faults_(f) {
    for (int i = 0; i < boxes; ++i) {
      box& it = boxes_.emplace_back();
      it.log = std::make_unique<box_log>(*this, i);
      it.controller = std::make_unique<fleet_controller>(
          test_world::make_settings(), clock_, *it.log, metrics_);
      it.intake = std::make_unique<heartbeat_intake>(intake_settings(), clock_,
                                                     metrics_);
    }
    for (int i = 0; i < workers; ++i) {
      simulated_worker& it = workers_.emplace_back();
      it.address = "place" + std::to_string(i);
      start_incarnation(it);
    }
    elect(0);
    fleet::fleet_command config;
    *config.mutable_config() = test_world::make_config(1, 99);
    committed_.push_back(config);
  }

  /// Returns the first violation, or an empty string.
  std::string run(milliseconds length) {
    const time_point end = clock_.now() + length;
    while (clock_.now() < end && violation_.empty()) one_step();
    return violation_;
  }
  int done() const { return done_; }

  bool leads(int b) const { return leader_ == b; }
  uint64_t term() const { return term_; }
  absl::Status propose(int b, const fleet::fleet_command& command) {
    if (leader_ != b) return absl::UnavailableError("does not lead");
    proposals_.push_back(
        {clock_.now() + draws_.up_to(faults_.commit_time), command});
    return absl::OkStatus();
  }

 private:
  void fail(const std::string& what) {
    if (violation_.empty() && !what.empty()) {
      violation_ = what + " at " + std::to_string(clock_.now().count());
    }
  }

  void start_incarnation(simulated_worker& it) {
    const std::string address = it.address;
    it = simulated_worker();
    it.address = address;
    it.id = it.name = "w" + std::to_string(++incarnations_);
    it.born = clock_.now();
    if (faults_.slow_clocks) it.clock_percent = 98;
    it.born_ms = start_unix_ms + static_cast<uint64_t>(it.born.count());
  }

  /// Its heartbeats in transit arrive after those of the next incarnation.
  void crash(simulated_worker& it) {
    if (faults_.crashed_listen) left_leases_[it.id] = it.lease;
    start_incarnation(it);
  }

  /// Restarts the worker under its name. A network cut may outlast the crash.
  void restart(simulated_worker& it) {
    const std::string name = it.name;
    const time_point cut_until = it.cut_until;
    start_incarnation(it);
    it.name = name;
    if (draws_.one_in(2)) it.cut_until = cut_until;
    if (happens(faults_.clock_set_back)) it.born_ms -= 1 + draws_.draw(60'000);
  }

  milliseconds delay() {
    return faults_.quiet_links ? draws_.up_to(normal_delay) : draws_.delay();
  }

  bool happens(unsigned one_in) { return one_in > 0 && draws_.one_in(one_in); }

  void one_step() {
    clock_.advance(step_time);
    inject_faults();
    if (leader_ < 0 && clock_.now() >= elect_at_) {
      elect(static_cast<int>(draws_.draw(boxes)));
    }
    commit();
    for (int i = 0; i < boxes; ++i) run_box(i);
    submit();
    for (simulated_worker& it : workers_) advance_worker(it);
    for (const auto& [worker, lease] : left_leases_) {
      if (lease <= clock_.now() && clock_.now() < lease + step_time) {
        ends_.expire_lease(worker);
      }
    }
    deliver();
  }

  void inject_faults() {
    for (box& it : boxes_) {
      if (happens(faults_.stall)) {
        it.stalled_until = clock_.now() + draws_.up_to(milliseconds(5'000));
      }
    }
    if (happens(faults_.crash)) crash(workers_[draws_.draw(workers)]);
    if (happens(faults_.restart)) restart(workers_[draws_.draw(workers)]);
    if (happens(faults_.cut)) {
      workers_[draws_.draw(workers)].cut_until =
          clock_.now() + draws_.up_to(milliseconds(9'000));
    }
    if (happens(faults_.leave)) {
      simulated_worker& it = workers_[draws_.draw(workers)];
      if (!it.leaves_at) {
        const milliseconds least =
            std::max(milliseconds(faults_.quiet_links ? 1'000 : 0),
                     faults_.least_notice);
        it.leaves_at = clock_.now() + least + draws_.up_to(milliseconds(3'000));
      }
    }
    if (happens(faults_.election) && leader_ >= 0) {
      // A random prefix of the pending proposals is committed.
      const size_t committed = draws_.draw(proposals_.size() + 1);
      for (size_t i = 0; i < committed; ++i) {
        committed_.push_back(proposals_[i].command);
      }
      proposals_.clear();
      leader_ = -1;
      elect_at_ = clock_.now() + draws_.up_to(milliseconds(1'500));
    }
  }

  void elect(int b) {
    leader_ = b;
    ++term_;
  }

  void commit() {
    while (!proposals_.empty() && proposals_.front().due_at <= clock_.now()) {
      committed_.push_back(proposals_.front().command);
      proposals_.pop_front();
    }
  }

  /// A stalled box does nothing; afterwards its timers and waiting messages are
  /// handled in random order.
  void run_box(int b) {
    box& it = boxes_[b];
    if (clock_.now() < it.stalled_until) return;
    if (leader_ != b) it.controller->set_leading(false);
    while (it.applied < committed_.size()) {
      it.controller->applied(committed_[it.applied++]);
    }
    if (leader_ == b) it.controller->set_leading(true);
    if (draws_.one_in(2)) it.controller->tick();
    read_leave_messages(it);
    read_heartbeats(it);
    if (faults_.intakes) forward(b);
    if (ticks_++ % 5 == 0) it.controller->tick();
    it.controller->decide();
  }

  void read_leave_messages(box& it) {
    std::vector<leave_message> rest;
    for (const leave_message& message : it.leaves) {
      if (message.arrives > clock_.now()) {
        rest.push_back(message);
        continue;
      }
      fleet::fleet_request request;
      request.set_worker_leaves(message.worker);
      it.controller->request(request, [](const fleet::fleet_response&) {});
    }
    it.leaves = std::move(rest);
  }

  void read_heartbeats(box& it) {
    size_t max_reads = 20;
    if (faults_.slow_read > 0) max_reads = draws_.draw(faults_.slow_read);
    std::vector<heartbeat> rest;
    for (heartbeat& h : it.inbox) {
      if (h.arrives > clock_.now() || max_reads == 0) {
        rest.push_back(std::move(h));
        continue;
      }
      --max_reads;
      const auto respond = [this, id = h.incarnation,
                            n = h.beat.sequence()](fleet::fleet_response r) {
        if (left_leases_.contains(id)) drop_ended(id, r.orders().last_end());
        if (happens(faults_.lost_answer)) return;
        answers_.push_back({clock_.now() + delay(), id, n, r.orders()});
      };
      if (faults_.intakes && !it.controller->leading()) {
        it.intake->take(h.beat, respond);
        continue;
      }
      fleet::fleet_request request;
      *request.mutable_beat() = h.beat;
      it.controller->request(request, respond);
    }
    it.inbox = std::move(rest);
  }

  /// Handles the batches forwarded by other boxes and the leader's answers, and
  /// forwards the heartbeats received by this box.
  void forward(int b) {
    box& it = boxes_[b];
    std::erase_if(it.batches, [&](const forwarded_batch& passed) {
      if (passed.arrives > clock_.now()) return false;
      it.controller->take_heartbeats(
          passed.batch, [this, from = passed.from](fleet::beat_answer answer) {
            boxes_[from].replies.push_back(
                {clock_.now() + delay(), std::move(answer)});
          });
      return true;
    });
    read_replies(it, clock_.now());
    if (std::exchange(it.known_leader, leader_) != leader_) {
      it.intake->leader_changed();
    }
    it.intake->expire();
    if (leader_ < 0 || !it.intake->has_pending_calls()) return;
    boxes_[leader_].batches.push_back(
        {clock_.now() + (leader_ == b ? milliseconds(0) : delay()), b,
         it.intake->collect(std::to_string(leader_))});
  }

  void submit() {
    if (leader_ < 0 || !draws_.one_in(15)) return;
    ++jobs_;
    boxes_[leader_].controller->request(
        is_long_running(jobs_) ? make_long_running_job(jobs_)
                               : make_job(jobs_, 1 + draws_.draw(3)),
        [](const fleet::fleet_response&) {});
  }

  bool is_long_running(uint64_t job) const {
    return faults_.long_running && job <= long_running_jobs;
  }

  void end_run(simulated_worker& it, run_key run, fleet::run_outcome outcome) {
    it.runs.erase(run);
    const fleet::run_end& end = list_end(it, run, outcome);
    if (outcome != fleet::run_done) return;
    ++done_;
    successful_end success{it.id, end.number(), clock_.now()};
    success.must_count = faults_.quiet_links;
    ends_.add(run.task, success);
  }

  void advance_worker(simulated_worker& it) {
    const time_point now = clock_.now();
    for (auto run = it.runs.begin(); run != it.runs.end();) {
      const auto next = std::next(run);
      if (now >= run->second) end_run(it, run->first, fleet::run_done);
      run = next;
    }
    if (now >= it.lease) expire_lease(it);
    if (it.leaves_at && !it.ends_at && now >= *it.leaves_at) {
      send_leave(it);
      if (!happens(faults_.unanswered_leave)) return end(it);
      it.ends_at = now + draws_.up_to(max_stay);
    }
    if (it.ends_at && now >= *it.ends_at) return end(it);
    if (it.pending != 0 && now - it.sent >= answer_limit) {
      it.pending = 0;
      it.next_call = now;
      ++it.timed_out_calls;
    }
    if (it.pending == 0 && now >= it.next_call) send_heartbeat(it);
  }

  void send_leave(const simulated_worker& it) {
    const int b = leader_ < 0 ? 0 : leader_;
    boxes_[b].leaves.push_back({clock_.now() + delay(), it.id, it.name});
  }

  /// The worker's runs die. Its last heartbeat may still be in flight; the next
  /// incarnation starts later.
  void end(simulated_worker& it) {
    left_leases_[it.id] = it.lease;
    start_incarnation(it);
    it.next_call = clock_.now() + draws_.up_to(milliseconds(2'000));
  }

  void expire_lease(simulated_worker& it) {
    const auto runs = it.runs;
    for (const auto& [run, ends] : runs) end_run(it, run, fleet::run_lapsed);
    ends_.expire_lease(it.id);
  }

  void send_heartbeat(simulated_worker& it) {
    it.pending = ++it.sequence;
    it.sent = clock_.now();
    const fleet::worker_beat beat = make_beat(it, clock_.now());
    const bool via_any_box = leader_ < 0 || faults_.intakes ||
                             (!faults_.quiet_links && draws_.one_in(30));
    const int b = via_any_box ? static_cast<int>(draws_.draw(boxes)) : leader_;
    time_point arrives = clock_.now() + delay();
    if (clock_.now() < it.cut_until) {
      if (draws_.one_in(2)) return;
      arrives = std::max(arrives, it.cut_until);
    }
    if (!via_any_box) require_listed_ends(it, arrives);
    boxes_[b].inbox.push_back({arrives, it.id, beat});
  }

  /// Without other faults, an end in a heartbeat that was not delayed must be
  /// counted, even if the worker terminates before the acknowledgement.
  void require_listed_ends(const simulated_worker& it, time_point arrives) {
    const bool no_faults = faults_.stall + faults_.election + faults_.crash +
                               faults_.slow_read + faults_.cut ==
                           0;
    if (no_faults && arrives - clock_.now() <= normal_delay)
      ends_.require(it.id);
  }

  void deliver() {
    std::vector<answer> rest;
    for (answer& it : answers_) {
      if (it.arrives > clock_.now()) {
        rest.push_back(std::move(it));
        continue;
      }
      for (simulated_worker& m : workers_) {
        if (clock_.now() < m.cut_until) continue;
        if (m.id == it.worker && m.pending == it.sequence) handle(m, it.orders);
      }
    }
    answers_ = std::move(rest);
  }

  void handle(simulated_worker& it, const fleet::worker_orders& orders) {
    it.pending = 0;
    it.next_call = clock_.now() + heartbeat_interval;
    if (clock_.now() - it.sent >= answer_limit) return;
    if (orders.hold_ms() == 0 || orders.fence() < it.fence) return;
    it.fence = orders.fence();
    const milliseconds hold(static_cast<int64_t>(orders.hold_ms()));
    it.lease = std::max(it.lease, it.sent + hold * 100 / it.clock_percent);
    drop_ended(it.id, orders.last_end());
    for (const auto& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      it.highest[run.task] = std::max(it.highest[run.task], run.run);
      if (it.runs.contains(run)) end_run(it, run, fleet::run_stopped);
    }
    for (const auto& start : orders.starts()) start_run(it, start);
  }

  void drop_ended(const std::string& worker, uint64_t last) {
    for (simulated_worker& it : workers_) {
      if (it.id != worker) continue;
      std::erase_if(it.ended,
                    [&](const auto& e) { return e.number() <= last; });
    }
    fail(ends_.acknowledge(worker, last));
  }

  void start_run(simulated_worker& it, const fleet::start_order& start) {
    const run_key run{to_key(start.task()), run_number(start.run())};
    if (run.run <= it.highest[run.task]) return;
    it.highest[run.task] = run.run;
    for (const simulated_worker& other : workers_) {
      for (const auto& [live, ends] : other.runs) {
        if (live.task == run.task) fail(to_text(run.task) + " runs twice");
      }
    }
    fail(ends_.start(run.task));
    if (it.runs.size() >= worker_cpus) fail(it.id + " is over its capacity");
    it.runs[run] = is_long_running(run.task.job.value())
                       ? time_point::max()
                       : clock_.now() + milliseconds(100) +
                             draws_.up_to(milliseconds(3'000));
  }

  random_draws draws_;
  faults faults_;
  test_clock clock_;
  metrics_registry metrics_;
  std::deque<box> boxes_;
  std::deque<simulated_worker> workers_;
  std::vector<answer> answers_;
  std::deque<proposal> proposals_;
  std::vector<fleet::fleet_command> committed_;
  end_tracker ends_;
  // Workers that left or crashed, and the time at which each one's lease ends.
  std::map<std::string, time_point> left_leases_;
  int leader_ = -1;
  uint64_t term_ = 0;
  time_point elect_at_{};
  uint64_t jobs_ = 0;
  int incarnations_ = 0;
  int done_ = 0;
  unsigned ticks_ = 0;
  std::string violation_;
};

inline bool box_log::may_decide() { return world_.leads(box_); }
inline term_number box_log::term() const { return term_number(world_.term()); }
inline absl::Status box_log::propose(const fleet::fleet_command& command) {
  return world_.propose(box_, command);
}

}  // namespace kestrelreel::slow
