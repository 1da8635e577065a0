// Runs of a cancelled job end within the users' bounds, whoever ordered them
// and however late a worker began them, and nothing of the job starts again.
#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::cancelled;

namespace {

enum class order_issuer {
  current_leader,
  previous_leader,
  same_leader_earlier_term
};
enum class start_time {
  before_cancel,
  after_cancel,
  declared_lost_unstarted,
  declared_lost_silent,
  after_worker_left,
  after_job_forgotten
};
enum class first_stop_delivery { arrives, dropped, dropped_with_leader };

struct cancel_case {
  std::string name;
  order_issuer ordered_by;
  start_time when;
  heartbeat_route route;
  first_stop_delivery stop;
  bool draining;
};

/// Each run that the worker lists is told to stop by the answer.
bool stops_every_run(const fleet::worker_beat& beat,
                     const fleet::worker_orders& orders) {
  for (const fleet::running_row& row : beat.running()) {
    bool found = false;
    for (const fleet::stop_order& it : orders.stops()) {
      found = found || (to_key(it.task()) == to_key(row.task()) &&
                        it.run() == row.run());
    }
    if (!found) return false;
  }
  return true;
}

/// Plays one case; the first promise that was broken is told.
class cancel_scenario {
 public:
  explicit cancel_scenario(const cancel_case& it) : case_(it) {}

  std::string run() {
    if (!receive_start_order()) return "no order to begin with";
    if (!cancel_and_drain()) return "the cancel was not acknowledged";
    if (!wait_and_start()) return "what it waits for did not come";
    const std::string wrong = check_until_stopped();
    return wrong.empty() ? check_after_stop() : wrong;
  }

 private:
  bool receive_start_order() {
    worker_.call();
    // The second task finds no room yet: a later start of it would be seen.
    boxes_.ask(test_world::make_submit(job, {test_world::make_step(2)}));
    const fleet::worker_orders orders = worker_.call();
    if (orders.starts_size() != 1) return false;
    order_ = orders.starts(0);
    if (case_.when == start_time::before_cancel) worker_.start_run(order_);
    if (case_.ordered_by == order_issuer::current_leader) {
      if (case_.when == start_time::before_cancel) worker_.call();
      return true;
    }
    boxes_.clock.advance(milliseconds(1'000));
    boxes_.elect(case_.ordered_by == order_issuer::previous_leader ? 1 : 0);
    return true;
  }
  bool cancel_and_drain() {
    if (boxes_.ask(make_cancel()).status() != fleet::fleet_ok) return false;
    if (case_.draining) worker_.drain();
    return true;
  }
  bool wait_and_start() {
    const auto declared_lost = [this] {
      return boxes_.book().runs_on(worker_id("a")).empty();
    };
    bool reached_start = true;
    switch (case_.when) {
      case start_time::before_cancel:
        return true;
      case start_time::after_cancel:
        boxes_.pass(answer_expiry);
        break;
      case start_time::declared_lost_unstarted:
        reached_start = wait(declared_lost, true);
        break;
      case start_time::declared_lost_silent:
        reached_start = wait(declared_lost, false);
        break;
      case start_time::after_worker_left: {
        fleet::fleet_request leave;
        leave.set_worker_leaves("a");
        // Its runs are in the book until none of its heartbeats can come; what
        // calls on is not gone yet.
        reached_start =
            boxes_.ask(leave).status() == fleet::fleet_ok && !declared_lost();
        break;
      }
      case start_time::after_job_forgotten:
        reached_start = wait(
            [this] { return boxes_.book().find(job_number(job)) == nullptr; },
            true);
        break;
    }
    worker_.start_run(order_);
    return reached_start;
  }
  template <typename condition>
  bool wait(const condition& reached, bool heartbeats) {
    const time_point last = boxes_.clock.now() + max_leader_timeout;
    while (!reached() && boxes_.clock.now() < last) {
      boxes_.pass(heartbeat_interval);
      if (heartbeats) worker_.call();
    }
    return reached();
  }
  /// Both workers call; the other one has room for all of the job.
  std::string exchange_heartbeats() {
    boxes_.pass(heartbeat_interval);
    worker_.end_stopped_runs();
    const fleet::worker_orders orders = worker_.call();
    if (orders.hold_ms() == 0) return "no orders";
    if (orders.starts_size() > 0) return "the worker is told to start it";
    if (other_.call().starts_size() > 0) return "it starts elsewhere";
    if (!stops_every_run(worker_.beat(), orders))
      return "an answer without the stop";
    if (stop_dropped_ || case_.stop == first_stop_delivery::arrives) {
      worker_.handle_orders(orders);
    } else {
      drop_stop();
    }
    return "";
  }
  /// The next leader is the same box, at once: the worker's next call tells it
  /// no more than the difference to what the box knew before.
  void drop_stop() {
    stop_dropped_ = true;
    if (case_.stop != first_stop_delivery::dropped_with_leader) return;
    boxes_.elect(boxes_.leads());
  }
  std::string check_until_stopped() {
    const time_point last =
        boxes_.clock.now() + max_cancel_delay + max_stop_time;
    while (!worker_.beat().running().empty()) {
      if (boxes_.clock.now() >= last) return "it runs on";
      std::string wrong = exchange_heartbeats();
      if (!wrong.empty()) return wrong;
    }
    return "";
  }
  std::string check_after_stop() {
    const time_point last = boxes_.clock.now() + max_cancel_delay;
    while (boxes_.clock.now() < last) {
      std::string wrong = exchange_heartbeats();
      if (!wrong.empty()) return wrong;
    }
    if (!worker_.beat().ended().empty()) return "its end is not taken note of";
    if (!boxes_.book().runs().empty()) return "the book takes it to be alive";
    return "";
  }

  const cancel_case& case_;
  control_boxes boxes_;
  slow_worker worker_{boxes_, "a", case_.route, 1'000};
  slow_worker other_{boxes_, "b", heartbeat_route::direct, 4'000};
  fleet::start_order order_;
  bool stop_dropped_ = false;
};

std::vector<cancel_case> all_cases() {
  const std::pair<const char*, order_issuer> starters[] = {
      {"ordered by this leader", order_issuer::current_leader},
      {"ordered by a box that is gone", order_issuer::previous_leader},
      {"ordered in an earlier term", order_issuer::same_leader_earlier_term}};
  const std::pair<const char*, start_time> times[] = {
      {"begun before the cancel", start_time::before_cancel},
      {"begun after the cancel", start_time::after_cancel},
      {"given up as never begun", start_time::declared_lost_unstarted},
      {"given up as silent", start_time::declared_lost_silent},
      {"begun after its worker left", start_time::after_worker_left},
      {"begun after the job was forgotten", start_time::after_job_forgotten}};
  const std::pair<const char*, first_stop_delivery> stops[] = {
      {"", first_stop_delivery::arrives},
      {", first stop lost", first_stop_delivery::dropped},
      {", first stop lost with its leader",
       first_stop_delivery::dropped_with_leader}};
  std::vector<cancel_case> all;
  for (const auto& [by, ordered_by] : starters) {
    for (const auto& [at, when] : times) {
      for (const heartbeat_route route :
           {heartbeat_route::direct, heartbeat_route::intake}) {
        for (const auto& [lost, stop] : stops) {
          for (const bool draining : {false, true}) {
            all.push_back(
                {std::string(by) + ", " + at +
                     (route == heartbeat_route::intake ? ", passed on" : "") +
                     lost + (draining ? ", draining" : ""),
                 ordered_by, when, route, stop, draining});
          }
        }
      }
    }
  }
  return all;
}

/// The job is recorded; the start of its task is proposed and no more.
void propose_start(control_boxes& all) {
  all.leader().request(test_world::make_submit(job, {test_world::make_step(1)}),
                       [](const auto&) {});
  all.leader().settle();
  all.record();
  all.leader().settle();
  LONGS_EQUAL(1, all.log().proposed.size());
}

}  // namespace

TEST_GROUP(cancelled_job){};

TEST(cancelled_job, run_is_stopped_whoever_ordered_it_and_whenever_it_began) {
  for (const cancel_case& it : all_cases()) {
    STRCMP_EQUAL_TEXT("", cancel_scenario(it).run().c_str(), it.name.c_str());
  }
}

TEST(cancelled_job, all_kinds_of_steps_are_stopped_and_none_starts_again) {
  struct row {
    const char* name;
    bool gang, long_running, speculative;
    uint32_t times;
  };
  const row rows[] = {{"gang", true, false, false, 0},
                      {"lasting", false, true, false, 0},
                      {"speculative", false, false, true, 0},
                      {"with times", false, false, false, 3}};
  for (const row& it : rows) {
    control_boxes all;
    fleet::step_spec step = test_world::make_step(2);
    step.set_gang(it.gang);
    step.set_long_running(it.long_running);
    step.set_speculative(it.speculative);
    fleet::fleet_request submit = test_world::make_submit(job, {step, step});
    fleet::fleet_job_spec& spec = *submit.mutable_job()->mutable_submit();
    spec.mutable_steps(1)->add_depends_on(0);
    spec.set_times(it.times);
    spec.set_start_ms(1);
    spec.set_interval_ms(
        static_cast<uint64_t>((all.clock.now() + milliseconds(500)).count()));
    slow_worker worker(all, "a", heartbeat_route::direct, 2'000);
    slow_worker other(all, "b", heartbeat_route::direct, 8'000);
    all.ask(submit);
    const fleet::worker_orders first = worker.call();
    for (const auto& order : first.starts()) worker.start_run(order);
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, all.ask(make_cancel()).status(), it.name);
    for (milliseconds at{0}; at < max_leader_timeout;
         at += heartbeat_interval) {
      worker.end_stopped_runs();
      const fleet::worker_orders orders = worker.call();
      CHECK_TRUE_TEXT(stops_every_run(worker.beat(), orders), it.name);
      LONGS_EQUAL_TEXT(0, orders.starts_size() + other.call().starts_size(),
                       it.name);
      worker.handle_orders(orders);
      all.pass(heartbeat_interval);
    }
    LONGS_EQUAL_TEXT(0, worker.beat().running_size(), it.name);
    CHECK_TRUE_TEXT(all.book().runs().empty(), it.name);
  }
}

TEST(cancelled_job, start_that_is_not_recorded_yet_is_not_sent) {
  control_boxes all;
  slow_worker worker(all, "a", heartbeat_route::direct, 1'000);
  worker.call();
  propose_start(all);
  // The answer waits for it for a while, and then no longer.
  fleet::fleet_request request;
  *request.mutable_beat() = worker.beat();
  request.mutable_beat()->set_sequence(2);
  std::optional<fleet::fleet_response> answer;
  all.leader().request(request, [&](const auto& it) { answer = it; });
  all.leader().settle();
  CHECK_FALSE(answer.has_value());
  all.clock.advance(milliseconds(500));
  all.leader().settle();
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(0, answer->orders().starts_size());
  // With its box the start is gone for good: nobody takes it to be alive.
  all.elect(1);
  CHECK_TRUE(all.book().runs().empty());
  LONGS_EQUAL(fleet::fleet_ok, all.ask(make_cancel()).status());
  worker.skip_heartbeat();
  LONGS_EQUAL(0, worker.call().starts_size());
}

TEST(cancelled_job, cancel_is_acknowledged_once_it_is_recorded) {
  struct row {
    const char* name;
    bool leader_goes_first;
    fleet::fleet_status status;
  };
  const row rows[] = {{"recorded", false, fleet::fleet_ok},
                      {"its leader went first", true, fleet::fleet_unknown}};
  for (const row& it : rows) {
    control_boxes all;
    all.ask(test_world::make_submit(job, {test_world::make_step(1)}));
    std::optional<fleet::fleet_status> status;
    all.leader().request(make_cancel(),
                         [&](const auto& r) { status = r.status(); });
    all.leader().settle();
    CHECK_FALSE_TEXT(status.has_value(), it.name);
    if (it.leader_goes_first) all.elect(1);
    all.commit();
    CHECK_TRUE_TEXT(status == it.status, it.name);
    const bool live = all.book().find(job_number(job))->live();
    CHECK_EQUAL_TEXT(it.leader_goes_first, live, it.name);
  }
}

TEST(cancelled_job, start_beside_the_cancel_in_the_log_is_stopped_or_void) {
  struct row {
    const char* name;
    bool start_first;
    int stops;
  };
  const row rows[] = {{"the start is recorded first", true, 1},
                      {"the cancel is recorded first", false, 0}};
  for (const row& it : rows) {
    control_boxes all;
    slow_worker worker(all, "a", heartbeat_route::direct, 1'000);
    worker.call();
    propose_start(all);
    fleet::fleet_request request;
    *request.mutable_beat() = worker.beat();
    request.mutable_beat()->set_sequence(2);
    std::optional<fleet::fleet_response> answer;
    all.leader().request(request, [&](const auto& r) { answer = r; });
    all.leader().request(make_cancel(), [](const auto&) {});
    all.leader().settle();
    LONGS_EQUAL_TEXT(2, all.log().proposed.size(), it.name);
    if (!it.start_first) {
      std::swap(all.log().proposed[0], all.log().proposed[1]);
    }
    all.commit();
    CHECK_TRUE_TEXT(answer.has_value(), it.name);
    LONGS_EQUAL_TEXT(0, answer->orders().starts_size(), it.name);
    LONGS_EQUAL_TEXT(it.stops, answer->orders().stops_size(), it.name);
  }
}

TEST(cancelled_job, it_is_known_while_a_run_of_it_is_alive) {
  control_boxes all;
  slow_worker worker(all, "a", heartbeat_route::direct, 1'000);
  slow_worker other(all, "b", heartbeat_route::direct, 4'000);
  const fleet::fleet_request submit =
      test_world::make_submit(job, {test_world::make_step(2)});
  all.ask(submit);
  worker.start_run(worker.call().starts(0));
  all.ask(make_cancel());
  // Each stop is lost. Its caller sends the job once more.
  for (milliseconds at{0}; at < max_leader_timeout; at += heartbeat_interval) {
    LONGS_EQUAL(1, worker.call().stops_size());
    LONGS_EQUAL(fleet::fleet_ok, all.ask(submit).status());
    LONGS_EQUAL(0, other.call().starts_size());
    all.pass(heartbeat_interval);
  }
  CHECK_TRUE(all.book().find(job_number(job)) != nullptr);
}
