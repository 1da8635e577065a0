// Leaders, workers and links that are slow, on a virtual clock. A run tells the
// first promise broken: a task that runs twice, one that starts after its good
// end was taken note of, a worker over its room.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fleet/slow-test-parts.h"

namespace kestrelreel::slow {

class slow_world {
 public:
  slow_world(uint64_t seed, faults f) : chance_(seed), faults_(f) {
    for (int i = 0; i < boxes; ++i) {
      box& it = boxes_.emplace_back();
      it.log = std::make_unique<box_log>(*this, i);
      it.controller = std::make_unique<fleet_controller>(
          test_world::make_settings(), clock_, *it.log, metrics_);
      it.intake = std::make_unique<heartbeat_intake>(intake_settings(), clock_,
                                                     metrics_);
    }
    for (int i = 0; i < places; ++i) {
      machine& it = machines_.emplace_back();
      it.address = "place" + std::to_string(i);
      begin_life(it);
    }
    elect(0);
    fleet::fleet_command config;
    *config.mutable_config() = test_world::make_config(1, 99);
    committed_.push_back(config);
  }

  /// Empty, or what went wrong first.
  std::string run(milliseconds length) {
    const time_point end = clock_.now() + length;
    while (clock_.now() < end && wrong_.empty()) one_step();
    return wrong_;
  }
  int done() const { return done_; }

  bool leads(int b) const { return leader_ == b; }
  uint64_t term() const { return term_; }
  absl::Status propose(int b, const fleet::fleet_command& command) {
    if (leader_ != b) return absl::UnavailableError("does not lead");
    proposed_.push_back(
        {clock_.now() + chance_.up_to(milliseconds(60)), command});
    return absl::OkStatus();
  }

 private:
  void fail(const std::string& what) {
    if (wrong_.empty() && !what.empty()) {
      wrong_ = what + " at " + std::to_string(clock_.now().count());
    }
  }

  void begin_life(machine& it) {
    const std::string address = it.address;
    it = machine();
    it.address = address;
    it.id = it.name = "w" + std::to_string(++lives_);
    it.born = clock_.now();
    it.born_ms = first_born + static_cast<uint64_t>(it.born.count());
  }

  /// The cut behind which it crashed may go on.
  void begin_again(machine& it) {
    const std::string name = it.name;
    const time_point cut_until = it.cut_until;
    begin_life(it);
    it.name = name;
    if (chance_.one_in(2)) it.cut_until = cut_until;
    if (happens(faults_.set_back)) it.born_ms -= 1 + chance_.draw(60'000);
  }

  milliseconds delay() {
    return faults_.steady ? chance_.up_to(quick) : chance_.delay();
  }

  bool happens(unsigned one_in) { return one_in > 0 && chance_.one_in(one_in); }

  void one_step() {
    clock_.advance(step_time);
    disturb();
    if (leader_ < 0 && clock_.now() >= elect_at_) {
      elect(static_cast<int>(chance_.draw(boxes)));
    }
    commit();
    for (int i = 0; i < boxes; ++i) run_box(i);
    submit();
    for (machine& it : machines_) live(it);
    for (const auto& [worker, lease] : left_) {
      if (lease <= clock_.now() && clock_.now() < lease + step_time) {
        ends_.lapse(worker);
      }
    }
    deliver();
  }

  void disturb() {
    for (box& it : boxes_) {
      if (happens(faults_.stall)) {
        it.stalled_until = clock_.now() + chance_.up_to(milliseconds(5'000));
      }
    }
    if (happens(faults_.crash)) {
      begin_life(machines_[chance_.draw(places)]);
    }
    if (happens(faults_.again)) begin_again(machines_[chance_.draw(places)]);
    if (happens(faults_.cut)) {
      machines_[chance_.draw(places)].cut_until =
          clock_.now() + chance_.up_to(milliseconds(9'000));
    }
    if (happens(faults_.leave)) {
      machine& it = machines_[chance_.draw(places)];
      if (!it.leaves_at) {
        const milliseconds least(faults_.steady ? 1'000 : 0);
        it.leaves_at =
            clock_.now() + least + chance_.up_to(milliseconds(3'000));
      }
    }
    if (happens(faults_.election) && leader_ >= 0) {
      // What is under way lasts up to some point.
      const size_t kept = chance_.draw(proposed_.size() + 1);
      for (size_t i = 0; i < kept; ++i) {
        committed_.push_back(proposed_[i].command);
      }
      proposed_.clear();
      leader_ = -1;
      elect_at_ = clock_.now() + chance_.up_to(milliseconds(1'500));
    }
  }

  void elect(int b) {
    leader_ = b;
    ++term_;
  }

  void commit() {
    while (!proposed_.empty() && proposed_.front().lasts <= clock_.now()) {
      committed_.push_back(proposed_.front().command);
      proposed_.pop_front();
    }
  }

  /// A box that is held up does nothing; then its timers and what waits for it
  /// come in any order.
  void run_box(int b) {
    box& it = boxes_[b];
    if (clock_.now() < it.stalled_until) return;
    if (leader_ != b) it.controller->set_leading(false);
    while (it.applied < committed_.size()) {
      it.controller->applied(committed_[it.applied++]);
    }
    if (leader_ == b) it.controller->set_leading(true);
    if (chance_.one_in(2)) it.controller->tick();
    read_departures(it);
    read(it);
    if (faults_.intakes) pass_on(b);
    if (ticks_++ % 5 == 0) it.controller->tick();
    it.controller->decide();
  }

  void read_departures(box& it) {
    std::vector<departure> rest;
    for (const departure& d : it.departures) {
      if (d.arrives > clock_.now()) {
        rest.push_back(d);
        continue;
      }
      fleet::fleet_request request;
      request.set_worker_leaves(d.worker);
      it.controller->request(request, [](const fleet::fleet_response&) {});
    }
    it.departures = std::move(rest);
  }

  void read(box& it) {
    size_t most = 20;
    if (faults_.slow_reading > 0) most = chance_.draw(faults_.slow_reading);
    std::vector<heartbeat> rest;
    for (heartbeat& h : it.inbox) {
      if (h.arrives > clock_.now() || most == 0) {
        rest.push_back(std::move(h));
        continue;
      }
      --most;
      const auto respond = [this, life = h.life,
                            n = h.beat.sequence()](fleet::fleet_response r) {
        if (left_.contains(life)) note_ends(life, r.orders().last_end());
        answers_.push_back({clock_.now() + delay(), life, n, r.orders()});
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

  /// What other boxes took in, the leader's answers, and what was taken in
  /// here.
  void pass_on(int b) {
    box& it = boxes_[b];
    std::erase_if(it.batches, [&](const passed_batch& passed) {
      if (passed.arrives > clock_.now()) return false;
      it.controller->take_heartbeats(
          passed.batch, [this, from = passed.from](fleet::beat_answer answer) {
            boxes_[from].replies.push_back(
                {clock_.now() + delay(), std::move(answer)});
          });
      return true;
    });
    read_replies(it, clock_.now());
    if (std::exchange(it.told_leader, leader_) != leader_) {
      it.intake->leader_changed();
    }
    it.intake->expire();
    if (leader_ < 0 || !it.intake->has_pending_calls()) return;
    boxes_[leader_].batches.push_back(
        {clock_.now() + (leader_ == b ? milliseconds(0) : delay()), b,
         it.intake->collect(std::to_string(leader_))});
  }

  void submit() {
    if (leader_ < 0 || !chance_.one_in(15)) return;
    fleet::step_spec step =
        test_world::make_step(static_cast<uint32_t>(1 + chance_.draw(3)));
    step.set_estimate_ms(400);
    boxes_[leader_].controller->request(
        test_world::make_submit(++jobs_, {step}),
        [](const fleet::fleet_response&) {});
  }

  void end_run(machine& it, run_key run, fleet::run_outcome outcome) {
    it.runs.erase(run);
    fleet::run_end& end = it.ended.emplace_back();
    end.set_number(++it.end_number);
    *end.mutable_task() = to_ref(run.task);
    end.set_run(static_cast<uint32_t>(run.run.value()));
    end.set_outcome(outcome);
    if (outcome != fleet::run_done) return;
    ++done_;
    good_end good{it.id, end.number(), clock_.now()};
    good.owed = faults_.steady;
    ends_.add(run.task, good);
  }

  void live(machine& it) {
    const time_point now = clock_.now();
    for (auto run = it.runs.begin(); run != it.runs.end();) {
      const auto next = std::next(run);
      if (now >= run->second) end_run(it, run->first, fleet::run_done);
      run = next;
    }
    if (now >= it.lease) lapse(it);
    if (it.leaves_at && now >= *it.leaves_at) return leave(it);
    if (it.out != 0 && now - it.sent >= answer_limit) {
      it.out = 0;
      it.next_call = now;
      ++it.calls;
    }
    if (it.out == 0 && now >= it.next_call) call(it);
  }

  /// What runs there dies. Its last heartbeat may still be on its way; the
  /// next life of the machine begins later.
  void leave(machine& it) {
    const int b = leader_ < 0 ? 0 : leader_;
    boxes_[b].departures.push_back({clock_.now() + delay(), it.id, it.name});
    left_[it.id] = it.lease;
    begin_life(it);
    it.next_call = clock_.now() + chance_.up_to(milliseconds(2'000));
  }

  void lapse(machine& it) {
    const auto runs = it.runs;
    for (const auto& [run, ends] : runs) end_run(it, run, fleet::run_lapsed);
    ends_.lapse(it.id);
  }

  void call(machine& it) {
    it.out = ++it.sequence;
    it.sent = clock_.now();
    const fleet::worker_beat beat = make_beat(it, clock_.now());
    const bool astray = leader_ < 0 || faults_.intakes ||
                        (!faults_.steady && chance_.one_in(30));
    const int b = astray ? static_cast<int>(chance_.draw(boxes)) : leader_;
    time_point arrives = clock_.now() + delay();
    if (clock_.now() < it.cut_until) {
      if (chance_.one_in(2)) return;
      arrives = std::max(arrives, it.cut_until);
    }
    if (!astray) list_ends(it, arrives);
    boxes_[b].inbox.push_back({arrives, it.id, beat});
  }

  /// Where nothing else goes wrong, an end in a heartbeat that was not held up
  /// is owed to be counted, whether the worker lives to hear so or not.
  void list_ends(const machine& it, time_point arrives) {
    const bool calm = faults_.stall + faults_.election + faults_.crash +
                          faults_.slow_reading + faults_.cut ==
                      0;
    if (calm && arrives - clock_.now() <= quick) ends_.owe(it.id);
  }

  void deliver() {
    std::vector<answer> rest;
    for (answer& it : answers_) {
      if (it.arrives > clock_.now()) {
        rest.push_back(std::move(it));
        continue;
      }
      for (machine& m : machines_) {
        if (clock_.now() < m.cut_until) continue;
        if (m.id == it.worker && m.out == it.sequence) take(m, it.orders);
      }
    }
    answers_ = std::move(rest);
  }

  void take(machine& it, const fleet::worker_orders& orders) {
    it.out = 0;
    it.next_call = clock_.now() + beat_pause;
    if (clock_.now() - it.sent >= answer_limit) return;
    if (orders.hold_ms() == 0 || orders.fence() < it.fence) return;
    it.fence = orders.fence();
    it.lease = std::max(
        it.lease,
        it.sent + milliseconds(static_cast<int64_t>(orders.hold_ms())));
    note_ends(it.id, orders.last_end());
    for (const auto& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      it.highest[run.task] = std::max(it.highest[run.task], run.run);
      if (it.runs.contains(run)) end_run(it, run, fleet::run_stopped);
    }
    for (const auto& start : orders.starts()) begin(it, start);
  }

  void note_ends(const std::string& worker, uint64_t last) {
    for (machine& it : machines_) {
      if (it.id != worker) continue;
      std::erase_if(it.ended,
                    [&](const auto& e) { return e.number() <= last; });
    }
    fail(ends_.note(worker, last));
  }

  void begin(machine& it, const fleet::start_order& start) {
    const run_key run{to_key(start.task()), run_number(start.run())};
    if (run.run <= it.highest[run.task]) return;
    it.highest[run.task] = run.run;
    for (const machine& other : machines_) {
      for (const auto& [live, ends] : other.runs) {
        if (live.task == run.task) fail(to_text(run.task) + " runs twice");
      }
    }
    fail(ends_.start(run.task));
    if (it.runs.size() >= worker_capacity) fail(it.id + " is over its room");
    it.runs[run] =
        clock_.now() + milliseconds(100) + chance_.up_to(milliseconds(3'000));
  }

  chance chance_;
  faults faults_;
  test_clock clock_;
  metrics_registry metrics_;
  std::deque<box> boxes_;
  std::deque<machine> machines_;
  std::vector<answer> answers_;
  std::deque<proposal> proposed_;
  std::vector<fleet::fleet_command> committed_;
  end_ledger ends_;
  // Workers that left, and until when the lease of each would have held.
  std::map<std::string, time_point> left_;
  int leader_ = -1;
  uint64_t term_ = 0;
  time_point elect_at_{};
  uint64_t jobs_ = 0;
  int lives_ = 0;
  int done_ = 0;
  unsigned ticks_ = 0;
  std::string wrong_;
};

inline bool box_log::may_decide() { return world_.leads(box_); }
inline term_number box_log::term() const { return term_number(world_.term()); }
inline absl::Status box_log::propose(const fleet::fleet_command& command) {
  return world_.propose(box_, command);
}

}  // namespace kestrelreel::slow
