// What follows from the two lists of a heartbeat for a run on its worker.
#include <CppUTest/TestHarness.h>

#include "fleet/fleet-test-world.h"
#include "fleet/run-presence.h"

using namespace kestrelreel;

namespace {

constexpr uint64_t job = 7;
constexpr milliseconds heartbeat_interval{200};

}  // namespace

TEST_GROUP(run_presence){};

TEST(run_presence, follows_from_both_lists) {
  struct row {
    const char* name;
    bool was_running;
    bool is_running;
    bool end_listed;
    int other_ends;
    run_presence expected;
  };
  constexpr uint32_t limit = 2;
  const row rows[] = {
      {"running", true, true, false, 0, run_presence::running},
      {"running, list full", true, true, false, 2, run_presence::running},
      {"end listed", true, false, true, 0, run_presence::ended},
      {"end listed, list full", true, false, true, 1, run_presence::ended},
      {"begun and ended between heartbeats", false, false, true, 0,
       run_presence::ended},
      {"in neither list", false, false, false, 1, run_presence::absent},
      {"in neither list, list full", false, false, false, 2,
       run_presence::unknown},
      {"no longer running, list full", true, false, false, 2,
       run_presence::ended},
  };
  const run_key run{{job_number(job), 0, 0, 0}, run_number(1)};
  for (const row& it : rows) {
    test_world world;
    worker_table table(world.controller.workers().leases(), world.clock);
    fleet::worker_beat beat = world.next_heartbeat("a");
    beat.set_max_ended(limit);
    const auto send = [&](bool running) {
      beat.clear_running();
      if (running) {
        *beat.add_running()->mutable_task() = to_ref(run.task);
        beat.mutable_running(0)->set_run(1);
      }
      beat.set_sequence(beat.sequence() + 1);
      beat.set_clock_ms(beat.clock_ms() + 200);
      world.clock.advance(heartbeat_interval);
      return table.receive_heartbeat(beat).view;
    };
    send(it.was_running);
    for (int i = 0; i < it.other_ends; ++i) {
      fleet::run_end& end = *beat.add_ended();
      end.set_number(static_cast<uint64_t>(i) + 1);
      *end.mutable_task() = to_ref({job_number(8), 0, 0, 0});
      end.set_run(1);
    }
    if (it.end_listed) {
      fleet::run_end& end = *beat.add_ended();
      end.set_number(9);
      *end.mutable_task() = to_ref(run.task);
      end.set_run(1);
    }
    const worker_view* view = send(it.is_running);
    CHECK_TRUE_TEXT(presence_of(*view, run) == it.expected, it.name);
  }
}
