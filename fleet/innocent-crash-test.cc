// Guards against failing a harmless task because its workers crashed while it
// ran.
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "fleet/crash-evidence.h"
#include "fleet/crashing-test-world.h"

using namespace kestrelreel;
using crashing::crash_settings;
using crashing::crash_world;
using crashing::heartbeat_interval;
using crashing::heartbeat_route;

namespace {

constexpr uint64_t first_job = 100;
constexpr uint64_t long_running_job = 5;
constexpr milliseconds quiet_period{30'000};
constexpr milliseconds job_pause{300};

/// A disruption of the workers, applied every few seconds.
struct row {
  const char* name;
  crash_settings settings;
  void (*disrupt)(crash_world&, uint64_t round);
};

void crash_every_third(crash_world& world, uint64_t round) {
  for (size_t i = round % 3; i < world.size(); i += 3) {
    if (world.is_up(i)) world.crash(i);
  }
}

void crash_one(crash_world& world, uint64_t round) {
  const size_t i = round % world.size();
  if (world.is_up(i)) world.crash(i);
}

void cut_some(crash_world& world, uint64_t round) {
  for (size_t i = round % 2; i < world.size(); i += 2) {
    world.cut_off(i, milliseconds(round % 2 == 0 ? 5'000 : 900));
  }
}

void freeze_some(crash_world& world, uint64_t round) {
  for (size_t i = round % 2; i < world.size(); i += 2) {
    world.freeze(i, milliseconds(2'500));
  }
}

void drain_one_that_ends(crash_world& world, uint64_t round) {
  const size_t i = round % world.size();
  if (!world.is_up(i)) return;
  world.drain(i, 1'000);
  world.run_for(milliseconds(1'000));
  world.crash(i);
}

/// Drains a worker that crashes after listing its newest run once.
void drain_one_that_ends_at_once(crash_world& world, uint64_t round) {
  const size_t i = round % world.size();
  if (!world.is_up(i)) return;
  world.drain(i, 60'000);
  world.run_for(milliseconds(100));
  world.crash(i);
}

std::vector<row> rows() {
  crash_settings plain;
  crash_settings relayed;
  relayed.route = heartbeat_route::intake;
  crash_settings same_id;
  same_id.keeps_id = true;
  crash_settings late;
  late.restart_delay = milliseconds(9'000);
  crash_settings leader_change;
  leader_change.leader_change_delay = milliseconds(700);
  return {{"a third crashes", plain, crash_every_third},
          {"a third crashes, forwarded heartbeats", relayed, crash_every_third},
          {"a third crashes, same ids", same_id, crash_every_third},
          {"a third crashes and returns late", late, crash_every_third},
          {"a third crashes, then the leader changes", leader_change,
           crash_every_third},
          {"one crashes", plain, crash_one},
          {"cut off", plain, cut_some},
          {"cut off, forwarded heartbeats", relayed, cut_some},
          {"frozen", plain, freeze_some},
          {"drained", plain, drain_one_that_ends},
          {"drained, ends at once", plain, drain_one_that_ends_at_once}};
}

}  // namespace

TEST_GROUP(innocent_crash){};

TEST(innocent_crash, no_harmless_job_fails) {
  constexpr uint64_t rounds = 12;
  constexpr uint64_t jobs_per_round = 14;
  for (const row& it : rows()) {
    crash_world world(it.settings);
    world.submit(long_running_job, {crash_world::make_step(6, true)});
    uint64_t job = first_job;
    for (uint64_t n = 0; n < rounds; ++n) {
      for (uint64_t i = 0; i < jobs_per_round; ++i) {
        world.submit(job++, {crash_world::make_step(2)});
        world.run_for(job_pause);
      }
      it.disrupt(world, n);
    }
    world.run_for(quiet_period);
    for (uint64_t n = first_job; n < job; ++n) {
      LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(n), it.name);
    }
    LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(long_running_job),
                     it.name);
    LONGS_EQUAL_TEXT(6, world.runs_of(long_running_job), it.name);
    CHECK_TRUE_TEXT(world.all.book().suspects().empty(), it.name);
  }
}

// Lost or delayed heartbeats never count as a crash.
TEST(innocent_crash, silence_is_not_a_crash) {
  for (const row& it : rows()) {
    const bool crashes =
        it.disrupt == crash_every_third || it.disrupt == crash_one;
    if (crashes) continue;
    crash_world world(it.settings);
    world.submit(long_running_job, {crash_world::make_step(6, true)});
    for (uint64_t n = 0; n < 8; ++n) {
      world.submit(first_job + n, {crash_world::make_step(8)});
      world.run_for(milliseconds(100));
      it.disrupt(world, n);
      for (int i = 0; i < 60; ++i) {
        world.run_for(milliseconds(100));
        CHECK_TRUE_TEXT(world.all.book().suspects().empty(), it.name);
      }
    }
  }
}

namespace {

/// Evidence against the jobs a and b after a crash of the worker that runs
/// both.
struct evidence_case {
  const char* name;
  bool a_listed;
  int64_t a_age_ms;
  bool b_listed;
  int64_t b_age_ms;
  bool others;
  uint32_t against_a;
  uint32_t against_b;
};

const evidence_case evidence_cases[] = {
    {"both just started", false, 0, false, 0, false, evidence_among_suspects,
     evidence_among_suspects},
    {"one just started", false, 0, true, 400, false, evidence_sole_suspect, 0},
    {"one just started, others crash", false, 0, true, 400, true,
     evidence_sole_suspect_mass_crash, 0},
    {"one just started, one listed once", false, 0, true, 200, false,
     evidence_sole_suspect, 0},
    {"both listed once", true, 200, true, 200, false, evidence_if_listed,
     evidence_if_listed},
    {"both listed for long", true, 400, true, 5'000, false, 0, 0},
};

}  // namespace

TEST(innocent_crash, evidence_is_against_possible_causes_only) {
  constexpr uint64_t a = 7, b = 8;
  for (const evidence_case& it : evidence_cases) {
    test_world world;
    world.configure();
    world.submit(a, {test_world::make_step(1)});
    world.submit(b, {test_world::make_step(1)});
    worker_view view;
    view.has_heartbeat = true;
    view.last_heartbeat_at = milliseconds(90'000);
    std::set<run_key> runs;
    const auto add = [&](uint64_t job, bool listed, int64_t age_ms) {
      const run_key run{{job_number(job), 0, 0, 0}, run_number(1)};
      runs.insert(run);
      view.starts_sent_at[run] = view.last_heartbeat_at - milliseconds(age_ms);
      if (listed) view.rows[run] = fleet::running_row();
      return run;
    };
    const run_key run_a = add(a, it.a_listed, it.a_age_ms);
    const run_key run_b = add(b, it.b_listed, it.b_age_ms);
    std::map<run_key, uint32_t> against;
    for (const crash_finding& found :
         examine_crash(view, runs, world.controller.book(), it.others)) {
      against[found.run] = found.evidence;
    }
    LONGS_EQUAL_TEXT(it.against_a, against[run_a], it.name);
    LONGS_EQUAL_TEXT(it.against_b, against[run_b], it.name);
  }
}

// The worker reports that it drains when it first lists the run.
TEST(innocent_crash, end_of_a_draining_worker_is_not_a_crash) {
  crash_settings settings;
  settings.workers = 1;
  crash_world world(settings);
  world.run_for(milliseconds(1'000));
  world.submit(first_job, {crash_world::make_step(1)});
  while (world.runs_of(first_job) == 0) world.run_for(milliseconds(100));
  world.drain(0, 60'000);
  world.run_for(milliseconds(200));
  world.crash(0);
  for (int i = 0; i < 80; ++i) {
    world.run_for(milliseconds(100));
    CHECK_TRUE(world.all.book().suspects().empty());
  }
  LONGS_EQUAL(fleet::job_succeeded, world.phase_of(first_job));
}

namespace {

/// A worker that is up and whose tasks are none of `before`.
size_t find_other(const crash_world& world, const std::set<task_key>& before) {
  size_t i = 0;
  for (; i < world.size(); ++i) {
    const std::set<task_key> tasks = world.tasks_on(i);
    const bool is_other =
        std::none_of(tasks.begin(), tasks.end(),
                     [&](const auto& it) { return before.contains(it); });
    if (!tasks.empty() && is_other) break;
  }
  return i;
}

}  // namespace

// A gang's job failed after three crashes, each of a worker under another
// member.
TEST(innocent_crash, gang_fails_for_crashes_under_different_members) {
  constexpr uint32_t members = 6;
  constexpr int crashes = 4;
  for (const row& it : rows()) {
    if (it.disrupt != crash_one && it.disrupt != crash_every_third) continue;
    crash_settings settings = it.settings;
    settings.workers = members;
    settings.work_time = milliseconds(6'500);
    settings.reloads = it.disrupt == crash_one;
    crash_world world(settings);
    world.run_for(milliseconds(1'000));
    fleet::step_spec step = crash_world::make_step(members);
    step.set_cpu_milli(2'500);
    step.set_gang(true);
    world.submit(first_job, {step});
    std::set<task_key> hit;
    for (int n = 0; n < crashes; ++n) {
      for (milliseconds at{0}; at < quiet_period; at += heartbeat_interval) {
        if (world.runs_of(first_job) == static_cast<int>(members)) break;
        world.run_for(heartbeat_interval);
      }
      LONGS_EQUAL_TEXT(fleet::job_running, world.phase_of(first_job), it.name);
      world.run_for(milliseconds(2'000));
      const size_t worker = find_other(world, hit);
      CHECK_TRUE_TEXT(worker < world.size(), it.name);
      hit.merge(world.tasks_on(worker));
      world.crash(worker);
    }
    world.run_until(first_job, fleet::job_succeeded, quiet_period);
    LONGS_EQUAL_TEXT(fleet::job_succeeded, world.phase_of(first_job), it.name);
    CHECK_TRUE_TEXT(world.all.book().suspects().empty(), it.name);
    LONGS_EQUAL_TEXT(0, world.misfits, it.name);
  }
}
