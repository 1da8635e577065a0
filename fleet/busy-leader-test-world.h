// A leader each of whose steps costs time on the virtual clock, as on a small
// share of a core. Workers call intake boxes, which pass their calls on to it.
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

class busy_world final : public fleet_log {
 public:
  explicit busy_world(const setting& it)
      : setting_(it), leader_(make_settings(), clock_, *this, metrics_) {
    for (int i = 0; i < it.intakes; ++i) {
      boxes_.push_back(std::make_unique<intake_box>(clock_, metrics_));
    }
    for (int i = 0; i < it.workers; ++i) {
      caller& c = callers_.emplace_back();
      c.it.id = c.it.name = "w" + std::to_string(i);
      c.it.address = c.it.id + ":1";
      c.it.born = clock_.now();
      c.it.born_ms = slow::first_born;
      c.it.lease = clock_.now();
      c.it.next_call = clock_.now() + milliseconds(i % it.first_calls.count());
      c.box = i % it.intakes;
    }
    leader_.set_leading(true);
    fleet::fleet_request request;
    *request.mutable_put_config() = test_world::make_config(1, 99);
    ask(request);
  }

  bool may_decide() override { return true; }
  term_number term() const override { return term_number(term_); }
  absl::Status propose(const fleet::fleet_command& command) override {
    entries_.push_back({clock_.now() + commit_time, command});
    return absl::OkStatus();
  }

  void pass(milliseconds length) {
    const time_point end = clock_.now() + length;
    while (clock_.now() < end && out_.wrong.empty()) one_step();
  }

  /// An endless task comes for each worker.
  void keep_busy() {
    const auto n = static_cast<uint32_t>(setting_.workers);
    fleet::step_spec step = test_world::make_step(n);
    step.set_anti_affinity(1);
    submit(endless_job, step);
  }

  /// Lasting tasks come, `n` jobs of `width`.
  void serve(int n, uint32_t width) {
    for (int i = 0; i < n; ++i) {
      fleet::step_spec step = test_world::make_step(width);
      step.set_long_running(true);
      step.set_target_ms(100);
      step.set_image("serving");
      submit(++lasting_jobs_, step);
    }
  }

  /// The leader's answers take so long to the first `n` boxes from now on, and
  /// their calls so long to it.
  void delay(int n, milliseconds answers, milliseconds calls) {
    for (size_t i = 0; i < static_cast<size_t>(n); ++i) {
      boxes_[i]->answers_late = answers;
      boxes_[i]->calls_late = calls;
    }
  }

  void set_jobs_per_s(double n) { setting_.jobs_per_s = n; }

  /// Another box leads: it knows the book and no worker.
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

  /// The first `n` workers are lost for good, with what they run.
  void lose(int n) {
    for (int i = 0; i < n; ++i) callers_[static_cast<size_t>(i)].lost = true;
  }
  /// So for the first `n` that run lasting tasks.
  void interrupt_serving(int n, interruption how) {
    for (caller* c : serving(callers_, n)) {
      c->lost = how != interruption::fail;
      if (how == interruption::leave) ask(make_leave(c->it));
      if (how == interruption::fail) end_all(*c, fleet::run_failed);
    }
  }

  const outcome& out() {
    waits_.close(clock_.now(), out_);
    return out_;
  }

 private:
  void one_step() {
    clock_.advance(step_time);
    come();
    share_ways();
    for (auto& box : boxes_) pass_on(*box);
    spare_us_ = std::min(spare_us_ + us_per_step, us_per_step);
    // What a step costs beyond what is left holds up the next ones.
    while (spare_us_ > 0 && lead()) {
    }
    for (size_t i = 0; i < callers_.size(); ++i) live(i);
    for (reply& it : std::exchange(replies_, {})) take(it);
  }

  /// Short jobs, spread evenly.
  void come() {
    constexpr double ms_per_s = 1'000;
    due_jobs_ += setting_.jobs_per_s * step_time.count() / ms_per_s;
    for (; due_jobs_ >= 1; --due_jobs_) {
      fleet::step_spec step = test_world::make_step(setting_.width);
      step.set_estimate_ms(static_cast<uint64_t>(short_work.count()));
      submit(first_short_job + ++short_jobs_, step);
    }
  }

  void ask(const fleet::fleet_request& request) {
    leader_.request(request, [](const fleet::fleet_response&) {});
  }

  void submit(uint64_t job, const fleet::step_spec& step) {
    submissions_.push_back(test_world::make_submit(job, {step}));
  }

  /// The boxes tell each other of their ways to the leader.
  void share_ways() {
    if (clock_.now() % tick_interval != milliseconds(0)) return;
    for (auto& box : boxes_) {
      std::optional<milliseconds> shortest;
      for (auto& other : boxes_) {
        const auto way = other->intake.leader_rtt();
        if (&other == &box || !way) continue;
        shortest = shortest ? std::min(*shortest, *way) : *way;
      }
      box->intake.set_best_peer_rtt(shortest);
    }
  }

  void pass_on(intake_box& box) {
    while (!box.replies.empty() &&
           box.replies.front().arrives + box.answers_late <= clock_.now()) {
      fleet::beat_answers one;
      *one.add_answers() = std::move(box.replies.front().answer);
      box.replies.pop_front();
      box.intake.handle_answers(one);
    }
    if (clock_.now() % tick_interval == milliseconds(0)) box.intake.expire();
    if (clock_.now() % pass_on_interval != milliseconds(0)) return;
    if (box.intake.has_pending_calls()) {
      box.sent.push_back(
          {clock_.now(), box.intake.collect("leader" + std::to_string(term_))});
    }
  }

  /// The next piece of work in turn; false where there is none.
  bool lead() {
    const int sources = 4 + setting_.intakes;
    for (int i = 0; i < sources; ++i) {
      at_ = (at_ + 1) % sources;
      const double cost = work(at_);
      if (cost == 0) continue;
      spare_us_ -= cost;
      return true;
    }
    return false;
  }

  /// What it cost, 0 where there was nothing to do.
  double work(int source) {
    const time_point now = clock_.now();
    const costs& cost = setting_.cost;
    if (source == 0) {
      if (now - ticked_at_ < tick_interval) return 0;
      ticked_at_ = now;
      return charged([this] { leader_.tick(); });
    }
    if (source == 1) {
      const bool due = now - settled_at_ >= leader_.decision_interval();
      if (!leader_.has_pending_decisions() || !due) return 0;
      settled_at_ = now;
      return charged([this] { leader_.decide(); });
    }
    if (source == 2) {
      if (entries_.empty() || entries_.front().lasts > now) return 0;
      return charged([this] { apply(); }, cost.entry - cost.turn);
    }
    if (source == 3) {
      if (submissions_.empty()) return 0;
      const double all = charged([this] { ask(submissions_.front()); },
                                 cost.entry - cost.turn);
      submissions_.pop_front();
      return all;
    }
    return read(*boxes_[static_cast<size_t>(source - 4)]);
  }

  double read(intake_box& box) {
    const bool due = !box.sent.empty() &&
                     box.sent.front().at + box.calls_late <= clock_.now();
    if (!due) return 0;
    const fleet::beat_batch batch = std::move(box.sent.front().batch);
    box.sent.pop_front();
    for (const fleet::worker_beat& it : batch.beats()) note_read(it);
    return charged(
        [&] {
          leader_.take_heartbeats(
              batch, [this, &box](fleet::beat_answer answer) {
                if (answer.response().has_orders()) ++out_.answers;
                box.replies.push_back({clock_.now(), std::move(answer)});
              });
        },
        setting_.cost.read * batch.beats_size());
  }

  void note_read(const fleet::worker_beat& beat) {
    caller& c = callers_[std::stoul(beat.worker().substr(1))];
    if (c.lost || beat.sequence() <= c.read) return;
    if (c.read > 0) {
      out_.longest_unread =
          std::max(out_.longest_unread, clock_.now() - c.read_at);
    }
    c.read = beat.sequence();
    c.read_at = clock_.now();
  }

  /// By what the leader counts of its looks and answers, `more` beside, or by
  /// the processor time that it takes here.
  template <typename Work>
  double charged(Work work, double more = 0) {
    uint64_t& looks = metrics_.counter("kestrelreel_placement_looks_total");
    uint64_t& rooms = metrics_.counter("kestrelreel_room_looks_total");
    const uint64_t looks_before = looks;
    const uint64_t rooms_before = rooms;
    const uint64_t answers_before = out_.answers;
    const double begun = thread_us();
    work();
    const double took = thread_us() - begun;
    out_.leader_us += took;
    if (setting_.processor_share > 0) return took / setting_.processor_share;
    const costs& cost = setting_.cost;
    return more + cost.turn +
           cost.look * static_cast<double>(looks - looks_before) +
           cost.room_look * static_cast<double>(rooms - rooms_before) +
           cost.answer * static_cast<double>(out_.answers - answers_before);
  }

  void apply() {
    const fleet::fleet_command command = std::move(entries_.front().command);
    entries_.pop_front();
    leader_.applied(command);
    for (const auto& it : command.batch().commands()) {
      for (const fleet::run_start& start : it.starts().starts()) {
        waits_.kept({to_key(start.task()), run_number(start.run())},
                    clock_.now());
      }
    }
  }

  void live(size_t i) {
    caller& c = callers_[i];
    const time_point now = clock_.now();
    if (c.lost) return c.lapsed ? void() : drop(c);
    for (auto run = c.it.runs.begin(); run != c.it.runs.end();) {
      const auto next = std::next(run);
      if (now >= run->second) end_run(c, run->first, fleet::run_done);
      run = next;
    }
    if (now >= c.it.lease) lapse(c);
    if (c.it.out != 0 && now - c.it.sent >= answer_limit) turn_elsewhere(c);
    if (c.it.out == 0 && now >= c.it.next_call) call(i);
  }

  void drop(caller& c) {
    c.lapsed = true;
    for (const auto& [run, ends] : c.it.runs) note_gone(run.task);
    c.it.runs.clear();
  }

  void lapse(caller& c) {
    out_.lapsed += static_cast<int>(c.it.runs.size());
    end_all(c, fleet::run_lapsed);
    ends_.lapse(c.it.id);
  }

  void end_all(caller& c, fleet::run_outcome outcome) {
    const auto runs = c.it.runs;
    for (const auto& [run, ends] : runs) end_run(c, run, outcome);
  }

  void turn_elsewhere(caller& c) {
    c.it.out = 0;
    c.box = (c.box + 1) % setting_.intakes;
    c.it.next_call = clock_.now();
  }

  void end_run(caller& c, run_key run, fleet::run_outcome outcome) {
    c.it.runs.erase(run);
    fleet::run_end& end = c.it.ended.emplace_back();
    end.set_number(++c.it.end_number);
    *end.mutable_task() = to_ref(run.task);
    end.set_run(static_cast<uint32_t>(run.run.value()));
    end.set_outcome(outcome);
    c.it.next_call = std::min(c.it.next_call, clock_.now() + after_end);
    note_gone(run.task);
    if (outcome != fleet::run_done) return;
    ++out_.done;
    done_.insert(run.task);
    ends_.add(run.task, {c.it.id, end.number(), clock_.now()});
  }

  void call(size_t i) {
    machine& it = callers_[i].it;
    it.out = ++it.sequence;
    it.sent = clock_.now();
    boxes_[static_cast<size_t>(callers_[i].box)]->intake.take(
        slow::make_beat(it, clock_.now()),
        [this, i, n = it.sequence](fleet::fleet_response response) {
          replies_.push_back({i, n, std::move(response)});
        });
  }

  void take(reply& answer) {
    caller& c = callers_[answer.caller];
    machine& it = c.it;
    if (c.lost || it.out != answer.sequence) return;
    if (answer.response.status() != fleet::fleet_ok) return turn_elsewhere(c);
    const fleet::worker_orders& orders = answer.response.orders();
    it.out = 0;
    const milliseconds pause(static_cast<int64_t>(orders.next_beat_ms()));
    it.next_call = clock_.now() + std::max(pause, after_end);
    if (orders.hold_ms() == 0) return;
    if (setting_.sends_home) {
      c.box = static_cast<int>(answer.caller) % setting_.intakes;
    }
    it.lease = std::max(
        it.lease,
        it.sent + milliseconds(static_cast<int64_t>(orders.hold_ms())));
    std::erase_if(it.ended, [&](const auto& e) {
      return e.number() <= orders.last_end();
    });
    fail(ends_.note(it.id, orders.last_end()));
    for (const auto& stop : orders.stops()) {
      const run_key run{to_key(stop.task()), run_number(stop.run())};
      it.highest[run.task] = std::max(it.highest[run.task], run.run);
      if (it.runs.contains(run)) end_run(c, run, fleet::run_stopped);
    }
    for (const auto& start : orders.starts()) begin(c, start);
  }

  void begin(caller& c, const fleet::start_order& start) {
    machine& it = c.it;
    const run_key run{to_key(start.task()), run_number(start.run())};
    if (run.run <= it.highest[run.task]) return;
    it.highest[run.task] = run.run;
    if (!running_.insert(run.task).second) {
      fail(to_text(run.task) + " runs twice");
    }
    fail(ends_.start(run.task));
    if (done_.contains(run.task)) ++out_.started_again;
    if (it.runs.size() >= slow::worker_capacity)
      fail(it.id + " is over its room");
    const time_point now = clock_.now();
    waits_.begun(run, now, out_);
    it.runs[run] = is_endless(run.task) ? time_point::max() : now + short_work;
  }

  void note_gone(const task_key& task) {
    running_.erase(task);
    if (is_lasting(task)) waits_.gone(task, clock_.now());
  }
  void fail(const std::string& what) {
    if (out_.wrong.empty() && !what.empty()) {
      out_.wrong = what + " at " + std::to_string(clock_.now().count());
    }
  }

  setting setting_;
  test_clock clock_;
  metrics_registry metrics_;
  fleet_controller leader_;
  std::vector<std::unique_ptr<intake_box>> boxes_;
  std::deque<caller> callers_;
  std::deque<entry> entries_;
  std::deque<fleet::fleet_request> submissions_;
  std::vector<reply> replies_;
  task_waits waits_;
  std::set<task_key> running_;
  std::set<task_key> done_;
  end_ledger ends_;
  outcome out_;
  double spare_us_ = 0;
  double due_jobs_ = 0;
  uint64_t short_jobs_ = 0;
  uint64_t lasting_jobs_ = 0;
  uint64_t term_ = 1;
  int at_ = 0;
  time_point ticked_at_{};
  time_point settled_at_{};
};

}  // namespace kestrelreel::busy
