// Shared parts of the evacuation tests: workers in two data centres, and the
// stages in which a start may be when the evacuation order arrives.
#pragma once

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "fleet/reservation-test-world.h"

namespace kestrelreel {

constexpr uint64_t tested_job = 9;

/// Workers `n1` and `n2` are in the data centre `north`, `s1` and `s2` in
/// `south`. Each worker has capacity for four tasks.
class evacuation_world : public reservation_world {
 public:
  evacuation_world() {
    for (const char* name : {"n1", "n2", "s1", "s2"}) {
      fleet::worker_beat& it = workers[name];
      it.set_worker(name);
      it.set_pool("pool");
      it.set_address(std::string(name) + ":1");
      it.set_data_centre(name[0] == 'n' ? "north" : "south");
      it.set_cpu_milli(4'000);
      it.set_memory_mb(1'000);
    }
  }

  static fleet::fleet_request make_order(const std::string& data_centre,
                                         bool evacuate) {
    fleet::fleet_request request;
    request.mutable_evacuation()->set_data_centre(data_centre);
    request.mutable_evacuation()->set_evacuate(evacuate);
    return request;
  }
  fleet::fleet_status order(const std::string& data_centre, bool evacuate) {
    return ask(make_order(data_centre, evacuate)).status();
  }
  void evacuate() { LONGS_EQUAL(fleet::fleet_ok, order("north", true)); }
  void end_evacuation() { LONGS_EQUAL(fleet::fleet_ok, order("north", false)); }

  size_t runs_in(char data_centre) const {
    size_t n = 0;
    for (const auto& [name, it] : workers) {
      if (name[0] == data_centre) n += static_cast<size_t>(it.running_size());
    }
    return n;
  }
  /// True when two workers list a run of the same task.
  bool has_duplicate_run() const {
    std::set<task_key> seen;
    for (const auto& [name, it] : workers) {
      for (const fleet::running_row& row : it.running()) {
        if (!seen.insert(to_key(row.task())).second) return true;
      }
    }
    return false;
  }
  /// Sends heartbeats from the workers of one data centre only.
  void call_all(char data_centre) {
    for (const auto& entry : workers) {
      if (entry.first[0] == data_centre) heartbeat(entry.first);
    }
  }
  /// Changes the leadership; only the committed state is kept.
  void elect() {
    commit();
    log.proposed.clear();
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
  }
  /// Changes the leadership to a replica that was restored from a snapshot.
  void elect_from_snapshot() {
    const std::string bytes = controller.book().save();
    elect();
    CHECK_TRUE(controller.installed(bytes).ok());
  }
  const evacuations& evacuated() const { return controller.book().evacuated(); }
};

/// How far a start has come when the evacuation order arrives.
enum class start_stage {
  waiting,
  proposed,
  recorded,
  sent_and_lost,
  later_step,
  later_job,
  due_later,
  interrupted,
};

struct start_stage_row {
  const char* name;
  start_stage stage;
};

inline const start_stage_row start_stages[] = {
    {"waiting for capacity", start_stage::waiting},
    {"proposed, not yet recorded", start_stage::proposed},
    {"recorded, not yet sent", start_stage::recorded},
    {"sent in an answer that was lost", start_stage::sent_and_lost},
    {"a later step", start_stage::later_step},
    {"a job that is submitted later", start_stage::later_job},
    {"a job that is due later", start_stage::due_later},
    {"restarted after its worker stopped it", start_stage::interrupted},
};

inline fleet::step_spec make_task(uint32_t count = 1) {
  return make_short(count, 1'000, 1'000);
}

/// Records the job and proposes its start to the log.
inline void propose_tested_start(evacuation_world& world) {
  const auto request = test_world::make_submit(tested_job, {make_task()});
  world.controller.request(request, [](const auto&) {});
  world.controller.decide();
  const fleet::fleet_command submit = world.log.proposed.front();
  world.log.proposed.pop_front();
  world.controller.applied(submit);
  world.controller.decide();
  LONGS_EQUAL(1, world.log.proposed.size());
  CHECK_TRUE(world.log.proposed.front().batch().commands(0).has_starts());
}

/// Brings the start of one task of `tested_job` to the given stage; only `n1`
/// is known by then.
inline void bring_to_stage(evacuation_world& world, start_stage stage) {
  if (stage == start_stage::waiting) world.submit(tested_job, {make_task()});
  world.heartbeat("n1");
  switch (stage) {
    case start_stage::waiting:
      // The start was sent at once, in an answer that is lost.
      world.workers["n1"].clear_running();
      return;
    case start_stage::proposed:
      return propose_tested_start(world);
    case start_stage::recorded:
      world.submit(tested_job, {make_task()});
      return;
    case start_stage::sent_and_lost:
      world.submit(tested_job, {make_task()});
      world.beat("n1");
      return world.workers["n1"].clear_running();
    case start_stage::later_step: {
      fleet::step_spec second = make_task();
      second.add_depends_on(0);
      world.submit(tested_job, {make_task(), second});
      return world.heartbeat("n1");
    }
    case start_stage::interrupted:
      world.submit(tested_job, {make_task()});
      return world.heartbeat("n1");
    case start_stage::due_later:
      return world.submit_scheduled(milliseconds(1'000), 1, tested_job,
                                    make_task());
    case start_stage::later_job:
      return;
  }
}

/// Triggers the start once the evacuation is in force.
inline void trigger_start(evacuation_world& world, start_stage stage) {
  const fleet::task_ref first = to_ref({job_number(tested_job), 0, 0, 0});
  if (stage == start_stage::later_job) world.submit(tested_job, {make_task()});
  if (stage == start_stage::later_step)
    world.end("n1", first, 1, fleet::run_done);
  if (stage == start_stage::interrupted)
    world.end("n1", first, 1, fleet::run_stopped);
}

}  // namespace kestrelreel
