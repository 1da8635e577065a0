// Shared by the tests of long-running tasks at workers that answers don't
// reach: a controller and seeded workers whose heartbeats, answers and clocks
// go wrong. No task may run at two workers at once.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/text.h"
#include "fleet/fleet-test-world.h"

namespace kestrelreel::unread {

constexpr milliseconds step_time{50};
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds call_interval{200};

/// Numbers of steps are averages between two events of a kind; 0: none.
struct scenario {
  const char* name;
  /// A worker gets no answers for up to 12 s.
  uint64_t deaf = 200;
  /// A worker's heartbeats take up to this much longer for up to 6 s.
  uint64_t slow_heartbeats = 0;
  milliseconds max_delay{4'000};
  uint64_t leader_change = 0;
  /// A worker ends, and another begins at its address.
  uint64_t crash = 0;
  /// By how much the workers' clocks run slow.
  int64_t slow_percent = 0;
  uint32_t max_ended = 0;
  /// Workers begin a run that they refused.
  bool begins_refused = false;
};

struct simulated_worker {
  std::string name;
  std::string address;
  time_point born{};
  uint64_t sequence = 0;
  std::set<run_key> runs;
  std::deque<fleet::run_end> ends;
  std::set<run_key> refused;
  // The highest run per task that was stopped or has ended.
  std::map<task_key, run_number> over;
  uint64_t last_end = 0;
  bool calling = false;
  time_point called_at{};
  time_point next_call{};
  time_point lease_ends_at{};
  time_point deaf_until{};
  time_point slow_until{};
  milliseconds delay{0};
};

class simulation {
 public:
  simulation(const scenario& it, uint64_t seed) : scenario_(it), random_(seed) {
    world_.configure(1, 9'999);
    constexpr int workers = 5;
    for (int i = 0; i < workers; ++i) add_worker(str_cat("place", i));
    constexpr uint64_t jobs = 6;
    for (uint64_t i = 1; i <= jobs; ++i) submit(i);
  }

  void pass(milliseconds n) {
    for (milliseconds at{0}; at < n && violation_.empty(); at += step_time)
      step();
  }
  const std::string& violation() const { return violation_; }
  int begun() const { return begun_; }
  /// Number of runs that were ordered and declared lost as they had not begun.
  int given_up() const { return given_up_; }

 private:
  struct message {
    time_point due;
    std::function<void()> deliver;
  };

  time_point now() const { return world_.clock.now(); }
  bool chance(uint64_t percent) { return random_.below(100) < percent; }
  bool every(uint64_t steps) { return steps > 0 && random_.below(steps) == 0; }
  milliseconds up_to(milliseconds n) {
    return milliseconds(
        static_cast<int64_t>(random_.below(static_cast<uint64_t>(n.count()))));
  }
  void after(milliseconds delay, std::function<void()> deliver) {
    messages_.push_back({now() + delay, std::move(deliver)});
  }

  /// How long a worker's clock takes to show this time.
  milliseconds shown_after(milliseconds n) const {
    constexpr int64_t percent = 100;
    return n * percent / (percent - scenario_.slow_percent);
  }

  void add_worker(const std::string& address);
  void submit(uint64_t job);
  void step();
  void deliver_due();
  void commit();
  void count_given_up(const fleet::fleet_command& command);
  void change_leader();
  void crash();
  void act(simulated_worker& it);
  void call(simulated_worker& it);
  fleet::worker_beat make_beat(const simulated_worker& it) const;
  void send(const fleet::worker_beat& beat);
  void carry_out(simulated_worker& it, const fleet::worker_orders& orders);
  void begin(simulated_worker& it, const run_key& run);
  void end(simulated_worker& it, const run_key& run,
           fleet::run_outcome outcome);

  const scenario scenario_;
  seeded_random random_;
  test_world world_;
  std::map<std::string, simulated_worker> workers_;
  std::vector<message> messages_;
  std::set<run_key> ordered_;
  int names_ = 0;
  int begun_ = 0;
  int given_up_ = 0;
  std::string violation_;
};

inline void simulation::add_worker(const std::string& address) {
  simulated_worker it;
  it.name = str_cat("worker", ++names_);
  it.address = address;
  it.born = now();
  if (chance(30)) it.deaf_until = now() + up_to(milliseconds(12'000));
  const std::string name = it.name;
  workers_.emplace(name, std::move(it));
}

inline void simulation::submit(uint64_t job) {
  fleet::step_spec step = test_world::make_step(2);
  step.set_long_running(true);
  world_.controller.request(test_world::make_submit(job, {step}),
                            [](const fleet::fleet_response&) {});
}

inline void simulation::step() {
  world_.clock.advance(step_time);
  deliver_due();
  for (auto& [name, it] : workers_) act(it);
  if (every(scenario_.crash)) crash();
  if (every(scenario_.leader_change)) change_leader();
  if (now().count() % 100 == 0) world_.controller.tick();
  world_.controller.decide();
  if (chance(60)) commit();
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
  for (const fleet::fleet_command& it : commands) {
    for (const auto& part : it.batch().commands()) count_given_up(part);
    world_.controller.applied(it);
  }
}

inline void simulation::count_given_up(const fleet::fleet_command& command) {
  const fleet::worker_loss& loss = command.loss();
  if (loss.gone() || loss.silent()) return;
  for (const fleet::run_loss& it : loss.runs())
    given_up_ += ordered_.contains({to_key(it.task()), run_number(it.run())});
}

/// The next leader has the log, with or without the uncommitted entries.
inline void simulation::change_leader() {
  world_.controller.set_leading(false);
  if (chance(50)) commit();
  world_.log.proposed.clear();
  ++world_.log.leader_term;
  world_.controller.set_leading(true);
}

inline void simulation::crash() {
  auto victim = workers_.begin();
  std::advance(victim, static_cast<long>(random_.below(workers_.size())));
  const std::string address = victim->second.address;
  workers_.erase(victim);
  add_worker(address);
}

inline void simulation::act(simulated_worker& it) {
  if (it.lease_ends_at != time_point{} && now() >= it.lease_ends_at) {
    it.lease_ends_at = {};
    const auto running = it.runs;
    for (const run_key& run : running) end(it, run, fleet::run_lapsed);
  }
  if (!it.runs.empty() && every(400))
    end(it, run_key(*it.runs.begin()), fleet::run_failed);
  if (every(scenario_.deaf))
    it.deaf_until = now() + up_to(milliseconds(12'000));
  if (every(scenario_.slow_heartbeats)) {
    it.slow_until = now() + up_to(milliseconds(6'000));
    it.delay = up_to(scenario_.max_delay);
  }
  if (it.calling && now() - it.called_at >= shown_after(answer_limit)) {
    it.calling = false;
    it.next_call = now();
  }
  if (!it.calling && now() >= it.next_call) call(it);
}

inline fleet::worker_beat simulation::make_beat(
    const simulated_worker& it) const {
  constexpr int64_t percent = 100;
  const int64_t age = (it.called_at - it.born).count();
  fleet::worker_beat beat;
  beat.set_worker(it.name);
  beat.set_address(it.address);
  beat.set_pool("pool");
  beat.set_cpu_milli(4'000);
  beat.set_memory_mb(1'000);
  beat.set_sequence(it.sequence);
  beat.set_clock_ms(static_cast<uint64_t>(
      1'000 + age * (percent - scenario_.slow_percent) / percent));
  beat.set_max_ended(scenario_.max_ended);
  for (const run_key& run : it.runs) {
    fleet::running_row& row = *beat.add_running();
    *row.mutable_task() = to_ref(run.task);
    row.set_run(static_cast<uint32_t>(run.run.value()));
  }
  for (const fleet::run_end& end : it.ends) {
    if (scenario_.max_ended > 0 &&
        beat.ended_size() == static_cast<int>(scenario_.max_ended))
      break;
    *beat.add_ended() = end;
  }
  return beat;
}

inline void simulation::call(simulated_worker& it) {
  ++it.sequence;
  it.calling = true;
  it.called_at = now();
  const fleet::worker_beat beat = make_beat(it);
  if (chance(3)) return;
  milliseconds delay = up_to(milliseconds(100));
  if (now() < it.slow_until) delay += it.delay;
  if (chance(5)) delay += up_to(milliseconds(3'000));
  after(delay, [this, beat] { send(beat); });
  if (chance(3))
    after(up_to(milliseconds(5'000)), [this, beat] { send(beat); });
}

inline void simulation::send(const fleet::worker_beat& beat) {
  fleet::fleet_request request;
  *request.mutable_beat() = beat;
  world_.controller.request(
      request,
      [this, name = beat.worker(), n = beat.sequence()](const auto& response) {
        const fleet::worker_orders orders = response.orders();
        if (orders.hold_ms() == 0) return;
        for (const fleet::start_order& start : orders.starts())
          ordered_.insert({to_key(start.task()), run_number(start.run())});
        const milliseconds delay =
            up_to(chance(10) ? milliseconds(1'200) : milliseconds(150));
        after(delay, [this, name, n, orders] {
          const auto found = workers_.find(name);
          if (found == workers_.end()) return;
          simulated_worker& it = found->second;
          if (now() >= it.deaf_until && it.calling && it.sequence == n &&
              now() - it.called_at <= shown_after(answer_limit))
            carry_out(it, orders);
        });
      });
}

inline void simulation::carry_out(simulated_worker& it,
                                  const fleet::worker_orders& orders) {
  it.calling = false;
  it.next_call = now() + call_interval;
  it.lease_ends_at = std::max(
      it.lease_ends_at,
      it.called_at +
          shown_after(milliseconds(static_cast<int64_t>(orders.hold_ms()))));
  while (!it.ends.empty() && it.ends.front().number() <= orders.last_end())
    it.ends.pop_front();
  for (const fleet::stop_order& order : orders.stops()) {
    const run_key run{to_key(order.task()), run_number(order.run())};
    if (it.runs.contains(run)) end(it, run, fleet::run_stopped);
    run_number& over = it.over[run.task];
    over = std::max(over, run.run);
  }
  for (const fleet::start_order& order : orders.starts())
    begin(it, {to_key(order.task()), run_number(order.run())});
}

inline void simulation::begin(simulated_worker& it, const run_key& run) {
  if (it.runs.contains(run)) return;
  const auto over = it.over.find(run.task);
  const bool outdated = over != it.over.end() && run.run <= over->second;
  const bool again = it.refused.contains(run) && !scenario_.begins_refused;
  if (outdated || again || chance(4)) {
    it.refused.insert(run);
    return end(it, run, fleet::run_refused);
  }
  for (const auto& [name, other] : workers_) {
    for (const run_key& their : other.runs) {
      if (their.task == run.task)
        violation_ = str_cat("two runs at once: ", to_text(run.task), " on ",
                             name, " and ", it.name);
    }
  }
  it.runs.insert(run);
  ++begun_;
}

inline void simulation::end(simulated_worker& it, const run_key& run,
                            fleet::run_outcome outcome) {
  if (it.runs.erase(run) > 0) {
    run_number& over = it.over[run.task];
    over = std::max(over, run.run);
  }
  fleet::run_end& end = it.ends.emplace_back();
  end.set_number(++it.last_end);
  *end.mutable_task() = to_ref(run.task);
  end.set_run(static_cast<uint32_t>(run.run.value()));
  end.set_outcome(outcome);
}

}  // namespace kestrelreel::unread
