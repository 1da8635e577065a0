// Backfill tasks that give way to a serving task over its target: only as far
// as their jobs have slack.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t serving_job = 1;
constexpr milliseconds beat_interval{200};
/// Readings as a share of the target, in percent.
constexpr double calm_reading = 20;
constexpr double pressed_reading = 150;
/// Processors of a backfill task, in thousandths: more than jobs without slack
/// may lose, and fewer.
constexpr uint64_t large_cpu = 500;
constexpr uint64_t small_cpu = 100;

controller_settings make_slack_settings(bool on) {
  controller_settings settings = test_world::make_settings();
  settings.decisions.learn_run_times = true;
  settings.decisions.throttle_by_slack = on;
  return settings;
}

/// A worker that runs a serving task and backfill tasks.
struct slack_world : test_world {
  explicit slack_world(uint64_t objective_ms, bool on = true)
      : test_world(make_slack_settings(on)) {
    fleet::fleet_request request;
    *request.mutable_put_config() = make_config(1);
    request.mutable_put_config()->mutable_queues(0)->set_objective_ms(
        objective_ms);
    ask(request);
    beat("a");
    fleet::step_spec step = make_step(1, 1'000);
    step.set_long_running(true);
    step.set_target_ms(100);
    step.set_image("serving");
    submit(serving_job, {step});
    beats(milliseconds(400), calm_reading);
  }

  static fleet::step_spec backfill(uint64_t cpu, uint64_t estimate_ms) {
    fleet::step_spec step = make_step(1, cpu);
    step.set_fills(true);
    step.set_image("backfill");
    step.set_estimate_ms(estimate_ms);
    return step;
  }

  void change_leader() {
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
  }

  void beats(milliseconds time, double reading) {
    for (milliseconds at{0}; at < time; at += beat_interval) {
      for (auto& row : *workers["a"].mutable_running()) {
        if (row.task().job() != serving_job) continue;
        row.set_reading(reading);
        row.set_percent(100);
      }
      const fleet::worker_orders orders = beat("a");
      for (const auto& it : orders.paces())
        paces[it.task().job()] = it.percent();
      pass(beat_interval);
    }
  }

  /// True if the job's task was slowed within a second of pressure, before all
  /// backfill tasks are stopped.
  bool gives_way(uint64_t job) {
    paces.clear();
    beats(milliseconds(1'000), pressed_reading);
    return paces.contains(job) && paces[job] < full_pace_percent;
  }

  bool runs(uint64_t job) {
    const auto& rows = workers["a"].running();
    return std::any_of(rows.begin(), rows.end(),
                       [&](const auto& it) { return it.task().job() == job; });
  }

  std::map<uint64_t, unsigned> paces;
};

}  // namespace

TEST_GROUP(backfill_slack){};

TEST(backfill_slack, task_gives_way_only_with_slack) {
  struct row {
    const char* name;
    uint64_t estimate_ms;
    uint64_t objective_ms;
    bool gives_way;
    milliseconds age{0};
    bool new_leader = false;
    uint32_t times = 0;
    bool long_running = false;
    bool on = true;
  };
  const row rows[] = {
      {"time to spare", 1'000, 10'000, true},
      {"switched off", 1'000, 10'000, false, {}, false, 0, false, false},
      // Due in 7 s, of which a run takes 3: just enough for one more.
      {"margin for a further run", 3'000, 1'000, false},
      {"late job", 1'000, 10'000, false, milliseconds(13'000)},
      {"job that the leader found", 1'000, 10'000, false, {}, true},
      {"scheduled job", 1'000, 10'000, false, {}, false, 1},
      {"long-running task", 1'000, 10'000, false, {}, false, 0, true}};
  for (const row& it : rows) {
    slack_world world(it.objective_ms, it.on);
    fleet::step_spec step = slack_world::backfill(large_cpu, it.estimate_ms);
    step.set_long_running(it.long_running);
    fleet::fleet_request request = test_world::make_submit(2, {step});
    auto& spec = *request.mutable_job()->mutable_submit();
    spec.set_times(it.times);
    if (it.times > 0) spec.set_start_ms(1'000'000);
    world.ask(request);
    world.beats(milliseconds(400) + it.age, calm_reading);
    CHECK_TRUE_TEXT(world.runs(2), it.name);
    if (it.new_leader) {
      world.change_leader();
      world.beats(milliseconds(400), calm_reading);
    }
    CHECK_EQUAL_TEXT(it.gives_way, world.gives_way(2), it.name);
  }
}

// A processor that a new job loses may be one that the found job needs: its
// deadline is unknown until it has passed in any case, here after 12 s.
TEST(backfill_slack,
     found_job_takes_the_slack_of_new_ones_while_it_may_be_due) {
  for (const int lead_ms : {400, 13'000}) {
    slack_world world(10'000);
    world.submit(2, {slack_world::backfill(small_cpu, 1'000)});
    world.beats(milliseconds(400), calm_reading);
    world.change_leader();
    world.beats(milliseconds(lead_ms), calm_reading);
    world.submit(3, {slack_world::backfill(large_cpu, 1'000)});
    world.beats(milliseconds(400), calm_reading);
    CHECK_TRUE(world.runs(2) && world.runs(3));
    CHECK_EQUAL(lead_ms > 12'000, world.gives_way(3));
  }
}

// Work of others that is due takes the slack of a job that has time to spare by
// its own path; scheduled jobs and late ones do not.
TEST(backfill_slack, work_that_is_due_takes_the_slack_of_the_pool) {
  struct row {
    const char* name;
    uint32_t count;
    uint32_t times;
    bool gives_way;
  };
  const row rows[] = {{"little", 1, 0, true},
                      {"more than the pool does in time", 1'000, 0, false},
                      {"scheduled", 1'000, 1, true}};
  for (const row& it : rows) {
    slack_world world(10'000);
    world.submit(2, {slack_world::backfill(large_cpu, 1'000)});
    world.beats(milliseconds(400), calm_reading);
    fleet::step_spec step = slack_world::backfill(small_cpu, 1'000);
    step.set_count(it.count);
    step.set_requires_label("none");
    fleet::fleet_request request = test_world::make_submit(3, {step});
    auto& spec = *request.mutable_job()->mutable_submit();
    spec.set_times(it.times);
    if (it.times > 0) spec.set_start_ms(1'000'000);
    world.ask(request);
    world.beats(milliseconds(400), calm_reading);
    CHECK_TRUE_TEXT(world.runs(2), it.name);
    CHECK_EQUAL_TEXT(it.gives_way, world.gives_way(2), it.name);
  }
}
