// A cancel that reached the leader while its job was not recorded yet, as when
// a caller leaves before its job is acknowledged, was answered "no such job" at
// once. The job was recorded a moment later, its task started and nobody
// stopped it: the answer was read off the book, which a job enters only when
// its entry is applied. Found by reading; settled by this test, in which the
// status was "no such job" and the task was started in both rows.
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
    control_boxes all;
    late_worker worker(all, "a", heartbeat_route::direct, 1'000);
    worker.send_heartbeat();
    all.leader().request(
        test_world::make_submit(job, {test_world::make_step(1)}),
        [](const auto&) {});
    if (it.proposed) all.leader().settle();
    std::optional<fleet::fleet_status> status;
    all.leader().request(make_cancel(),
                         [&](const auto& r) { status = r.status(); });
    all.commit();
    LONGS_EQUAL_TEXT(0, worker.send_heartbeat().starts_size(), it.name);
    CHECK_TRUE_TEXT(status == fleet::fleet_ok, it.name);
    LONGS_EQUAL_TEXT(fleet::job_canceled,
                     all.book().find(job_number(job))->phase, it.name);
  }
}

TEST(cancel_before_job, cancel_of_a_job_that_nobody_sent_tells_so) {
  control_boxes all;
  LONGS_EQUAL(fleet::fleet_no_job, all.ask(make_cancel()).status());
  CHECK_TRUE(all.book().jobs().empty());
}
