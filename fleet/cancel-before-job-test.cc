// A caller left before its job was acknowledged: the job was at the leader and
// not recorded yet when its cancel came in. The cancel was answered "no such
// job" at once, the job was recorded a moment later, and its task started and
// ran to its end. Settled by the order at the leader: job proposed, cancel
// answered, job recorded, start sent.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::cancelled;

TEST_GROUP(cancel_before_job){};

TEST(cancel_before_job, cancel_holds_for_a_job_that_is_not_recorded_yet) {
  struct row {
    const char* name;
    bool proposed;
  };
  const row rows[] = {{"the job waits to be proposed", false},
                      {"the job is proposed", true}};
  for (const row& it : rows) {
    boxes all;
    slow_worker worker(all, "a", road::direct, 1'000);
    worker.call();
    all.leader().request(
        test_world::make_submit(job, {test_world::make_step(1)}),
        [](const auto&) {});
    if (it.proposed) all.leader().settle();
    std::optional<fleet::fleet_status> status;
    all.leader().request(cancel_call(),
                         [&](const auto& r) { status = r.status(); });
    all.commit();
    CHECK_TRUE_TEXT(status == fleet::fleet_ok, it.name);
    LONGS_EQUAL_TEXT(0, worker.call().starts_size(), it.name);
    LONGS_EQUAL_TEXT(fleet::job_canceled,
                     all.book().find(job_number(job))->phase, it.name);
  }
}

TEST(cancel_before_job, cancel_of_a_job_that_nobody_sent_tells_so) {
  boxes all;
  LONGS_EQUAL(fleet::fleet_no_job, all.ask(cancel_call()).status());
  CHECK_TRUE(all.book().jobs().empty());
}
