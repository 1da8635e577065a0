// Workers that have more ends to report than one heartbeat lists.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "base/text.h"
#include "fleet/cancelled-test-world.h"
#include "fleet/crash-evidence.h"

using namespace kestrelreel;
using cancelled::control_boxes;
using cancelled::heartbeat_interval;
using cancelled::heartbeat_route;

namespace {

constexpr uint64_t job = 7;
constexpr uint64_t task_cpu = 100;

/// A worker that lists at most `limit` ends in a heartbeat.
class listing_worker {
 public:
  listing_worker(control_boxes& boxes, const char* name, uint32_t limit,
                 heartbeat_route route = heartbeat_route::direct)
      : boxes_(boxes), route_(route) {
    beat.set_worker(name);
    beat.set_pool("pool");
    beat.set_address(str_cat(name, ":1"));
    beat.set_data_centre("east");
    beat.set_cpu_milli(4'000);
    beat.set_memory_mb(10'000);
    beat.set_max_ended(limit);
  }

  /// Calls, and carries out the answer unless it is lost.
  fleet::worker_orders call(bool answer_arrives = true) {
    beat.set_sequence(beat.sequence() + 1);
    beat.set_clock_ms(static_cast<uint64_t>(boxes_.clock.now().count()));
    beat.clear_ended();
    for (const fleet::run_end& it : ends_) {
      if (static_cast<uint32_t>(beat.ended_size()) < beat.max_ended())
        *beat.add_ended() = it;
    }
    const fleet::worker_orders orders = send();
    if (answer_arrives && orders.hold_ms() > 0) carry_out(orders);
    return orders;
  }
  /// Ends the oldest runs, all of them if no number is given.
  void end_runs(int n = INT32_MAX) {
    auto& rows = *beat.mutable_running();
    for (; n > 0 && !rows.empty(); --n) {
      add_end(rows.begin()->task(), rows.begin()->run(), fleet::run_done);
      rows.erase(rows.begin());
    }
  }
  /// Ends the runs that were ordered to stop, at the earliest after `delay`.
  void end_stopped_runs(milliseconds delay) {
    const time_point now = boxes_.clock.now();
    auto& rows = *beat.mutable_running();
    for (int i = rows.size() - 1; i >= 0; --i) {
      const run_key run{to_key(rows[i].task()), run_number(rows[i].run())};
      const auto stopped = stopped_at_.find(run);
      if (stopped == stopped_at_.end() || now - stopped->second < delay)
        continue;
      add_end(rows[i].task(), rows[i].run(), fleet::run_stopped);
      rows.DeleteSubrange(i, 1);
    }
  }
  size_t ends() const { return ends_.size(); }
  int refused() const { return refused_; }

  fleet::worker_beat beat;

 private:
  fleet::worker_orders send() {
    if (route_ == heartbeat_route::intake) return boxes_.forward(beat).orders();
    fleet::fleet_request request;
    *request.mutable_beat() = beat;
    return boxes_.ask(request).orders();
  }
  void carry_out(const fleet::worker_orders& orders) {
    while (!ends_.empty() && ends_.front().number() <= orders.last_end())
      ends_.pop_front();
    for (const fleet::stop_order& it : orders.stops()) {
      const run_key run{to_key(it.task()), run_number(it.run())};
      stopped_at_.try_emplace(run, boxes_.clock.now());
    }
    for (const fleet::start_order& it : orders.starts()) {
      const run_key run{to_key(it.task()), run_number(it.run())};
      if (!begun_.insert(run).second) {
        ++refused_;
        add_end(it.task(), it.run(), fleet::run_refused);
        continue;
      }
      fleet::running_row& row = *beat.add_running();
      *row.mutable_task() = it.task();
      row.set_run(it.run());
    }
  }
  void add_end(const fleet::task_ref& task, uint32_t run,
               fleet::run_outcome outcome) {
    fleet::run_end& end = ends_.emplace_back();
    end.set_number(++last_end_);
    *end.mutable_task() = task;
    end.set_run(run);
    end.set_outcome(outcome);
  }

  control_boxes& boxes_;
  heartbeat_route route_;
  std::deque<fleet::run_end> ends_;
  std::set<run_key> begun_;
  std::map<run_key, time_point> stopped_at_;
  uint64_t last_end_ = 0;
  int refused_ = 0;
};

void submit(control_boxes& boxes, uint64_t number, uint32_t tasks) {
  fleet::step_spec step = test_world::make_step(tasks, task_cpu);
  step.set_memory_mb(10);
  boxes.ask(test_world::make_submit(number, {step}));
}

bool has_succeeded(control_boxes& boxes, uint64_t number) {
  const job_entry* it = boxes.book().find(job_number(number));
  return it != nullptr && it->phase == fleet::job_succeeded;
}

/// Why the worker is sent no starts.
enum class standing { ready, draining, evacuated, overcommitted };

void change(listing_worker& it, control_boxes& boxes, standing to) {
  if (to == standing::draining) {
    it.beat.set_draining(true);
    it.beat.set_remaining_ms(60'000);
  }
  if (to == standing::overcommitted) it.beat.set_cpu_milli(task_cpu / 2);
  if (to != standing::evacuated) return;
  fleet::fleet_request request;
  request.mutable_evacuation()->set_data_centre("east");
  request.mutable_evacuation()->set_evacuate(true);
  boxes.ask(request);
}

struct row {
  std::string name;
  standing to;
  heartbeat_route route;
  /// Another box leads from the moment at which the runs end.
  bool leader_changes;
};

std::vector<row> rows() {
  std::vector<row> out;
  const std::pair<const char*, standing> standings[] = {
      {"ready", standing::ready},
      {"draining", standing::draining},
      {"evacuated", standing::evacuated},
      {"overcommitted", standing::overcommitted}};
  for (const auto& [name, to] : standings) {
    for (const bool changes : {false, true}) {
      for (const auto route :
           {heartbeat_route::direct, heartbeat_route::intake}) {
        out.push_back(
            {str_cat(name, changes ? ", next leader" : "",
                     route == heartbeat_route::intake ? ", through another box"
                                                      : ""),
             to, route, changes});
      }
    }
  }
  return out;
}

}  // namespace

TEST_GROUP(incomplete_ends){};

// Runs whose end had no room in a heartbeat yet were taken for runs that never
// began, and their tasks were started again on another worker.
TEST(incomplete_ends, task_that_was_done_is_started_on_another_worker) {
  constexpr uint32_t tasks = 12;
  for (const row& it : rows()) {
    control_boxes boxes;
    listing_worker busy(boxes, "a", 1, it.route);
    busy.call();
    submit(boxes, job, tasks);
    while (busy.beat.running_size() < static_cast<int>(tasks)) busy.call();
    listing_worker other(boxes, "b", 1, it.route);
    other.beat.set_data_centre("west");
    bool succeeded = false;
    const auto call_both = [&] {
      boxes.pass(heartbeat_interval);
      busy.call();
      LONGS_EQUAL_TEXT(0, other.call().starts_size(), it.name.c_str());
      succeeded = succeeded || has_succeeded(boxes, job);
    };
    for (int i = 0; i < 10; ++i) call_both();
    change(busy, boxes, it.to);
    call_both();
    if (it.leader_changes) boxes.elect(1);
    busy.end_runs();
    while (busy.ends() > 0) call_both();
    CHECK_TRUE_TEXT(succeeded, it.name.c_str());
  }
}

// A run whose end had no room in a heartbeat was ordered again with each
// answer.
TEST(incomplete_ends, ended_run_is_ordered_again) {
  constexpr uint32_t tasks = 12;
  for (const bool leader_changes : {false, true}) {
    control_boxes boxes;
    listing_worker busy(boxes, "a", 2);
    busy.call();
    submit(boxes, job, tasks);
    while (busy.beat.running_size() < static_cast<int>(tasks)) busy.call();
    for (int i = 0; i < 10; ++i) {
      boxes.pass(heartbeat_interval);
      busy.call();
    }
    if (leader_changes) boxes.elect(1);
    busy.end_runs();
    while (busy.ends() > 0) {
      boxes.pass(heartbeat_interval);
      busy.call();
    }
    LONGS_EQUAL(0, busy.refused());
    CHECK_TRUE(has_succeeded(boxes, job));
  }
}

// A start that was lost on its way is sent again although the worker's list of
// ends never becomes complete.
TEST(incomplete_ends, lost_start_is_not_sent_again) {
  constexpr milliseconds limit{3'100};
  constexpr uint64_t steady_job = 8;
  for (const bool leader_changes : {false, true}) {
    control_boxes boxes;
    listing_worker busy(boxes, "a", 1);
    busy.call();
    submit(boxes, steady_job, 200);
    while (busy.beat.running_size() < 10) busy.call();
    const auto call = [&](bool answer_arrives) {
      boxes.pass(heartbeat_interval);
      busy.end_runs(1);
      return busy.call(answer_arrives);
    };
    busy.end_runs(5);
    for (int i = 0; i < 5; ++i) call(true);
    const fleet::worker_orders lost = call(false);
    CHECK_TRUE(lost.starts_size() > 0);
    const task_key task = to_key(lost.starts(0).task());
    if (leader_changes) boxes.elect(1);
    const time_point lost_at = boxes.clock.now();
    bool sent_again = false;
    while (!sent_again && boxes.clock.now() - lost_at < limit) {
      const fleet::worker_orders orders = call(true);
      CHECK_TRUE(busy.ends() > 1);
      const auto& starts = orders.starts();
      sent_again = std::any_of(starts.begin(), starts.end(), [&](auto& it) {
        return to_key(it.task()) == task;
      });
    }
    CHECK_TRUE(sent_again);
  }
}

// A run that never began on a draining worker is found out once the list of
// ends is complete again.
TEST(incomplete_ends, lost_start_on_a_draining_worker_is_never_found_out) {
  constexpr uint32_t tasks = 6;
  constexpr uint64_t lost_job = 9;
  control_boxes boxes;
  listing_worker busy(boxes, "a", 2);
  busy.call();
  submit(boxes, job, tasks);
  while (busy.beat.running_size() < static_cast<int>(tasks)) busy.call();
  submit(boxes, lost_job, 1);
  LONGS_EQUAL(1, busy.call(false).starts_size());
  change(busy, boxes, standing::draining);
  busy.end_runs();
  listing_worker other(boxes, "b", 2);
  for (int i = 0; i < 20 && other.beat.running().empty(); ++i) {
    boxes.pass(heartbeat_interval);
    busy.call();
    other.call();
  }
  LONGS_EQUAL(1, other.beat.running_size());
  CHECK_EQUAL(lost_job, other.beat.running(0).task().job());
  CHECK_TRUE(has_succeeded(boxes, job));
}

// Runs on a worker that leaves were stopped too late for all of their ends to
// be listed.
TEST(incomplete_ends, ends_remain_unreported_when_the_worker_goes) {
  constexpr uint32_t tasks = 12;
  constexpr milliseconds stop_time{900};
  for (const uint32_t limit : {1, 2, 5, 12, 20}) {
    control_boxes boxes;
    listing_worker busy(boxes, "a", limit);
    busy.call();
    submit(boxes, job, tasks);
    while (busy.beat.running_size() < static_cast<int>(tasks)) busy.call();
    busy.beat.set_draining(true);
    for (milliseconds left{20'000}; left.count() >= 0;
         left -= heartbeat_interval) {
      busy.beat.set_remaining_ms(static_cast<uint64_t>(left.count()));
      busy.call();
      boxes.pass(heartbeat_interval);
      busy.end_stopped_runs(stop_time);
    }
    LONGS_EQUAL(0, busy.beat.running_size());
    LONGS_EQUAL(0, busy.ends());
  }
}

// A run that had ended without room for its end in a heartbeat was blamed for
// the crash of its worker.
TEST(incomplete_ends, ended_run_is_blamed_for_a_crash) {
  test_world world;
  world.configure();
  world.submit(job, {test_world::make_step(2)});
  const auto key = [](uint32_t index) {
    return run_key{{job_number(job), 0, 0, index}, run_number(1)};
  };
  worker_table table(world.controller.workers().leases(), world.clock);
  fleet::worker_beat beat = world.next_heartbeat("a");
  beat.set_max_ended(1);
  for (const uint32_t i : {0, 1}) {
    fleet::running_row& it = *beat.add_running();
    *it.mutable_task() = to_ref(key(i).task);
    it.set_run(1);
  }
  worker_view& view = *table.receive_heartbeat(beat).view;
  for (const uint32_t i : {0, 1})
    view.starts_sent_at[key(i)] = world.clock.now();
  world.clock.advance(heartbeat_interval);
  beat.set_sequence(beat.sequence() + 1);
  beat.set_clock_ms(beat.clock_ms() + 200);
  beat.clear_running();
  fleet::run_end& end = *beat.add_ended();
  end.set_number(1);
  *end.mutable_task() = to_ref(key(0).task);
  end.set_run(1);
  table.receive_heartbeat(beat);
  const auto findings =
      examine_crash(view, {key(0), key(1)}, world.controller.book(), false);
  CHECK_TRUE(findings.empty());
}
