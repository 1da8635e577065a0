// Runs of a cancelled job end within the users' limits, whichever leader
// ordered them and however late a worker started them. No task of the job
// starts again.
#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::cancelled;

namespace {

enum class issuer { current_leader, previous_leader, same_leader_earlier_term };
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
  issuer issued_by;
  start_time when;
  heartbeat_route route;
  first_stop_delivery stop;
  bool draining;
};

/// Returns whether the answer tells the worker to stop every run that it lists.
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

/// Runs one case and returns the first violation, or an empty string.
class cancel_scenario {
 public:
  explicit cancel_scenario(const cancel_case& it) : case_(it) {}

  std::string run() {
    if (!receive_start_order()) return "no start order";
    if (!cancel_and_drain()) return "the cancel was not acknowledged";
    if (!wait_and_start()) return "the awaited event did not happen";
    const std::string violation = check_until_stopped();
    return violation.empty() ? check_after_stop() : violation;
  }

 private:
  bool receive_start_order() {
    worker_.send_heartbeat();
    // There is no capacity for the second task yet, so that a later start of it
    // would be seen.
    boxes_.ask(test_world::make_submit(job, {test_world::make_step(2)}));
    const fleet::worker_orders orders = worker_.send_heartbeat();
    if (orders.starts_size() != 1) return false;
    order_ = orders.starts(0);
    if (case_.when == start_time::before_cancel) worker_.start_run(order_);
    if (case_.issued_by == issuer::current_leader) {
      if (case_.when == start_time::before_cancel) worker_.send_heartbeat();
      return true;
    }
    boxes_.clock.advance(milliseconds(1'000));
    boxes_.elect(case_.issued_by == issuer::previous_leader ? 1 : 0);
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
        // The worker's runs stay in the book until no more heartbeats of it can
        // arrive.
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
      if (heartbeats) worker_.send_heartbeat();
    }
    return reached();
  }
  /// Both workers send a heartbeat; the other worker has capacity for the whole
  /// job.
  std::string exchange_heartbeats() {
    boxes_.pass(heartbeat_interval);
    worker_.end_stopped_runs();
    const fleet::worker_orders orders = worker_.send_heartbeat();
    if (orders.hold_ms() == 0) return "no orders";
    if (orders.starts_size() > 0) return "the worker is told to start the task";
    if (other_.send_heartbeat().starts_size() > 0)
      return "the task starts on the other worker";
    if (!stops_every_run(worker_.beat(), orders))
      return "an answer lacks the stop order";
    if (stop_dropped_ || case_.stop == first_stop_delivery::arrives) {
      worker_.handle_orders(orders);
    } else {
      drop_stop();
    }
    return "";
  }
  /// Drops the stop order. In the case `dropped_with_leader` the same box also
  /// becomes the next leader at once: the worker's next heartbeat tells the box
  /// only the difference to what the box knew before.
  void drop_stop() {
    stop_dropped_ = true;
    if (case_.stop != first_stop_delivery::dropped_with_leader) return;
    boxes_.elect(boxes_.leads());
  }
  std::string check_until_stopped() {
    const time_point last =
        boxes_.clock.now() + max_cancel_delay + max_stop_time;
    while (!worker_.beat().running().empty()) {
      if (boxes_.clock.now() >= last) return "the run goes on";
      std::string violation = exchange_heartbeats();
      if (!violation.empty()) return violation;
    }
    return "";
  }
  std::string check_after_stop() {
    const time_point last = boxes_.clock.now() + max_cancel_delay;
    while (boxes_.clock.now() < last) {
      std::string violation = exchange_heartbeats();
      if (!violation.empty()) return violation;
    }
    if (!worker_.beat().ended().empty())
      return "the end of the run is not acknowledged";
    if (!boxes_.book().runs().empty()) return "the book lists the run as alive";
    return "";
  }

  const cancel_case& case_;
  control_boxes boxes_;
  late_worker worker_{boxes_, "a", case_.route, 1'000};
  late_worker other_{boxes_, "b", heartbeat_route::direct, 4'000};
  fleet::start_order order_;
  bool stop_dropped_ = false;
};

std::vector<cancel_case> all_cases() {
  const std::pair<const char*, issuer> issuers[] = {
      {"ordered by this leader", issuer::current_leader},
      {"ordered by the previous leader", issuer::previous_leader},
      {"ordered in an earlier term", issuer::same_leader_earlier_term}};
  const std::pair<const char*, start_time> times[] = {
      {"started before the cancel", start_time::before_cancel},
      {"started after the cancel", start_time::after_cancel},
      {"declared lost as never started", start_time::declared_lost_unstarted},
      {"declared lost as silent", start_time::declared_lost_silent},
      {"started after its worker left", start_time::after_worker_left},
      {"started after the job was forgotten", start_time::after_job_forgotten}};
  const std::pair<const char*, first_stop_delivery> stops[] = {
      {"", first_stop_delivery::arrives},
      {", first stop lost", first_stop_delivery::dropped},
      {", first stop lost with its leader",
       first_stop_delivery::dropped_with_leader}};
  std::vector<cancel_case> cases;
  for (const auto& [by, issued_by] : issuers) {
    for (const auto& [at, when] : times) {
      for (const heartbeat_route route :
           {heartbeat_route::direct, heartbeat_route::intake}) {
        for (const auto& [lost, stop] : stops) {
          for (const bool draining : {false, true}) {
            cases.push_back(
                {std::string(by) + ", " + at +
                     (route == heartbeat_route::intake ? ", forwarded" : "") +
                     lost + (draining ? ", draining" : ""),
                 issued_by, when, route, stop, draining});
          }
        }
      }
    }
  }
  return cases;
}

/// Commits the job, and proposes the start of its task without committing it.
void propose_start(control_boxes& boxes) {
  boxes.leader().request(
      test_world::make_submit(job, {test_world::make_step(1)}),
      [](const auto&) {});
  boxes.leader().decide();
  boxes.record();
  boxes.leader().decide();
  LONGS_EQUAL(1, boxes.log().proposed.size());
}

}  // namespace

TEST_GROUP(cancelled_job){};

TEST(cancelled_job, run_is_stopped_for_every_leader_and_start_time) {
  for (const cancel_case& it : all_cases()) {
    STRCMP_EQUAL_TEXT("", cancel_scenario(it).run().c_str(), it.name.c_str());
  }
}

TEST(cancelled_job, steps_of_every_kind_are_stopped_for_good) {
  struct row {
    const char* name;
    bool gang, long_running, speculative;
    uint32_t times;
  };
  const row rows[] = {{"gang", true, false, false, 0},
                      {"long-running", false, true, false, 0},
                      {"speculative", false, false, true, 0},
                      {"with times", false, false, false, 3}};
  for (const row& it : rows) {
    control_boxes boxes;
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
        static_cast<uint64_t>((boxes.clock.now() + milliseconds(500)).count()));
    late_worker worker(boxes, "a", heartbeat_route::direct, 2'000);
    late_worker other(boxes, "b", heartbeat_route::direct, 8'000);
    boxes.ask(submit);
    const fleet::worker_orders first = worker.send_heartbeat();
    for (const auto& order : first.starts()) worker.start_run(order);
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, boxes.ask(make_cancel()).status(),
                     it.name);
    for (milliseconds at{0}; at < max_leader_timeout;
         at += heartbeat_interval) {
      worker.end_stopped_runs();
      const fleet::worker_orders orders = worker.send_heartbeat();
      CHECK_TRUE_TEXT(stops_every_run(worker.beat(), orders), it.name);
      LONGS_EQUAL_TEXT(
          0, orders.starts_size() + other.send_heartbeat().starts_size(),
          it.name);
      worker.handle_orders(orders);
      boxes.pass(heartbeat_interval);
    }
    LONGS_EQUAL_TEXT(0, worker.beat().running_size(), it.name);
    CHECK_TRUE_TEXT(boxes.book().runs().empty(), it.name);
  }
}

TEST(cancelled_job, uncommitted_start_is_not_sent) {
  control_boxes boxes;
  late_worker worker(boxes, "a", heartbeat_route::direct, 1'000);
  worker.send_heartbeat();
  propose_start(boxes);
  // The answer waits for the start for a limited time.
  fleet::fleet_request request;
  *request.mutable_beat() = worker.beat();
  request.mutable_beat()->set_sequence(2);
  std::optional<fleet::fleet_response> answer;
  boxes.leader().request(request, [&](const auto& it) { answer = it; });
  boxes.leader().decide();
  CHECK_FALSE(answer.has_value());
  boxes.clock.advance(milliseconds(500));
  boxes.leader().decide();
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(0, answer->orders().starts_size());
  // The start is lost with its leader: no book lists the run as alive.
  boxes.elect(1);
  CHECK_TRUE(boxes.book().runs().empty());
  LONGS_EQUAL(fleet::fleet_ok, boxes.ask(make_cancel()).status());
  worker.skip_heartbeat();
  LONGS_EQUAL(0, worker.send_heartbeat().starts_size());
}

TEST(cancelled_job, cancel_is_acknowledged_once_it_is_committed) {
  struct row {
    const char* name;
    bool leader_lost_first;
    fleet::fleet_status status;
  };
  const row rows[] = {{"committed", false, fleet::fleet_ok},
                      {"its leader is lost first", true, fleet::fleet_unknown}};
  for (const row& it : rows) {
    control_boxes boxes;
    boxes.ask(test_world::make_submit(job, {test_world::make_step(1)}));
    std::optional<fleet::fleet_status> status;
    boxes.leader().request(make_cancel(),
                           [&](const auto& r) { status = r.status(); });
    boxes.leader().decide();
    CHECK_FALSE_TEXT(status.has_value(), it.name);
    if (it.leader_lost_first) boxes.elect(1);
    boxes.commit();
    CHECK_TRUE_TEXT(status == it.status, it.name);
    const bool live = boxes.book().find(job_number(job))->live();
    CHECK_EQUAL_TEXT(it.leader_lost_first, live, it.name);
  }
}

TEST(cancelled_job, start_next_to_the_cancel_in_the_log_is_stopped_or_ignored) {
  struct row {
    const char* name;
    bool start_first;
    int stops;
  };
  const row rows[] = {{"the start is committed first", true, 1},
                      {"the cancel is committed first", false, 0}};
  for (const row& it : rows) {
    control_boxes boxes;
    late_worker worker(boxes, "a", heartbeat_route::direct, 1'000);
    worker.send_heartbeat();
    propose_start(boxes);
    fleet::fleet_request request;
    *request.mutable_beat() = worker.beat();
    request.mutable_beat()->set_sequence(2);
    std::optional<fleet::fleet_response> answer;
    boxes.leader().request(request, [&](const auto& r) { answer = r; });
    boxes.leader().request(make_cancel(), [](const auto&) {});
    boxes.leader().decide();
    LONGS_EQUAL_TEXT(2, boxes.log().proposed.size(), it.name);
    if (!it.start_first) {
      std::swap(boxes.log().proposed[0], boxes.log().proposed[1]);
    }
    boxes.commit();
    CHECK_TRUE_TEXT(answer.has_value(), it.name);
    LONGS_EQUAL_TEXT(0, answer->orders().starts_size(), it.name);
    LONGS_EQUAL_TEXT(it.stops, answer->orders().stops_size(), it.name);
  }
}

TEST(cancelled_job, job_is_kept_while_a_run_of_it_is_alive) {
  control_boxes boxes;
  late_worker worker(boxes, "a", heartbeat_route::direct, 1'000);
  late_worker other(boxes, "b", heartbeat_route::direct, 4'000);
  const fleet::fleet_request submit =
      test_world::make_submit(job, {test_world::make_step(2)});
  boxes.ask(submit);
  worker.start_run(worker.send_heartbeat().starts(0));
  boxes.ask(make_cancel());
  // Every stop order is lost, and the caller submits the job again.
  for (milliseconds at{0}; at < max_leader_timeout; at += heartbeat_interval) {
    LONGS_EQUAL(1, worker.send_heartbeat().stops_size());
    LONGS_EQUAL(fleet::fleet_ok, boxes.ask(submit).status());
    LONGS_EQUAL(0, other.send_heartbeat().starts_size());
    boxes.pass(heartbeat_interval);
  }
  CHECK_TRUE(boxes.book().find(job_number(job)) != nullptr);
}
