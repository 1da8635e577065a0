// Task placement, the interference model, the load forecast and the pace of
// backfill tasks.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

#include "base/clock.h"
#include "fleet/fleet-test-world.h"

using namespace kestrelreel;

TEST_GROUP(scheduler) {
  test_world world;

  static fleet::step_spec fill(const char* image, uint64_t cpu = 500) {
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
    world.workers[worker].mutable_running(row)->set_percent(100);
  }
  static unsigned pace_of(const fleet::worker_orders& orders, unsigned before) {
    return orders.paces_size() == 0 ? before : orders.paces(0).percent();
  }
};

TEST(scheduler, placement_constraints_are_met) {
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
  // The world's time of day is the first due time.
  const fleet::worker_orders orders = world.beat("a");
  LONGS_EQUAL(1, orders.starts_size());
  LONGS_EQUAL(0, orders.starts(0).task().time());
}

TEST(scheduler, backfill_tasks_take_no_counted_processors) {
  world.configure();
  world.submit(7, {fill("f", 3'000)});
  world.beat("a");
  world.submit(8, {test_world::make_step(4, 1'000)});
  LONGS_EQUAL(4, world.beat("a").starts_size());
}

TEST(scheduler, long_missed_target_stops_all_backfill_tasks) {
  world.configure();
  world.submit(7, {serving("s")});
  world.beat("a");
  world.submit(8, {fill("f")});
  world.beat("a");
  unsigned pace = 100;
  for (int i = 0; i < 18; ++i) {
    world.pass(milliseconds(200));
    read("a", 0, 150);
    pace = pace_of(world.beat("a"), pace);
  }
  LONGS_EQUAL(0, pace);
}

TEST(scheduler, backfill_task_keeps_full_pace_beside_an_idle_service) {
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

// A throttled task that cannot save its progress is moved later, since its job
// waits for it. A task whose work is worth more than the target is stopped only
// after the target is missed for 3 s.
TEST(scheduler, throttled_backfill_task_moves_to_a_better_worker) {
  struct row {
    bool saves;
    uint32_t percent;
    int min_beats;
    int max_beats;
    double max_backfill_loss_cores = 12;
  };
  const row rows[] = {{true, 50, 7, 18},       {false, 5, 7, 18},
                      {false, 50, 20, 24},     {true, 50, 22, 28, 1.5},
                      {false, 5, 22, 28, 1.5}, {false, 50, 34, 40, 1.5}};
  for (const row& it : rows) {
    controller_settings settings = test_world::make_settings();
    settings.scheduling.max_backfill_loss_cores = it.max_backfill_loss_cores;
    test_world fresh(settings);
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
      a.mutable_running(0)->set_percent(100);
      a.mutable_running(1)->set_percent(it.percent);
      stopped = fresh.beat("a").stops_size() > 0;
    }
    CHECK_TRUE(stopped);
    CHECK_TRUE(beats >= it.min_beats && beats <= it.max_beats);
    fresh.end("a", to_ref({job_number(8), 0, 0, 0}), 1, fleet::run_stopped,
              "c");
    fresh.beat("a");
    const fleet::worker_orders orders = fresh.beat("b");
    LONGS_EQUAL(1, orders.starts_size());
    STRCMP_EQUAL("c", orders.starts(0).saved().c_str());
  }
}

TEST(scheduler, throttled_backfill_task_that_saves_progress_is_requeued) {
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
    for (int beats = 0; beats < 60 && !stopped; ++beats) {
      fresh.pass(milliseconds(200));
      a.mutable_running(0)->set_reading(150);
      a.mutable_running(0)->set_percent(100);
      a.mutable_running(1)->set_percent(50);
      stopped = fresh.beat("a").stops_size() > 0;
    }
    CHECK_EQUAL(saves, stopped);
  }
}

// With a varying serving load, changing backfill tasks and forecast errors, the
// costs of image pairs converge within a few hundred readings.
TEST(scheduler, costs_of_pairs_are_learned) {
  struct row {
    double heavy;
    double light;
  };
  const row rows[] = {{0.19, 0.0}, {0.12, 0.02}, {0.0, 0.0}};
  for (const row& it : rows) {
    interference_model model;
    const image_id serving_image = model.id_of("s");
    const image_id heavy_image = model.id_of("h");
    const image_id light_image = model.id_of("l");
    seeded_random random(11);
    for (int i = 0; i < 800; ++i) {
      const auto heavy = static_cast<double>(random.below(12));
      const auto light = static_cast<double>(random.below(12));
      const double noise = static_cast<double>(random.below(100)) / 500 - 0.1;
      const double rise = it.heavy * heavy + it.light * light + noise;
      model.observe(serving_image, rise,
                    {{heavy_image, heavy}, {light_image, light}});
    }
    DOUBLES_EQUAL(it.heavy, model.cost(serving_image, heavy_image), 0.01);
    DOUBLES_EQUAL(it.light, model.cost(serving_image, light_image), 0.01);
  }
}

// Guards against backfill tasks that never start because every worker's serving
// tasks would suffer from their image.
TEST(scheduler, backfill_task_tolerated_by_no_worker_starts_anyway) {
  world.configure();
  world.submit(7, {serving("s")});
  world.beat("a");
  fleet::step_spec step = fill("f", 4'000);
  step.set_count(3);
  world.submit(8, {step});
  LONGS_EQUAL(0, world.beat("a").starts_size());
  int started = 0;
  for (int i = 0; i < 10; ++i) {
    world.pass(milliseconds(200));
    started += world.beat("a").starts_size();
  }
  LONGS_EQUAL(1, started);
}

// Two backfill tasks share a worker with a serving task near its target, whose
// step has another task elsewhere: only the one that disturbs it is throttled.
TEST(scheduler, most_costly_backfill_task_is_throttled_first) {
  world.configure();
  world.beat("a");
  world.beat("b");
  for (auto& [name, it] : world.workers) it.set_cpu_milli(32'000);
  fleet::step_spec pair = serving("s");
  pair.set_count(2);
  pair.set_anti_affinity(1);
  world.submit(7, {pair});
  world.beat("a");
  world.beat("b");
  world.submit(8, {fill("heavy", 3'000), fill("light", 3'000)});
  world.workers["b"].set_draining(true);
  world.beat("b");
  world.beat("a");
  std::map<uint32_t, unsigned> pace{{0, 100}, {1, 100}};
  for (int i = 0; i < 60; ++i) {
    world.pass(milliseconds(200));
    for (auto& [name, worker] : world.workers) {
      for (fleet::running_row& row : *worker.mutable_running()) {
        // Own load 0.6; the target is six times the tail of an idle service.
        const double rise = name == "a" ? 0.6 * pace[0] / 100 : 0;
        const double load = std::min(0.6 * (1 + rise), 0.97);
        const bool serves = row.task().job() == 7;
        const uint32_t step = row.task().step();
        row.set_percent(serves ? 100 : 50);
        row.set_reading(serves ? 100.0 / 6 / (1 - load) : 30.0 * pace[step]);
      }
    }
    world.beat("b");
    const fleet::worker_orders orders = world.beat("a");
    for (const fleet::pace_order& it : orders.paces()) {
      pace[it.task().step()] = it.percent();
    }
  }
  CHECK_TRUE(pace[0] <= 70);
  LONGS_EQUAL(100, pace[1]);
}

TEST(scheduler, forecast_predicts_a_load_swing) {
  struct row {
    int period_ms;
    double max_error;
  };
  const row rows[] = {{10'000, 0.055}, {20'000, 0.02}};
  for (const row& it : rows) {
    load_forecast forecast;
    const auto load = [&](milliseconds at) {
      constexpr double circle = 6.283185;
      const double part = static_cast<double>(at.count()) / it.period_ms;
      return 0.48 + 0.24 * std::sin(circle * part);
    };
    double worst = 0;
    for (milliseconds at{0}; at < milliseconds(30'000);
         at += milliseconds(50)) {
      forecast.observe(at, load(at));
      constexpr milliseconds ahead{600};
      if (at < milliseconds(3'000)) continue;
      const double error = forecast.at(at + ahead) - load(at + ahead);
      worst = std::max(worst, std::abs(error));
    }
    DOUBLES_EQUAL(0, worst, it.max_error);
  }
}

TEST(scheduler, forecast_tolerates_one_faulty_worker) {
  load_forecast forecast;
  DOUBLES_EQUAL(0.5, forecast.at(milliseconds(0)), 0.001);
  for (int i = 0; i < 200; ++i) {
    const milliseconds at(i * 40);
    forecast.observe(at, i % 6 == 0 ? 0.94 : 0.4);
  }
  DOUBLES_EQUAL(0.4, forecast.at(milliseconds(8'000)), 0.06);
}
