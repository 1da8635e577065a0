// Where tasks go, what is learned of pairs of images, and how fill tasks are
// held back.
#include <CppUTest/TestHarness.h>

#include <cmath>

#include "base/clock.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(scheduler) {
  test_world world;

  static fleet::step_spec fill(const char* image, uint64_t cpu = 2'000) {
    fleet::step_spec step = test_world::make_step(1, cpu);
    step.set_fills(true);
    step.set_saves_progress(true);
    step.set_image(image);
    return step;
  }
  static fleet::step_spec serving(const char* image) {
    fleet::step_spec step = test_world::make_step(1, 1'000);
    step.set_long_running(true);
    step.set_target_ms(100);
    step.set_image(image);
    return step;
  }
  void read(const char* worker, int row, double value) {
    world.workers[worker].mutable_running(row)->set_reading(value);
  }
  static unsigned pace_of(const fleet::worker_orders& orders, unsigned before) {
    return orders.paces_size() == 0 ? before : orders.paces(0).percent();
  }
};

TEST(scheduler, wishes_for_a_place_are_kept) {
  struct row {
    const char* name;
    const char* label;
    uint32_t anti_affinity;
    bool gang;
    int starts_a;
    int starts_b;
  };
  const row rows[] = {{"none", "", 0, false, 2, 0},
                      {"label", "fast", 0, false, 0, 2},
                      {"spread", "", 1, false, 1, 1},
                      {"gang that fits", "", 0, true, 2, 0},
                      {"gang that does not", "none", 0, true, 0, 0}};
  for (const row& it : rows) {
    test_world fresh;
    fresh.configure();
    fleet::step_spec step = test_world::make_step(2, 500);
    step.set_requires_label(it.label);
    step.set_anti_affinity(it.anti_affinity);
    step.set_gang(it.gang);
    fresh.submit(7, {step});
    const int a = fresh.beat("a").starts_size();
    fresh.workers["b"].set_worker("b");
    fresh.workers["b"].set_pool("pool");
    fresh.workers["b"].set_cpu_milli(4'000);
    fresh.workers["b"].set_memory_mb(1'000);
    fresh.workers["b"].add_labels("fast");
    LONGS_EQUAL_TEXT(it.starts_a, a, it.name);
    LONGS_EQUAL_TEXT(it.starts_b, fresh.beat("b").starts_size(), it.name);
  }
}

TEST(scheduler, lower_priority_number_goes_first) {
  fleet::fleet_config config = test_world::make_config(1);
  config.mutable_queues(0)->set_priority(2);
  fleet::queue_route urgent = config.queues(0);
  urgent.set_name("urgent");
  urgent.set_path_prefix("/urgent/");
  urgent.set_priority(0);
  *config.add_queues() = urgent;
  fleet::fleet_request request;
  *request.mutable_put_config() = config;
  world.ask(request);
  world.submit(1, {test_world::make_step(1, 4'000)});
  fleet::fleet_request second =
      test_world::make_submit(2, {test_world::make_step(1, 4'000)});
  second.mutable_job()->set_path("/urgent/0000000000000002");
  world.ask(second);
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(2, orders.starts(0).task().job());
}

TEST(scheduler, job_due_later_waits_for_its_time) {
  world.configure();
  fleet::fleet_request request =
      test_world::make_submit(7, {test_world::make_step(1)});
  fleet::fleet_job_spec& spec = *request.mutable_job()->mutable_submit();
  spec.set_times(2);
  spec.set_start_ms(1'000'000);
  spec.set_interval_ms(5'000);
  world.ask(request);
  // The world's time of day stands at the first due time.
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(0, orders.starts(0).task().time());
}

TEST(scheduler, fill_tasks_take_no_counted_room) {
  world.configure();
  world.submit(7, {fill("f", 3'000)});
  world.beat("a");
  world.submit(8, {test_world::make_step(4, 1'000)});
  LONGS_EQUAL(4, world.beat("a").starts_size());
}

TEST(scheduler, long_harm_stops_all_fill_tasks_beside) {
  world.configure();
  world.submit(7, {serving("s")});
  world.beat("a");
  world.submit(8, {fill("f")});
  world.beat("a");
  unsigned pace = 100;
  for (int i = 0; i < 12; ++i) {
    world.pass(milliseconds(200));
    read("a", 0, 150);
    pace = pace_of(world.beat("a"), pace);
  }
  LONGS_EQUAL(0, pace);
}

TEST(scheduler, fill_task_works_on_beside_a_task_at_ease) {
  world.configure();
  world.submit(7, {serving("s")});
  world.beat("a");
  world.submit(8, {fill("f")});
  world.beat("a");
  unsigned pace = 100;
  for (int i = 0; i < 12; ++i) {
    world.pass(milliseconds(200));
    read("a", 0, 20);
    pace = pace_of(world.beat("a"), pace);
  }
  LONGS_EQUAL(100, pace);
}

// A task that cannot save its work is moved too, later: its job waits for it.
TEST(scheduler, held_back_fill_task_moves_to_a_better_place) {
  struct row {
    bool saves;
    uint32_t percent;
    int least_beats;
    int most_beats;
  };
  const row rows[] = {
      {true, 50, 7, 18}, {false, 5, 7, 18}, {false, 50, 20, 32}};
  for (const row& it : rows) {
    test_world fresh;
    fresh.configure();
    fresh.submit(7, {serving("s")});
    fresh.beat("a");
    fleet::step_spec step = fill("f");
    step.set_saves_progress(it.saves);
    fresh.submit(8, {step});
    fresh.beat("a");
    fleet::worker_beat& a = fresh.workers["a"];
    int beats = 0;
    bool stopped = false;
    for (; beats < 60 && !stopped; ++beats) {
      fresh.pass(milliseconds(200));
      fresh.beat("b");
      a.mutable_running(0)->set_reading(150);
      a.mutable_running(1)->set_percent(it.percent);
      stopped = fresh.beat("a").stops_size() > 0;
    }
    CHECK_TRUE(stopped);
    CHECK_TRUE(beats >= it.least_beats && beats <= it.most_beats);
    fresh.end("a", to_ref({job_number(8), 0, 0, 0}), 1, fleet::run_stopped,
              "c");
    fresh.beat("a");
    const fleet::worker_orders orders = fresh.beat("b");
    LONGS_EQUAL(1, orders.starts_size());
    STRCMP_EQUAL("c", orders.starts(0).saved().c_str());
  }
}

TEST(scheduler, held_back_fill_task_waits_for_a_place_if_it_saves_its_work) {
  for (const bool saves : {true, false}) {
    test_world fresh;
    fresh.configure();
    fresh.submit(7, {serving("s")});
    fresh.beat("a");
    fleet::step_spec step = fill("f");
    step.set_saves_progress(saves);
    fresh.submit(8, {step});
    fresh.beat("a");
    fleet::worker_beat& a = fresh.workers["a"];
    bool stopped = false;
    for (int beats = 0; beats < 30 && !stopped; ++beats) {
      fresh.pass(milliseconds(200));
      a.mutable_running(0)->set_reading(150);
      a.mutable_running(1)->set_percent(50);
      stopped = fresh.beat("a").stops_size() > 0;
    }
    CHECK_EQUAL(saves, stopped);
  }
}

// Serving tasks with a swinging load beside fill tasks that come and go: the
// costs of the pairs are found within a few hundred readings.
TEST(scheduler, costs_of_pairs_are_learned) {
  struct row {
    double heavy;
    double light;
  };
  const row rows[] = {{0.2, 0.0}, {0.12, 0.03}, {0.0, 0.0}};
  for (const row& it : rows) {
    interference_model model;
    seeded_random random(11);
    double last = 0;
    double last_heavy = 0;
    double last_light = 0;
    for (int i = 0; i < 800; ++i) {
      const auto heavy = static_cast<double>(random.below(12));
      const auto light = static_cast<double>(random.below(12));
      const double own = 3 + 1.4 * std::sin(i * 0.16);
      const double noise = static_cast<double>(random.below(100)) / 200 - 0.25;
      const double now = own + noise - it.heavy * heavy - it.light * light;
      if (i > 0) {
        model.observe("s", now - last,
                      {{"h", heavy - last_heavy}, {"l", light - last_light}});
      }
      last = now;
      last_heavy = heavy;
      last_light = light;
    }
    DOUBLES_EQUAL(it.heavy, model.cost("s", "h"), 0.03);
    DOUBLES_EQUAL(it.light, model.cost("s", "l"), 0.03);
  }
}
