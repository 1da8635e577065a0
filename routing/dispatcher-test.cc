// Which request goes where, waits, or is refused, on a virtual clock.
#include "routing/dispatcher.h"

#include <CppUTest/TestHarness.h>

#include "base/text.h"

using namespace kestrelreel;

namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{10'000};
};

struct service_world {
  explicit service_world(unsigned runners = 2, uint32_t slots = 2,
                         dispatch_limits limits = {})
      : choice(make_least_wait(random)), it(limits, *choice, random, clock) {
    set_runners(runners, slots);
  }

  void set_runners(unsigned runners, uint32_t slots,
                   const std::string& leaving = "") {
    std::vector<proto::runner> table;
    for (unsigned i = 0; i < runners; ++i) {
      proto::runner row;
      row.set_task(str_cat("t", i));
      row.set_attempt(1);
      row.set_fixed_slots(slots);
      row.set_leaving(row.task() == leaving);
      table.push_back(row);
    }
    it.pool().update(table, clock.at + milliseconds(10'000));
  }

  request_info request(const std::string& tenant = "a",
                       request_class kind = request_class::latency_critical) {
    request_info info;
    info.id = ++last_id;
    info.tenant = tenant;
    info.kind = kind;
    info.deadline = clock.at + milliseconds(1'000);
    return info;
  }

  /// Submits and returns the event that came at once, if one did.
  std::optional<dispatch_event> submit(const request_info& info) {
    it.submit(info);
    auto events = it.take_events();
    if (events.empty()) return std::nullopt;
    return events.front();
  }

  virtual_clock clock;
  seeded_random random{11};
  std::unique_ptr<runner_choice> choice;
  dispatcher it;
  uint64_t last_id = 0;
};

}  // namespace

TEST_GROUP(dispatcher){};

TEST(dispatcher, requests_take_free_slots_then_wait_then_are_refused) {
  dispatch_limits limits;
  limits.queued = 3;
  service_world world(2, 2, limits);
  for (int i = 0; i < 4; ++i) {
    CHECK_TRUE(world.submit(world.request())->target != nullptr);
  }
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(world.submit(world.request()).has_value());
  }
  const auto refused = world.submit(world.request());
  STRCMP_EQUAL("queue-full", refused->refused->error.reason.c_str());
  CHECK_TRUE(refused->refused->error.ran == verdict::not_run);
  CHECK_EQUAL(503, refused->refused->error.status);
  CHECK_TRUE(refused->refused->retry_after.count() > 0);
}

TEST(dispatcher, without_runners_requests_are_refused_at_once) {
  service_world world(0);
  const auto refused = world.submit(world.request());
  STRCMP_EQUAL("no-runner", refused->refused->error.reason.c_str());
  CHECK_TRUE(refused->refused->error.ran == verdict::not_run);
}

TEST(dispatcher, no_runner_gets_more_than_its_slots) {
  service_world world(3, 2);
  std::vector<runner*> busy;
  for (int i = 0; i < 2'000; ++i) {
    world.clock.at += milliseconds(1);
    world.it.submit(world.request());
    for (auto& event : world.it.take_events()) {
      if (event.target) busy.push_back(event.target);
    }
    for (const auto& [id, it] : world.it.pool().runners()) {
      CHECK_TRUE(it->in_flight <= 2);
    }
    if (world.random.below(2) == 0 && !busy.empty()) {
      world.it.finish(*busy.back(), exchange_result::good, milliseconds(5));
      busy.pop_back();
      for (auto& event : world.it.take_events()) {
        if (event.target) busy.push_back(event.target);
      }
    }
  }
}

TEST(dispatcher, lent_slots_end_with_their_loan) {
  service_world world(1, 1);
  proto::runner row;
  row.set_task("t0");
  row.set_attempt(1);
  row.set_fixed_slots(1);
  row.set_lent_slots(1);
  world.it.pool().update({row}, world.clock.at + milliseconds(2'000));
  CHECK_TRUE(world.submit(world.request()).has_value());
  world.clock.at += milliseconds(1'500);
  // It could still run when the loan is over.
  CHECK_FALSE(world.submit(world.request()).has_value());
}

TEST(dispatcher, tenants_take_turns_and_latency_critical_goes_first) {
  service_world world(1, 1);
  const auto first = world.submit(world.request("a"));
  std::vector<request_info> order;
  for (int i = 0; i < 3; ++i) order.push_back(world.request("a"));
  order.push_back(world.request("b"));
  request_info batch = world.request("c", request_class::batch);
  world.it.submit(batch);
  for (const auto& it : order) world.it.submit(it);
  std::vector<uint64_t> served;
  runner* target = first->target;
  for (int i = 0; i < 5; ++i) {
    world.it.finish(*target, exchange_result::good, milliseconds(5));
    const auto events = world.it.take_events();
    served.push_back(events.at(0).id);
    target = events.at(0).target;
  }
  const std::vector<uint64_t> wanted{order[0].id, order[3].id, order[1].id,
                                     order[2].id, batch.id};
  CHECK_TRUE(served == wanted);
}

TEST(dispatcher, a_waiting_request_is_refused_at_its_deadline) {
  service_world world(1, 1);
  world.submit(world.request());
  world.submit(world.request());
  world.clock.at += milliseconds(1'001);
  world.it.tick();
  const auto events = world.it.take_events();
  STRCMP_EQUAL("deadline-in-queue", events.at(0).refused->error.reason.c_str());
  CHECK_TRUE(events.at(0).refused->error.ran == verdict::not_run);
}

TEST(dispatcher, a_request_that_cannot_make_its_deadline_is_refused_at_once) {
  service_world world(1, 1);
  runner* target = world.submit(world.request())->target;
  // Teach it that answers come every 300 ms.
  for (int i = 0; i < 40; ++i) {
    world.submit(world.request());
    world.clock.at += milliseconds(300);
    world.it.finish(*target, exchange_result::good, milliseconds(300));
    world.it.take_events();
  }
  unsigned waiting = 0;
  std::optional<dispatch_event> event;
  while (!(event = world.submit(world.request()))) ++waiting;
  STRCMP_EQUAL("deadline-too-near", event->refused->error.reason.c_str());
  CHECK_TRUE(waiting >= 1 && waiting <= 4);
  CHECK_TRUE(event->refused->retry_after >= milliseconds(300));
}

TEST(dispatcher, refused_callers_are_spread_out) {
  service_world world(0);
  std::set<int64_t> waits;
  for (int i = 0; i < 50; ++i) {
    const auto it = world.submit(world.request());
    waits.insert(it->refused->retry_after.count());
  }
  CHECK_TRUE(waits.size() > 30);
  CHECK_TRUE(*waits.begin() >= 1'000);
  CHECK_TRUE(*waits.rbegin() <= 2'000);
}

TEST(dispatcher, leaving_and_unlisted_runners_get_nothing_new) {
  service_world world(2, 4);
  runner* held = world.submit(world.request())->target;
  const std::string leaving = held->task.str();
  world.set_runners(2, 4, leaving);
  for (int i = 0; i < 4; ++i) {
    const auto event = world.submit(world.request());
    CHECK_TRUE(event->target->task.str() != leaving);
  }
  CHECK_FALSE(world.submit(world.request()).has_value());
  world.it.pool().update({}, world.clock.at);
  CHECK_EQUAL(2, world.it.pool().runners().size());
  world.it.finish(*held, exchange_result::good, milliseconds(1));
  world.it.pool().update({}, world.clock.at);
  CHECK_EQUAL(1, world.it.pool().runners().size());
}

TEST(dispatcher, a_runner_that_fails_all_at_once_attracts_little) {
  service_world world(10, 8);
  unsigned failed = 0;
  constexpr unsigned requests = 2'000;
  for (unsigned i = 0; i < requests; ++i) {
    world.clock.at += milliseconds(1);
    const auto event = world.submit(world.request());
    const bool bad = event->target->task.str() == "t0";
    failed += bad ? 1 : 0;
    world.it.finish(*event->target,
                    bad ? exchange_result::failed : exchange_result::good,
                    milliseconds(bad ? 0 : 10));
  }
  CHECK_TRUE(failed < requests / 100);
}

TEST(dispatcher, at_most_half_of_the_runners_are_left_alone) {
  service_world world(4, 8);
  for (unsigned i = 0; i < 500; ++i) {
    world.clock.at += milliseconds(1);
    const auto event = world.submit(world.request());
    CHECK_TRUE(event.has_value() && event->target != nullptr);
    world.it.finish(*event->target, exchange_result::failed, milliseconds(1));
  }
  unsigned ejected = 0;
  for (const auto& [id, it] : world.it.pool().runners()) {
    ejected += it->ejections > 0 ? 1 : 0;
  }
  CHECK_EQUAL(2, ejected);
}

TEST(dispatcher, retries_stay_within_their_budget) {
  struct {
    uint64_t percent;
    unsigned most;
  } const rows[] = {{0, 0}, {10, 110}, {50, 510}};
  for (const auto& row : rows) {
    dispatch_limits limits;
    limits.retry_percent = row.percent;
    service_world world(4, 100, limits);
    unsigned retries = 0;
    for (int i = 0; i < 1'000; ++i) {
      const auto info = world.request();
      const auto event = world.submit(info);
      if (world.it.retry(info, {event->target->task})) {
        ++retries;
        const auto again = world.it.take_events();
        CHECK_TRUE(again.at(0).target->task != event->target->task);
        world.it.finish(*again.at(0).target, exchange_result::abandoned,
                        milliseconds(1));
      }
      world.it.finish(*event->target, exchange_result::good, milliseconds(1));
    }
    CHECK_TRUE(retries <= row.most);
    CHECK_TRUE(row.percent == 0 || retries >= row.most - 20);
  }
}

TEST(dispatcher, an_abandoned_request_gets_no_event) {
  service_world world(1, 1);
  runner* target = world.submit(world.request())->target;
  const auto gone = world.request();
  world.submit(gone);
  world.it.abandon(gone.id);
  world.it.finish(*target, exchange_result::good, milliseconds(1));
  CHECK_TRUE(world.it.take_events().empty());
}
