// A cancel that reached the leader before its job was recorded, as when a
// caller disconnects before the acknowledgement, was answered "no such job" at
// once. The answer came from the applied state, which holds a job only after
// its log entry is applied: the job was recorded later, and its task was
// started and never stopped. Both rows failed that way.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "fleet/cancelled-test-world.h"

using namespace kestrelreel;
using namespace kestrelreel::cancelled;

TEST_GROUP(cancel_before_job){};

TEST(cancel_before_job, cancel_of_unrecorded_job_is_lost) {
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
    if (it.proposed) all.leader().decide();
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

TEST(cancel_before_job, cancel_of_unknown_job_reports_no_job) {
  control_boxes all;
  LONGS_EQUAL(fleet::fleet_no_job, all.ask(make_cancel()).status());
  CHECK_TRUE(all.book().jobs().empty());
}
