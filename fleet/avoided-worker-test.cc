// Guards against long-running tasks that wait for a worker which is sound
// again, because it is avoided for many failures of one moment.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>

#include "fleet/failing-test-world.h"

using namespace kestrelreel;
using failing::failing_world;
using failing::step_time;

namespace {

/// Users bear 3 s of calm without a run. A calm begins 4 s after the last
/// disturbance, and counts from 6 s after the task's last run.
constexpr milliseconds calm_after{4'000};
constexpr milliseconds after_last_run{6'000};
constexpr milliseconds max_outage{3'000};

/// What the long-running jobs meet.
struct row {
  const char* name;
  int failing_workers;
  int jobs;
  milliseconds jobs_apart;
  milliseconds fails_for;
  bool leader_changes;
};

/// How long each task had no run at most, once all was calm.
milliseconds longest_outage(const row& it) {
  constexpr milliseconds watched_for{25'000};
  constexpr int sound_workers = 14;
  failing_world world(it.failing_workers, sound_workers);
  fleet::step_spec step = test_world::make_step(1, 500);
  step.set_long_running(true);
  step.set_requires_label("b");
  const time_point start = world.clock.now();
  const time_point sound_at = start + it.fails_for;
  std::map<task_key, time_point> last_run;
  milliseconds longest{0};
  int jobs = 0;
  while (world.clock.now() < sound_at + watched_for) {
    while (jobs < it.jobs &&
           world.clock.now() >= start + jobs * it.jobs_apart) {
      const uint64_t job = static_cast<uint64_t>(++jobs);
      world.submit(job, {step});
      last_run[{job_number(job), 0, 0, 0}] = world.clock.now();
    }
    if (world.clock.now() >= sound_at) world.make_sound();
    const bool changes = world.clock.now() == start + milliseconds(1'000);
    if (it.leader_changes && changes) world.change_leader();
    world.one_step();
    const time_point now = world.clock.now();
    for (auto& [task, at] : last_run) {
      if (world.runs(task)) at = now;
      const time_point from =
          std::max(sound_at + calm_after, at + after_last_run);
      longest = std::max(longest, now - from);
    }
  }
  return longest;
}

}  // namespace

TEST_GROUP(avoided_worker){};

TEST(avoided_worker, that_is_sound_again_gets_no_tasks) {
  const row rows[] = {
      {"one worker", 1, 12, milliseconds(0), milliseconds(4'000), false},
      {"two workers", 2, 12, milliseconds(0), milliseconds(6'000), false},
      {"jobs in a row", 1, 12, milliseconds(450), milliseconds(6'000), false},
      {"at the site's limit", 1, 12, milliseconds(0), milliseconds(6'500),
       false},
      {"for long", 1, 12, milliseconds(0), milliseconds(17'000), false},
      {"two jobs", 1, 2, milliseconds(0), milliseconds(10'000), false},
      {"the leader changes", 1, 12, milliseconds(0), milliseconds(6'500), true},
  };
  for (const row& it : rows) {
    const milliseconds longest = longest_outage(it);
    const std::string text =
        std::string(it.name) + ": " + std::to_string(longest.count()) + " ms";
    CHECK_TRUE_TEXT(longest < max_outage, text.c_str());
  }
}

// Tasks that may run elsewhere lose attempts to a worker that fails for good.
TEST(avoided_worker, that_fails_for_good_is_tried_too_often) {
  constexpr int sound_workers = 15;
  constexpr uint64_t first_jobs = 10;
  constexpr uint64_t jobs = 150;
  constexpr milliseconds jobs_apart{100};
  constexpr milliseconds watched_for{30'000};
  /// The first failures, and one after each period of 2, 4, 8 and 16 s.
  constexpr int max_failed_runs = 32 + 4;
  failing_world world(1, sound_workers);
  uint64_t submitted = 0;
  const time_point start = world.clock.now();
  while (world.clock.now() < start + watched_for) {
    while (submitted < jobs &&
           (submitted < first_jobs ||
            world.clock.now() >=
                start + static_cast<int64_t>(submitted) * jobs_apart))
      world.submit(++submitted, {test_world::make_step(4)});
    world.one_step();
  }
  for (uint64_t job = 1; job <= jobs; ++job)
    LONGS_EQUAL(fleet::job_succeeded, world.state(job).phase());
  CHECK_TRUE(world.failed_runs() <= max_failed_runs);
}

// Until a run shows that the worker is sound, it gets one task at a time.
TEST(avoided_worker, gets_all_tasks_at_once_when_it_is_tried_again) {
  failing_world world(1, 0);
  constexpr uint64_t jobs = 12;
  for (uint64_t job = 1; job <= jobs; ++job)
    world.submit(job, {test_world::make_step(1, 500)});
  int failed = 0;
  for (milliseconds at{0}; at < milliseconds(1'500); at += step_time)
    world.one_step();
  failed = world.failed_runs();
  LONGS_EQUAL(jobs, failed);
  for (milliseconds at{0}; at < milliseconds(2'000); at += step_time)
    world.one_step();
  LONGS_EQUAL(failed + 1, world.failed_runs());
}
