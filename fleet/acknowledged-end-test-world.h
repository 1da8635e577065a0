// A controller and seeded workers whose calls, answers and log entries are
// delayed, lost, copied or put off.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "fleet/acknowledged-end-test-parts.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::acknowledged {

class simulation {
 public:
  simulation(const scenario& it, uint64_t seed) : scenario_(it), random_(seed) {
    world_.configure(1, 99);
    constexpr int workers = 6;
    for (int i = 0; i < workers; ++i) add_worker(str_cat("place", i));
  }

  void pass(milliseconds n) {
    for (milliseconds at{0}; at < n && violation_.empty(); at += step_time)
      step();
  }
  const std::string& violation() const { return violation_; }
  int done() const { return done_; }
  int interruptions() const { return interruptions_; }
  int sent_ahead() const { return sent_ahead_; }

 private:
  struct message {
    time_point due;
    std::function<void()> deliver;
  };

  time_point now() const { return world_.clock.now(); }
  bool chance(uint64_t percent) { return random_.below(100) < percent; }
  bool every(uint64_t steps) { return steps > 0 && random_.below(steps) == 0; }
  milliseconds up_to(uint64_t ms) {
    return milliseconds(static_cast<int64_t>(random_.below(ms)));
  }
  void fail(std::string what) {
    if (violation_.empty()) violation_ = std::move(what);
  }
  void after(milliseconds delay, std::function<void()> deliver) {
    messages_.push_back({now() + delay, std::move(deliver)});
  }

  void add_worker(const std::string& address) {
    simulated_worker it;
    it.name = str_cat("worker", ++names_);
    it.address = address;
    const std::string name = it.name;
    workers_.emplace(name, std::move(it));
  }

  void step();
  void deliver_due();
  void commit();
  void change_leader();
  void submit();
  void crash(const std::string& name);
  void act(simulated_worker& it);
  void call(simulated_worker& it);
  void send(const fleet::worker_beat& beat);
  void put_off(simulated_worker& it, const fleet::worker_beat& beat);
  void check_acknowledged(const std::string& name,
                          const fleet::worker_orders& orders);
  void carry_out(simulated_worker& it, const fleet::worker_orders& orders);
  void begin(simulated_worker& it, const fleet::start_order& order);
  void stop(simulated_worker& it, const fleet::stop_order& order);
  void end(simulated_worker& it, const run_key& run,
           fleet::run_outcome outcome);
  void list_end(simulated_worker& it, const run_key& run,
                fleet::run_outcome outcome);
  void check_start(const simulated_worker& it, const run_key& run);
  bool is_gang(const task_key& task) const {
    return scenario_.gangs && task.step == 1;
  }
  void begin_gang_if_complete(const run_key& run);
  static fleet::worker_beat make_beat(const simulated_worker& it,
                                      const scenario& scenario);

  const scenario scenario_;
  seeded_random random_;
  test_world world_;
  std::map<std::string, simulated_worker> workers_;
  std::vector<message> messages_;
  int names_ = 0;
  uint64_t jobs_ = 0;
  int done_ = 0;
  int interruptions_ = 0;
  int sent_ahead_ = 0;
  std::string violation_;
};

inline void simulation::step() {
  world_.clock.advance(step_time);
  if (now().count() % 400 == 0) submit();
  deliver_due();
  for (auto& [name, it] : workers_) act(it);
  if (every(scenario_.crash)) {
    auto victim = workers_.begin();
    std::advance(victim, static_cast<long>(random_.below(workers_.size())));
    crash(victim->first);
  }
  if (every(scenario_.leader_change)) change_leader();
  if (now().count() % 100 == 0) world_.controller.tick();
  world_.controller.decide();
  if (chance(scenario_.commit_percent)) commit();
  world_.controller.decide();
}

inline void simulation::deliver_due() {
  std::vector<message> due;
  std::erase_if(messages_, [&](message& it) {
    if (it.due > now()) return false;
    due.push_back(std::move(it));
    return true;
  });
  for (const message& it : due) it.deliver();
}

inline void simulation::commit() {
  std::deque<fleet::fleet_command> commands;
  commands.swap(world_.log.proposed);
  for (const fleet::fleet_command& it : commands) world_.controller.applied(it);
}

/// The next leader has the log, with or without the uncommitted entries, or a
/// snapshot.
inline void simulation::change_leader() {
  world_.controller.set_leading(false);
  if (chance(50)) commit();
  world_.log.proposed.clear();
  if (chance(50) &&
      !world_.controller.installed(world_.controller.book().save()).ok())
    fail("the snapshot can't be loaded");
  ++world_.log.leader_term;
  world_.controller.set_leading(true);
}

inline void simulation::submit() {
  const uint64_t job = ++jobs_;
  std::vector<fleet::step_spec> steps = {
      test_world::make_step(1 + static_cast<uint32_t>(random_.below(4)))};
  if (scenario_.gangs) {
    steps.push_back(test_world::make_step(2));
    steps.back().set_gang(true);
  }
  world_.controller.request(test_world::make_submit(job, steps),
                            [](const fleet::fleet_response&) {});
}

/// Another life begins at the place.
inline void simulation::crash(const std::string& name) {
  const std::string address = workers_[name].address;
  workers_.erase(name);
  add_worker(address);
}

inline void simulation::act(simulated_worker& it) {
  if (it.lease_ends_at != time_point{} && now() >= it.lease_ends_at) {
    it.lease_ends_at = {};
    ++it.lapses;
    const auto running = it.runs;
    for (const auto& [run, state] : running) end(it, run, fleet::run_lapsed);
  }
  const auto runs = it.runs;
  for (const auto& [run, state] : runs) {
    if (now() >= state.ends_at) end(it, run, state.outcome);
  }
  if (it.calling && now() - it.called_at >= answer_limit) it.calling = false;
  if (!it.calling && now() >= it.next_call) call(it);
}

inline fleet::worker_beat simulation::make_beat(const simulated_worker& it,
                                                const scenario& scenario) {
  fleet::worker_beat beat;
  beat.set_worker(it.name);
  beat.set_address(it.address);
  beat.set_pool("pool");
  beat.set_cpu_milli(slots * 1'000);
  beat.set_memory_mb(1'000);
  beat.set_sequence(it.sequence);
  beat.set_clock_ms(static_cast<uint64_t>(it.called_at.count()));
  beat.set_max_ended(scenario.max_ended);
  for (const auto& [run, state] : it.runs) {
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = to_ref(run.task);
    row.set_run(static_cast<uint32_t>(run.run.value()));
  }
  for (const fleet::run_end& end : it.ends) {
    if (scenario.max_ended > 0 &&
        beat.ended_size() == static_cast<int>(scenario.max_ended))
      break;
    *beat.add_ended() = end;
  }
  return beat;
}

inline void simulation::call(simulated_worker& it) {
  ++it.sequence;
  it.calling = true;
  it.called_at = now();
  const fleet::worker_beat beat = make_beat(it, scenario_);
  if (every(scenario_.silence))
    it.put_off_until = now() + milliseconds(1'000) + up_to(7'000);
  if (now() < it.put_off_until) return put_off(it, beat);
  if (chance(3)) return;
  const milliseconds delay = chance(5) ? up_to(3'000) : up_to(100);
  after(delay, [this, beat] { send(beat); });
  if (chance(3)) after(up_to(500), [this, beat] { send(beat); });
}

inline void simulation::put_off(simulated_worker& it,
                                const fleet::worker_beat& beat) {
  it.calling = false;
  it.next_call = now() + milliseconds(300);
  if (!scenario_.sends_waiting_ends || beat.ended().empty() || !chance(30))
    return;
  ++sent_ahead_;
  fleet::beat_batch batch;
  *batch.add_waiting() = beat;
  after(chance(10) ? up_to(6'000) : up_to(200), [this, batch] {
    world_.controller.take_heartbeats(batch, [](const auto&) {});
  });
}

inline void simulation::send(const fleet::worker_beat& beat) {
  fleet::fleet_request request;
  *request.mutable_beat() = beat;
  const auto respond = [this, name = beat.worker(), n = beat.sequence()](
                           const fleet::fleet_response& response) {
    if (response.orders().hold_ms() == 0) return;
    const fleet::worker_orders orders = response.orders();
    check_acknowledged(name, orders);
    if (chance(5)) return;
    after(up_to(150), [this, name, n, orders] {
      const auto found = workers_.find(name);
      if (found == workers_.end()) return;
      simulated_worker& it = found->second;
      if (it.calling && it.sequence == n) carry_out(it, orders);
    });
  };
  world_.controller.request(request, respond);
}

/// The book of the leader that acknowledges a successful end has its task as
/// done.
inline void simulation::check_acknowledged(const std::string& name,
                                           const fleet::worker_orders& orders) {
  const auto found = workers_.find(name);
  if (found == workers_.end()) return;
  const job_book& book = world_.controller.book();
  for (const auto& [number, it] : found->second.successes) {
    if (number > orders.last_end()) break;
    const job_entry* job = book.find(it.run.task.job);
    if (job == nullptr || !job->live()) continue;
    if (book.find(it.run.task)->phase != task_phase::done)
      fail(str_cat("acknowledged without effect: ", to_text(it.run.task)));
  }
}

inline void simulation::carry_out(simulated_worker& it,
                                  const fleet::worker_orders& orders) {
  it.calling = false;
  it.next_call = now() + call_interval;
  it.lease_ends_at = std::max(
      it.lease_ends_at,
      it.called_at + milliseconds(static_cast<int64_t>(orders.hold_ms())));
  while (!it.ends.empty() && it.ends.front().number() <= orders.last_end()) {
    const auto success = it.successes.find(it.ends.front().number());
    if (success != it.successes.end()) {
      successful_end& end = success->second;
      end.lapsed = end.lapses != it.lapses;
      if (end.started_after && !end.lapsed)
        fail(
            str_cat("started after a successful end: ", to_text(end.run.task)));
    }
    it.ends.pop_front();
  }
  for (const fleet::stop_order& order : orders.stops()) stop(it, order);
  for (const fleet::start_order& order : orders.starts()) begin(it, order);
}

inline void simulation::check_start(const simulated_worker& it,
                                    const run_key& run) {
  for (auto& [name, other] : workers_) {
    for (const auto& [their, state] : other.runs) {
      if (their.task == run.task)
        fail(str_cat("two runs at once: ", to_text(run.task), " on ", name,
                     " and ", it.name));
    }
    for (auto& [number, end] : other.successes) {
      if (end.run.task != run.task) continue;
      end.started_after = true;
      const bool pending =
          !other.ends.empty() && other.ends.front().number() <= number;
      if (!pending && !end.lapsed)
        fail(str_cat("started after an acknowledged end: ", to_text(run.task)));
    }
  }
}

inline void simulation::begin(simulated_worker& it,
                              const fleet::start_order& order) {
  const run_key run{to_key(order.task()), run_number(order.run())};
  if (it.runs.contains(run)) return;
  const auto over = it.over.find(run.task);
  const bool outdated = over != it.over.end() && run.run <= over->second;
  if (outdated || it.runs.size() >= slots || chance(2))
    return list_end(it, run, fleet::run_refused);
  check_start(it, run);
  simulated_run& state = it.runs[run];
  state.ends_at = now() + milliseconds(100) + up_to(chance(15) ? 8'000 : 1'500);
  const uint64_t outcome = random_.below(100);
  if (outcome < 8) state.outcome = fleet::run_failed;
  if (!is_gang(run.task)) return;
  state.outcome = fleet::run_alone;
  state.ends_at = now() + milliseconds(1'500);
  begin_gang_if_complete(run);
}

inline void simulation::begin_gang_if_complete(const run_key& run) {
  std::vector<simulated_run*> members;
  for (auto& [name, it] : workers_) {
    for (auto& [their, state] : it.runs) {
      const task_key& task = their.task;
      if (task.job == run.task.job && task.step == run.task.step &&
          their.run == run.run)
        members.push_back(&state);
    }
  }
  if (members.size() < 2) return;
  const time_point ends_at = now() + milliseconds(100) + up_to(1'500);
  for (simulated_run* it : members) *it = {ends_at, fleet::run_done};
}

inline void simulation::stop(simulated_worker& it,
                             const fleet::stop_order& order) {
  const run_key run{to_key(order.task()), run_number(order.run())};
  const auto found = it.runs.find(run);
  if (found == it.runs.end()) {
    run_number& over = it.over[run.task];
    over = std::max(over, run.run);
    return;
  }
  const time_point stopped_at = now() + up_to(500);
  if (stopped_at < found->second.ends_at)
    found->second = {stopped_at, fleet::run_stopped};
}

inline void simulation::list_end(simulated_worker& it, const run_key& run,
                                 fleet::run_outcome outcome) {
  fleet::run_end& end = it.ends.emplace_back();
  end.set_number(++it.last_end);
  *end.mutable_task() = to_ref(run.task);
  end.set_run(static_cast<uint32_t>(run.run.value()));
  end.set_outcome(outcome);
  if (outcome == fleet::run_done) it.successes[it.last_end] = {run, it.lapses};
}

inline void simulation::end(simulated_worker& it, const run_key& run,
                            fleet::run_outcome outcome) {
  if (it.runs.erase(run) == 0) return;
  run_number& over = it.over[run.task];
  over = std::max(over, run.run);
  list_end(it, run, outcome);
  done_ += outcome == fleet::run_done ? 1 : 0;
  interruptions_ += outcome == fleet::run_lapsed ? 1 : 0;
  if (!is_gang(run.task) || outcome == fleet::run_done) return;
  // The other members of the gang end as well.
  for (auto& [name, other] : workers_) {
    for (auto& [their, state] : other.runs) {
      if (their.task.job == run.task.job && their.task.step == run.task.step &&
          their.run == run.run)
        state = {now(), fleet::run_broken};
    }
  }
}

}  // namespace kestrelreel::acknowledged
