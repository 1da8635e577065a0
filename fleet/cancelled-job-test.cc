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

enum class starter { this_leader, gone_box, earlier_term_of_this_box };
enum class begins {
  before_cancel,
  after_cancel,
  given_up_as_never_begun,
  given_up_as_silent,
  after_its_worker_left,
  after_the_job_was_forgotten
};
enum class first_stop { arrives, is_lost, is_lost_with_its_leader };

struct late_case {
  std::string name;
  starter ordered_by;
  begins when;
  road calls_by;
  first_stop stop;
  bool draining;
};

/// Each run that the worker lists is told to stop by the answer.
bool stops_all(const fleet::worker_beat& beat,
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
class late_play {
 public:
  explicit late_play(const late_case& it) : case_(it) {}

  std::string run() {
    if (!get_order()) return "no order to begin with";
    if (!cancel_it()) return "the cancel was not acknowledged";
    if (!wait_to_begin()) return "what it waits for did not come";
    const std::string wrong = watch();
    return wrong.empty() ? watch_after() : wrong;
  }

 private:
  bool get_order() {
    worker_.call();
    // The second task finds no room yet: a later start of it would be seen.
    boxes_.ask(test_world::make_submit(job, {test_world::make_step(2)}));
    const fleet::worker_orders orders = worker_.call();
    if (orders.starts_size() != 1) return false;
    order_ = orders.starts(0);
    if (case_.when == begins::before_cancel) worker_.begin(order_);
    if (case_.ordered_by == starter::this_leader) {
      if (case_.when == begins::before_cancel) worker_.call();
      return true;
    }
    boxes_.clock.advance(milliseconds(1'000));
    boxes_.elect(case_.ordered_by == starter::gone_box ? 1 : 0);
    return true;
  }
  bool cancel_it() {
    if (boxes_.ask(cancel_call()).status() != fleet::fleet_ok) return false;
    if (case_.draining) worker_.drain();
    return true;
  }
  bool wait_to_begin() {
    const auto given_up = [this] {
      return boxes_.book().runs_on(worker_id("a")).empty();
    };
    bool came = true;
    switch (case_.when) {
      case begins::before_cancel:
        return true;
      case begins::after_cancel:
        boxes_.pass(late_answer);
        break;
      case begins::given_up_as_never_begun:
        came = wait(given_up, true);
        break;
      case begins::given_up_as_silent:
        came = wait(given_up, false);
        break;
      case begins::after_its_worker_left: {
        fleet::fleet_request leave;
        leave.set_worker_leaves("a");
        // Its runs are in the book until none of its heartbeats can come; what
        // calls on is not gone yet.
        came = boxes_.ask(leave).status() == fleet::fleet_ok && !given_up();
        break;
      }
      case begins::after_the_job_was_forgotten:
        came = wait(
            [this] { return boxes_.book().find(job_number(job)) == nullptr; },
            true);
        break;
    }
    worker_.begin(order_);
    return came;
  }
  template <typename condition>
  bool wait(const condition& reached, bool calls) {
    const time_point last = boxes_.clock.now() + long_enough;
    while (!reached() && boxes_.clock.now() < last) {
      boxes_.pass(call_pause);
      if (calls) worker_.call();
    }
    return reached();
  }
  /// Both workers call; the other one has room for all of the job.
  std::string calls() {
    boxes_.pass(call_pause);
    worker_.end_stopped();
    const fleet::worker_orders orders = worker_.call();
    if (orders.hold_ms() == 0) return "no orders";
    if (orders.starts_size() > 0) return "the worker is told to start it";
    if (other_.call().starts_size() > 0) return "it starts elsewhere";
    if (!stops_all(worker_.beat(), orders)) return "an answer without the stop";
    if (lost_ || case_.stop == first_stop::arrives) {
      worker_.obey(orders);
    } else {
      lose_stop();
    }
    return "";
  }
  /// The next leader is the same box, at once: the worker's next call tells it
  /// no more than the difference to what the box knew before.
  void lose_stop() {
    lost_ = true;
    if (case_.stop != first_stop::is_lost_with_its_leader) return;
    boxes_.elect(boxes_.leads());
  }
  std::string watch() {
    const time_point last = boxes_.clock.now() + cancel_limit + stop_limit;
    while (!worker_.beat().running().empty()) {
      if (boxes_.clock.now() >= last) return "it runs on";
      std::string wrong = calls();
      if (!wrong.empty()) return wrong;
    }
    return "";
  }
  std::string watch_after() {
    const time_point last = boxes_.clock.now() + cancel_limit;
    while (boxes_.clock.now() < last) {
      std::string wrong = calls();
      if (!wrong.empty()) return wrong;
    }
    if (!worker_.beat().ended().empty()) return "its end is not taken note of";
    if (!boxes_.book().runs().empty()) return "the book takes it to be alive";
    return "";
  }

  const late_case& case_;
  boxes boxes_;
  slow_worker worker_{boxes_, "a", case_.calls_by, 1'000};
  slow_worker other_{boxes_, "b", road::direct, 4'000};
  fleet::start_order order_;
  bool lost_ = false;
};

std::vector<late_case> all_cases() {
  const std::pair<const char*, starter> starters[] = {
      {"ordered by this leader", starter::this_leader},
      {"ordered by a box that is gone", starter::gone_box},
      {"ordered in an earlier term", starter::earlier_term_of_this_box}};
  const std::pair<const char*, begins> times[] = {
      {"begun before the cancel", begins::before_cancel},
      {"begun after the cancel", begins::after_cancel},
      {"given up as never begun", begins::given_up_as_never_begun},
      {"given up as silent", begins::given_up_as_silent},
      {"begun after its worker left", begins::after_its_worker_left},
      {"begun after the job was forgotten",
       begins::after_the_job_was_forgotten}};
  const std::pair<const char*, first_stop> stops[] = {
      {"", first_stop::arrives},
      {", first stop lost", first_stop::is_lost},
      {", first stop lost with its leader",
       first_stop::is_lost_with_its_leader}};
  std::vector<late_case> all;
  for (const auto& [by, ordered_by] : starters) {
    for (const auto& [at, when] : times) {
      for (const road calls_by : {road::direct, road::intake}) {
        for (const auto& [lost, stop] : stops) {
          for (const bool draining : {false, true}) {
            all.push_back({std::string(by) + ", " + at +
                               (calls_by == road::intake ? ", passed on" : "") +
                               lost + (draining ? ", draining" : ""),
                           ordered_by, when, calls_by, stop, draining});
          }
        }
      }
    }
  }
  return all;
}

/// The job is recorded; the start of its task is proposed and no more.
void propose_start(boxes& all) {
  all.leader().request(test_world::make_submit(job, {test_world::make_step(1)}),
                       [](const auto&) {});
  all.leader().decide();
  all.record();
  all.leader().decide();
  LONGS_EQUAL(1, all.log().proposed.size());
}

}  // namespace

TEST_GROUP(cancelled_job){};

TEST(cancelled_job, run_is_stopped_whoever_ordered_it_and_whenever_it_began) {
  for (const late_case& it : all_cases()) {
    STRCMP_EQUAL_TEXT("", late_play(it).run().c_str(), it.name.c_str());
  }
}

TEST(cancelled_job, all_kinds_of_steps_are_stopped_and_none_starts_again) {
  struct row {
    const char* name;
    bool gang, lasting, speculative;
    uint32_t times;
  };
  const row rows[] = {{"gang", true, false, false, 0},
                      {"lasting", false, true, false, 0},
                      {"speculative", false, false, true, 0},
                      {"with times", false, false, false, 3}};
  for (const row& it : rows) {
    boxes all;
    fleet::step_spec step = test_world::make_step(2);
    step.set_gang(it.gang);
    step.set_long_running(it.lasting);
    step.set_speculative(it.speculative);
    fleet::fleet_request submit = test_world::make_submit(job, {step, step});
    fleet::fleet_job_spec& spec = *submit.mutable_job()->mutable_submit();
    spec.mutable_steps(1)->add_depends_on(0);
    spec.set_times(it.times);
    spec.set_start_ms(1);
    spec.set_interval_ms(
        static_cast<uint64_t>((all.clock.now() + milliseconds(500)).count()));
    slow_worker worker(all, "a", road::direct, 2'000);
    slow_worker other(all, "b", road::direct, 8'000);
    all.ask(submit);
    const fleet::worker_orders first = worker.call();
    for (const auto& order : first.starts()) worker.begin(order);
    LONGS_EQUAL_TEXT(2, worker.beat().running_size(), it.name);
    LONGS_EQUAL_TEXT(fleet::fleet_ok, all.ask(cancel_call()).status(), it.name);
    for (milliseconds at{0}; at < long_enough; at += call_pause) {
      worker.end_stopped();
      const fleet::worker_orders orders = worker.call();
      CHECK_TRUE_TEXT(stops_all(worker.beat(), orders), it.name);
      LONGS_EQUAL_TEXT(0, orders.starts_size() + other.call().starts_size(),
                       it.name);
      worker.obey(orders);
      all.pass(call_pause);
    }
    LONGS_EQUAL_TEXT(0, worker.beat().running_size(), it.name);
    CHECK_TRUE_TEXT(all.book().runs().empty(), it.name);
  }
}

TEST(cancelled_job, start_that_is_not_recorded_yet_is_not_sent) {
  boxes all;
  slow_worker worker(all, "a", road::direct, 1'000);
  worker.call();
  propose_start(all);
  // The answer waits for it for a while, and then no longer.
  fleet::fleet_request request;
  *request.mutable_beat() = worker.beat();
  request.mutable_beat()->set_sequence(2);
  std::optional<fleet::fleet_response> answer;
  all.leader().request(request, [&](const auto& it) { answer = it; });
  all.leader().decide();
  CHECK_FALSE(answer.has_value());
  all.clock.advance(milliseconds(500));
  all.leader().decide();
  CHECK_TRUE(answer.has_value());
  LONGS_EQUAL(0, answer->orders().starts_size());
  // With its box the start is gone for good: nobody takes it to be alive.
  all.elect(1);
  CHECK_TRUE(all.book().runs().empty());
  LONGS_EQUAL(fleet::fleet_ok, all.ask(cancel_call()).status());
  worker.skip_call();
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
    boxes all;
    all.ask(test_world::make_submit(job, {test_world::make_step(1)}));
    std::optional<fleet::fleet_status> status;
    all.leader().request(cancel_call(),
                         [&](const auto& r) { status = r.status(); });
    all.leader().decide();
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
    boxes all;
    slow_worker worker(all, "a", road::direct, 1'000);
    worker.call();
    propose_start(all);
    fleet::fleet_request request;
    *request.mutable_beat() = worker.beat();
    request.mutable_beat()->set_sequence(2);
    std::optional<fleet::fleet_response> answer;
    all.leader().request(request, [&](const auto& r) { answer = r; });
    all.leader().request(cancel_call(), [](const auto&) {});
    all.leader().decide();
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
  boxes all;
  slow_worker worker(all, "a", road::direct, 1'000);
  slow_worker other(all, "b", road::direct, 4'000);
  const fleet::fleet_request submit =
      test_world::make_submit(job, {test_world::make_step(2)});
  all.ask(submit);
  worker.begin(worker.call().starts(0));
  all.ask(cancel_call());
  // Each stop is lost. Its caller sends the job once more.
  for (milliseconds at{0}; at < long_enough; at += call_pause) {
    LONGS_EQUAL(1, worker.call().stops_size());
    LONGS_EQUAL(fleet::fleet_ok, all.ask(submit).status());
    LONGS_EQUAL(0, other.call().starts_size());
    all.pass(call_pause);
  }
  CHECK_TRUE(all.book().find(job_number(job)) != nullptr);
}
