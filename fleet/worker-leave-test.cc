// Workers that leave in order: the last heartbeat and the leave take different
// paths and arrive in any order.
//
// A batch task that ended successfully on a draining worker was started again
// on another one, and its end was acknowledged afterwards. The last heartbeat
// lists the end and reaches the leader through another control box, up to 10 ms
// later as a difference, while the leave goes to the leader directly and
// overtakes it. The leave closed all runs of the worker and made the leader
// forget it. The leader then requested the whole heartbeat as for an unknown
// incarnation, started the task elsewhere in the meantime, and ignored the end,
// but raised the number of the last acknowledged end. The order leave, commit,
// plan, heartbeat failed this way. No log of a deployment shows the failure.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

#include "fleet/beat-intake.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

namespace {

const fleet::task_ref task = to_ref({job_number(7), 0, 0, 0});

/// One job of one task, running on the draining worker `a`, which calls through
/// another control box. Calls reach the leader by `deliver`.
class leave_world : public test_world {
 public:
  leave_world() {
    switch_box();
    configure();
    submit(7, {make_step(1)});
    beat("a");
    call(milliseconds(0));
    deliver();
    commit();
    workers["a"].set_draining(true);
    call(milliseconds(0));
    deliver();
    commit();
  }

  /// The worker calls the other box, which reads the call `age` later.
  void call(milliseconds age) {
    fleet::worker_beat& it = workers["a"];
    it.set_sequence(it.sequence() + 1);
    it.set_clock_ms(static_cast<uint64_t>((clock.now() - age).count()));
    intake->take(
        it, [this](const fleet::fleet_response& r) { record_answer_to_a(r); });
  }
  /// Sends further calls to another box, which has no state yet.
  void switch_box() { intake.emplace(intake_settings{}, clock, metrics); }
  /// Forwards the pending calls of the other box, again if the leader requests
  /// it.
  void deliver() {
    for (int i = 0; i < 3 && intake->has_pending_calls(); ++i) {
      const fleet::beat_batch batch = intake->collect("leader");
      controller.take_heartbeats(batch, [this](const fleet::beat_answer& it) {
        fleet::beat_answers answers;
        *answers.add_answers() = it;
        intake->handle_answers(answers);
      });
    }
  }
  void leave(const std::string& worker = "a") {
    fleet::fleet_request request;
    request.set_worker_leaves(worker);
    controller.request(request, [this](const fleet::fleet_response& r) {
      leave_status.push_back(r.status());
    });
  }
  /// Another worker calls, and the leader places tasks.
  void place_tasks() {
    starts_elsewhere += call_from_b();
    controller.decide();
  }
  int call_from_b() {
    const int n = workers.contains("b") ? workers["b"].running_size() : 0;
    heartbeat_quietly("b");
    return workers["b"].running_size() - n;
  }
  void heartbeat_quietly(const std::string& worker) {
    const fleet::worker_beat& it = next_heartbeat(worker);
    fleet::fleet_request request;
    *request.mutable_beat() = it;
    controller.request(request, [this, worker](const auto& r) {
      for (const auto& start : r.orders().starts()) {
        fleet::running_row& row = *workers[worker].add_running();
        *row.mutable_task() = start.task();
        row.set_run(start.run());
        ++started[worker];
      }
    });
  }
  /// Changes the leadership; pending proposals are committed or dropped.
  void change_leader(bool commits) {
    if (commits) commit();
    log.proposed.clear();
    controller.set_leading(false);
    ++log.leader_term;
    controller.set_leading(true);
    intake->leader_changed();
  }
  /// Lets 6 s pass, so that the lease of `a` expires, while `b` keeps calling.
  void run_past_lease() {
    for (int i = 0; i < 20; ++i) {
      heartbeat_quietly("b");
      commit();
      deliver();
      pass(milliseconds(300));
    }
  }
  bool succeeded() {
    return controller.book().find(job_number(7))->phase == fleet::job_succeeded;
  }

  std::optional<heartbeat_intake> intake;
  std::vector<fleet::fleet_status> leave_status;
  std::map<std::string, int> started;
  int starts_elsewhere = 0;
  uint64_t acknowledged = 0;

 private:
  void record_answer_to_a(const fleet::fleet_response& r) {
    acknowledged = std::max(acknowledged, r.orders().last_end());
  }
};

struct call_kind {
  const char* name;
  bool difference;
  milliseconds age;
};

/// Plays an event: H the heartbeat with the end arrives, L the leave arrives, C
/// all proposals are committed, P another worker calls and the leader places
/// tasks, E the leader changes and all proposals are committed, F the leader
/// changes and all pending proposals are dropped.
void play_event(leave_world& world, char event) {
  switch (event) {
    case 'H':
      return world.deliver();
    case 'L':
      return world.leave();
    case 'C':
      return world.commit();
    case 'P':
      return world.place_tasks();
    default:
      return world.change_leader(event == 'E');
  }
}

std::string play_all(const std::string& order, const call_kind& kind) {
  leave_world world;
  world.end("a", task, 1, fleet::run_done);
  // The box knows nothing of the worker, so it forwards the whole heartbeat.
  if (!kind.difference) world.switch_box();
  // A late call was sent after the last one that arrived, as its clock shows.
  world.pass(kind.age);
  world.call(kind.age);
  for (const char event : order) play_event(world, event);
  world.run_past_lease();
  const bool started_again = world.started["b"] > 0;
  if (started_again && world.acknowledged > 0)
    return "started again, acknowledged";
  // The end was lost with the leader that had received it.
  if (order.find('F') != std::string::npos &&
      order.find('H') < order.find('F')) {
    return "";
  }
  if (started_again) return "started again";
  return world.succeeded() ? "" : "not counted";
}

}  // namespace

TEST_GROUP(worker_leave) {
  leave_world world;

  void check_orders(std::string order) {
    const call_kind kinds[] = {
        {"difference", true, milliseconds(0)},
        {"whole", false, milliseconds(0)},
        {"late difference", true, milliseconds(1'500)},
        {"late whole", false, milliseconds(1'500)},
    };
    std::sort(order.begin(), order.end());
    do {
      for (const call_kind& it : kinds) {
        const std::string wrong = play_all(order, it);
        STRCMP_EQUAL_TEXT("", wrong.c_str(), (order + ", " + it.name).c_str());
      }
    } while (std::next_permutation(order.begin(), order.end()));
  }
  /// Commits the leave and lets the time pass.
  void leave_and_pass(milliseconds n) {
    world.leave();
    world.commit();
    world.pass(n);
  }
};

TEST(worker_leave, successful_end_is_dropped) { check_orders("HLCP"); }

TEST(worker_leave, successful_end_is_dropped_at_leader_change) {
  check_orders("HLCPE");
}

TEST(worker_leave, uncounted_end_is_acknowledged_after_leader_failure) {
  check_orders("HLCPF");
}

TEST(worker_leave, run_starts_again_while_its_end_may_arrive) {
  leave_and_pass(milliseconds(900));
  world.heartbeat_quietly("b");
  world.commit();
  LONGS_EQUAL(0, world.started["b"]);
  world.pass(milliseconds(400));
  world.heartbeat_quietly("b");
  world.commit();
  LONGS_EQUAL(1, world.started["b"]);
}

TEST(worker_leave, failed_end_in_transit_is_not_counted) {
  world.end("a", task, 1, fleet::run_failed);
  world.call(milliseconds(0));
  world.leave();
  world.commit();
  world.deliver();
  world.commit();
  LONGS_EQUAL(1, world.controller.book().find(to_key(task))->failures);
}

TEST(worker_leave, ended_incarnation_gets_work_or_acknowledgement) {
  struct row {
    const char* name;
    bool difference;
    milliseconds age;
    milliseconds after;
    bool next_leader;
  };
  const row rows[] = {
      {"whole", false, milliseconds(0), milliseconds(1'500), false},
      {"difference", true, milliseconds(0), milliseconds(1'500), false},
      {"late whole", false, milliseconds(1'500), milliseconds(1'500), false},
      {"long after", false, milliseconds(9'000), milliseconds(9'000), false},
      {"next leader", false, milliseconds(0), milliseconds(1'500), true},
  };
  for (const row& it : rows) {
    world.~leave_world();
    new (&world) leave_world();
    world.end("a", task, 1, fleet::run_done);
    leave_and_pass(it.after);
    if (it.next_leader) world.change_leader(true);
    if (!it.difference) world.switch_box();
    world.workers["a"].set_draining(false);
    world.call(it.age);
    world.deliver();
    world.submit(8, {test_world::make_step(1)});
    world.commit();
    UNSIGNED_LONGS_EQUAL_TEXT(0, world.acknowledged, it.name);
    CHECK_TRUE_TEXT(world.controller.book().runs_on(worker_id("a")).empty(),
                    it.name);
  }
}

TEST(worker_leave, leave_is_missing_from_snapshot) {
  world.leave();
  world.commit();
  world.end("a", task, 1, fleet::run_done);
  const std::string saved = world.controller.book().save();
  world.controller.set_leading(false);
  CHECK_TRUE(world.controller.installed(saved).ok());
  ++world.log.leader_term;
  world.controller.set_leading(true);
  world.pass(milliseconds(500));
  CHECK_FALSE(world.controller.book().runs_on(worker_id("a")).empty());
  // The lease would expire only after 4.2 s.
  world.pass(milliseconds(1'000));
  CHECK_TRUE(world.controller.book().runs_on(worker_id("a")).empty());
}

TEST(worker_leave, leave_is_acknowledged_before_commit) {
  world.leave();
  LONGS_EQUAL(0, world.leave_status.size());
  world.commit();
  LONGS_EQUAL(1, world.leave_status.size());
  // The worker repeats the call if the answer was lost.
  for (const milliseconds later : {milliseconds(0), milliseconds(3'000)}) {
    world.pass(later);
    world.leave();
    world.commit();
  }
  world.leave("nobody-heard-of-it");
  world.commit();
  LONGS_EQUAL(4, world.leave_status.size());
  for (const auto it : world.leave_status) LONGS_EQUAL(fleet::fleet_ok, it);
}

TEST(worker_leave, unrecorded_leave_closes_runs) {
  world.log.refuses = true;
  world.leave();
  world.controller.decide();
  LONGS_EQUAL(fleet::fleet_unavailable, world.leave_status.at(0));
  world.log.refuses = false;
  world.pass(milliseconds(1'500));
  CHECK_FALSE(world.controller.book().runs_on(worker_id("a")).empty());
}

TEST(worker_leave, stalled_leader_closes_runs_before_reading_ends) {
  world.end("a", task, 1, fleet::run_done);
  world.call(milliseconds(0));
  world.leave();
  world.commit();
  world.clock.advance(milliseconds(3'000));
  world.controller.tick();
  world.commit();
  world.deliver();
  world.commit();
  CHECK_TRUE(world.succeeded());
}

TEST(worker_leave, replaced_incarnation_gets_work_or_acknowledgement) {
  world.workers["a"].set_machine("m");
  world.switch_box();
  world.call(milliseconds(0));
  world.deliver();
  world.pass(milliseconds(1'900));
  world.heartbeat_quietly("b");
  world.workers["b"].set_machine("m");
  for (int i = 0; i < 5; ++i) {
    world.pass(milliseconds(300));
    world.heartbeat_quietly("b");
    world.commit();
  }
  CHECK_TRUE(world.controller.book().runs_on(worker_id("a")).empty());
  world.end("a", task, 1, fleet::run_done);
  world.workers["a"].set_draining(false);
  world.call(milliseconds(0));
  world.deliver();
  world.commit();
  LONGS_EQUAL(0, world.acknowledged);
  CHECK_TRUE(world.controller.workers().views().count(worker_id("a")) == 0);
}

TEST(worker_leave, silent_worker_is_not_accepted_again) {
  world.workers["a"].set_draining(false);
  world.pass(milliseconds(70'000));
  CHECK_TRUE(world.controller.workers().views().empty());
  world.heartbeat_quietly("a");
  world.commit();
  LONGS_EQUAL(1, world.controller.workers().views().size());
}

TEST(worker_leave, memory_of_ended_incarnations_grows) {
  constexpr int incarnations = 3'000;
  test_clock clock;
  worker_table table({}, clock);
  for (int i = 0; i < incarnations; ++i)
    table.end_incarnation(worker_id(std::to_string(i)));
  CHECK_FALSE(table.is_ended(worker_id("0")));
  CHECK_TRUE(table.is_ended(worker_id(std::to_string(incarnations - 1))));
  clock.advance(milliseconds(60'000));
  CHECK_FALSE(table.is_ended(worker_id(std::to_string(incarnations - 1))));
}
