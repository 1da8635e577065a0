// What the tests of evacuations share: workers in two data centres, and the
// roads that a start may be on when the order comes.
#pragma once

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "fleet/reservation-test-world.h"

namespace kestrelreel {

constexpr uint64_t late_job = 9;

/// Workers `n1`, `n2` in the data centre `north`, `s1`, `s2` in `south`; a
/// worker has room for four tasks.
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
  void take_back() { LONGS_EQUAL(fleet::fleet_ok, order("north", false)); }

  size_t running_at(char data_centre) const {
    size_t n = 0;
    for (const auto& [name, it] : workers) {
      if (name[0] == data_centre) n += static_cast<size_t>(it.running_size());
    }
    return n;
  }
  /// The last runs in force, each task once.
  bool doubled() const {
    std::set<task_key> seen;
    for (const auto& [name, it] : workers) {
      for (const fleet::running_row& row : it.running()) {
        if (!seen.insert(to_key(row.task())).second) return true;
      }
    }
    return false;
  }
  /// Only the workers of that data centre call.
  void call_all(char data_centre) {
    for (const auto& entry : workers) {
      if (entry.first[0] == data_centre) heartbeat(entry.first);
    }
  }
  /// The leadership changes; what lasts is in the book.
  void elect() {
    commit();
    log.proposed.clear();
    controller.leads(false);
    ++log.leader_term;
    controller.leads(true);
  }
  /// Another replica leads, which was installed from a snapshot.
  void install_elsewhere() {
    const std::string bytes = controller.book().save();
    elect();
    CHECK_TRUE(controller.installed(bytes).ok());
  }
  const evacuations& evacuated() const { return controller.book().evacuated(); }
};

/// A start on its way there when the order comes.
enum class road {
  waiting,
  proposed,
  recorded,
  sent_and_lost,
  later_step,
  later_job,
  due_later,
  interrupted,
};

struct road_row {
  const char* name;
  road it;
};

inline const road_row roads[] = {
    {"waiting for room", road::waiting},
    {"proposed, not yet recorded", road::proposed},
    {"recorded, not yet sent", road::recorded},
    {"sent in an answer that was lost", road::sent_and_lost},
    {"a later step", road::later_step},
    {"a job that comes later", road::later_job},
    {"a time that is due later", road::due_later},
    {"run again after its worker stopped it", road::interrupted},
};

inline fleet::step_spec make_task(uint32_t count = 1) {
  return make_short(count, 1'000, 1'000);
}

/// The job is recorded, and its start handed to the log.
inline void propose_start(evacuation_world& world) {
  const auto request = test_world::make_submit(late_job, {make_task()});
  world.controller.request(request, [](const auto&) {});
  world.controller.settle();
  const fleet::fleet_command submit = world.log.proposed.front();
  world.log.proposed.pop_front();
  world.controller.applied(submit);
  world.controller.settle();
  LONGS_EQUAL(1, world.log.proposed.size());
  CHECK_TRUE(world.log.proposed.front().batch().commands(0).has_starts());
}

/// Brings the start of one task of `late_job` to where it stands on its road,
/// with nothing but `n1` known.
inline void set_out(evacuation_world& world, road it) {
  if (it == road::waiting) world.submit(late_job, {make_task()});
  world.heartbeat("n1");
  switch (it) {
    case road::waiting:
      // It found room at once: the answer that carried it is lost.
      world.workers["n1"].clear_running();
      return;
    case road::proposed:
      return propose_start(world);
    case road::recorded:
      world.submit(late_job, {make_task()});
      return;
    case road::sent_and_lost:
      world.submit(late_job, {make_task()});
      world.beat("n1");
      return world.workers["n1"].clear_running();
    case road::later_step: {
      fleet::step_spec second = make_task();
      second.add_depends_on(0);
      world.submit(late_job, {make_task(), second});
      return world.heartbeat("n1");
    }
    case road::interrupted:
      world.submit(late_job, {make_task()});
      return world.heartbeat("n1");
    case road::due_later:
      return world.submit_scheduled(milliseconds(1'000), 1, late_job,
                                    make_task());
    case road::later_job:
      return;
  }
}

/// What sets the start off, once the order is in force.
inline void set_off(evacuation_world& world, road it) {
  const fleet::task_ref first = to_ref({job_number(late_job), 0, 0, 0});
  if (it == road::later_job) world.submit(late_job, {make_task()});
  if (it == road::later_step) world.end("n1", first, 1, fleet::run_done);
  if (it == road::interrupted) world.end("n1", first, 1, fleet::run_stopped);
}

}  // namespace kestrelreel
